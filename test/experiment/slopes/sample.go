package slopes

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// rate is what one process used on average, per second.
type rate struct {
	// cpu is in seconds of processor time, bytes are sent and received.
	cpu, bytes, frames float64
}

type sample struct {
	at       time.Time
	entries  []reading
	sidecars []reading
	store    map[memstore.Call]int
}

type reading struct {
	usage
	rpcnet.Traffic
	at time.Time
}

// stats is the part of the operator answers that both roles have.
type stats struct {
	Traffic rpcnet.Traffic `json:"traffic"`
	Memory  metrics.Memory `json:"memory"`
}

func (p *process) read(path string) (reading, error) {
	var s stats
	if err := p.get(path, &s); err != nil {
		return reading{}, err
	}
	u, err := p.usage()
	return reading{u, s.Traffic, time.Now()}, err
}

func (f *fleet) sample() (sample, error) {
	s := sample{at: time.Now(), store: f.store.CallCounts()}
	for _, e := range f.entries {
		r, err := e.read("/v1/stats")
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, r)
	}
	for _, c := range f.sidecars {
		r, err := c.read("/v1/state")
		if err != nil {
			return s, err
		}
		s.sidecars = append(s.sidecars, r)
	}
	return s, nil
}

// used is the mean use per process of each role, and the store's calls per
// second, over a time.
type used struct {
	entry, sidecar rate
	reads, writes  float64
}

// during measures while the function runs.
func (f *fleet) during(run func()) (used, error) {
	before, err := f.sample()
	if err != nil {
		return used{}, err
	}
	run()
	after, err := f.sample()
	if err != nil {
		return used{}, err
	}
	u := used{entry: mean(before.entries, after.entries), sidecar: mean(before.sidecars, after.sidecars)}
	took := after.at.Sub(before.at).Seconds()
	for call, n := range after.store {
		n -= before.store[call]
		switch call {
		case memstore.CallGet, memstore.CallList, memstore.CallWatch:
			u.reads += float64(n) / took
		default:
			u.writes += float64(n) / took
		}
	}
	return u, nil
}

func mean(before, after []reading) rate {
	var r rate
	n := float64(len(before))
	for i, b := range before {
		a := after[i]
		took := a.at.Sub(b.at).Seconds() * n
		r.cpu += (a.cpu - b.cpu) / took
		r.bytes += float64(a.SentBytes+a.ReceivedBytes-b.SentBytes-b.ReceivedBytes) / took
		r.frames += float64(a.SentFrames+a.ReceivedFrames-b.SentFrames-b.ReceivedFrames) / took
	}
	return r
}

// attached returns the mean number of sidecars per entry instance.
func (f *fleet) attached() float64 {
	n := min(sidecar.DefaultAttachments, len(f.entries))
	return float64(len(f.sidecars)*n) / float64(len(f.entries))
}

// heap returns the live heap in bytes after a garbage collection, the resident
// memory in bytes, and the full statistics of an entry instance.
func (e *entryProcess) heap() (live, rss float64, s entry.Stats, err error) {
	if err = e.get("/v1/stats?gc=true", &s); err != nil {
		return
	}
	u, err := e.usage()
	return float64(s.Memory.LiveHeapBytes), u.rss, s, err
}

func (c *sidecarProcess) heap() (live, rss float64, s sidecar.State, err error) {
	if err = c.get("/v1/state?gc=true", &s); err != nil {
		return
	}
	u, err := c.usage()
	return float64(s.Memory.LiveHeapBytes), u.rss, s, err
}
