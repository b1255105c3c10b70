package slopes

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

var (
	entryStartTime    = quantity{"entry-start-time-by-document", "bytes of the configuration document", "seconds until ready"}
	entryStartBytes   = quantity{"entry-start-bytes-by-document", "bytes of the configuration document", "internal bytes received until ready"}
	entryStartCalls   = quantity{"entry-start-store-calls-by-document", "bytes of the configuration document", "store calls until ready"}
	sidecarStartTime  = quantity{"sidecar-start-time-by-document", "bytes of the configuration document", "seconds until attached with the configuration"}
	sidecarStartBytes = quantity{"sidecar-start-bytes-by-document", "bytes of the configuration document", "internal bytes received until attached"}
)

// measureStart starts one entry instance and one sidecar in a running fleet and
// measures the time, the received bytes and the calls to the store of the starts.
func (exp *experiment) measureStart(f *fleet, documentBytes float64) error {
	before, begin := f.store.CallCounts(), time.Now()
	e, err := f.addEntry()
	if err != nil {
		return err
	}
	if err := f.await("start of an entry instance", func() bool { return e.get("/healthz", nil) == nil }); err != nil {
		return err
	}
	elapsed := time.Since(begin).Seconds()
	// The new entry instance registers and reads the allocation soon after it is
	// ready. The calls of the other entry instances in this time are subtracted.
	time.Sleep(settleTime)
	idle := (exp.idleStoreReads + exp.idleStoreWrites) * time.Since(begin).Seconds() * float64(len(f.entries)-1)
	at, err := e.sample("/v1/stats")
	if err != nil {
		return err
	}
	exp.add(entryStartTime, documentBytes, elapsed)
	exp.add(entryStartBytes, documentBytes, float64(at.ReceivedBytes))
	exp.add(entryStartCalls, documentBytes, float64(totalCalls(f.store.CallCounts())-totalCalls(before))-idle)
	return exp.measureSidecarStart(f, documentBytes)
}

func (exp *experiment) measureSidecarStart(f *fleet, documentBytes float64) error {
	begin := time.Now()
	s, err := f.addSidecar(false)
	if err != nil {
		return err
	}
	var state sidecar.State
	err = f.await("start of a sidecar", func() bool {
		return s.get("/v1/state", &state) == nil && state.Revisions.InForce > 0 && attachments(state) >= min(len(f.entries), sidecar.DefaultAttachments)
	})
	if err != nil {
		return err
	}
	exp.add(sidecarStartTime, documentBytes, time.Since(begin).Seconds())
	exp.add(sidecarStartBytes, documentBytes, float64(state.Traffic.ReceivedBytes))
	return nil
}

// attachments returns the number of entry instances that a sidecar is attached to.
func attachments(s sidecar.State) int {
	n := 0
	for _, e := range s.Entries {
		if e.Attached {
			n++
		}
	}
	return n
}

func totalCalls(calls map[memstore.Call]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}
