package slopes

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// usageRate is the average resource use of one process per second.
type usageRate struct {
	// cpu is in seconds of processor time. bytes and frames include the sent and
	// the received ones.
	cpu, bytes, frames float64
}

type fleetSample struct {
	at       time.Time
	entries  []processSample
	sidecars []processSample
	store    map[memstore.Call]int
}

type processSample struct {
	osUsage
	rpcnet.Traffic
	at time.Time
}

// operatorStats holds the fields that the statistics of both roles have.
type operatorStats struct {
	Traffic rpcnet.Traffic `json:"traffic"`
	Memory  metrics.Memory `json:"memory"`
}

func (p *process) sample(path string) (processSample, error) {
	var s operatorStats
	if err := p.get(path, &s); err != nil {
		return processSample{}, err
	}
	u, err := p.usage()
	return processSample{u, s.Traffic, time.Now()}, err
}

func (f *fleet) sample() (fleetSample, error) {
	s := fleetSample{at: time.Now(), store: f.store.CallCounts()}
	for _, e := range f.entries {
		r, err := e.sample("/v1/stats")
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, r)
	}
	for _, c := range f.sidecars {
		r, err := c.sample("/v1/state")
		if err != nil {
			return s, err
		}
		s.sidecars = append(s.sidecars, r)
	}
	return s, nil
}

// fleetRates is the mean resource use per process of each role, and the calls to
// the store per second, during a measurement.
type fleetRates struct {
	entry, sidecar usageRate
	reads, writes  float64
}

// measure calls run and returns the resource use while it ran.
func (f *fleet) measure(run func()) (fleetRates, error) {
	before, err := f.sample()
	if err != nil {
		return fleetRates{}, err
	}
	run()
	after, err := f.sample()
	if err != nil {
		return fleetRates{}, err
	}
	rates := fleetRates{entry: meanRate(before.entries, after.entries), sidecar: meanRate(before.sidecars, after.sidecars)}
	elapsed := after.at.Sub(before.at).Seconds()
	for call, n := range after.store {
		n -= before.store[call]
		switch call {
		case memstore.CallGet, memstore.CallList, memstore.CallWatch:
			rates.reads += float64(n) / elapsed
		default:
			rates.writes += float64(n) / elapsed
		}
	}
	return rates, nil
}

func meanRate(before, after []processSample) usageRate {
	var r usageRate
	n := float64(len(before))
	for i, b := range before {
		a := after[i]
		elapsed := a.at.Sub(b.at).Seconds() * n
		r.cpu += (a.cpu - b.cpu) / elapsed
		r.bytes += float64(a.SentBytes+a.ReceivedBytes-b.SentBytes-b.ReceivedBytes) / elapsed
		r.frames += float64(a.SentFrames+a.ReceivedFrames-b.SentFrames-b.ReceivedFrames) / elapsed
	}
	return r
}

// sidecarsPerEntry returns the mean number of attached sidecars per entry instance.
func (f *fleet) sidecarsPerEntry() float64 {
	n := min(sidecar.DefaultAttachments, len(f.entries))
	return float64(len(f.sidecars)*n) / float64(len(f.entries))
}

// heap returns the live heap in bytes after a garbage collection, the resident
// memory in bytes, and the statistics of the entry instance.
func (e *entryProcess) heap() (live, rss float64, s entry.Stats, err error) {
	if err = e.get("/v1/stats?gc=true", &s); err != nil {
		return
	}
	u, err := e.usage()
	return float64(s.Memory.LiveHeapBytes), u.rss, s, err
}

// heap returns the live heap in bytes after a garbage collection, the resident
// memory in bytes, and the state of the sidecar.
func (c *sidecarProcess) heap() (live, rss float64, s sidecar.State, err error) {
	if err = c.get("/v1/state?gc=true", &s); err != nil {
		return
	}
	u, err := c.usage()
	return float64(s.Memory.LiveHeapBytes), u.rss, s, err
}
