package slopes

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

var (
	entryStart      = quantity{"entry-start-time-by-document", "bytes of the configuration document", "seconds until ready"}
	entryStartBytes = quantity{"entry-start-bytes-by-document", "bytes of the configuration document", "internal bytes received until ready"}
	entryStartCalls = quantity{"entry-start-store-calls-by-document", "bytes of the configuration document", "store calls until ready"}
	carStart        = quantity{"sidecar-start-time-by-document", "bytes of the configuration document", "seconds until attached with the configuration"}
	carStartBytes   = quantity{"sidecar-start-bytes-by-document", "bytes of the configuration document", "internal bytes received until attached"}
)

// measureStart starts one entry instance and one sidecar in a running fleet.
func (r *run) measureStart(f *fleet, document float64) error {
	before, begin := f.store.CallCounts(), time.Now()
	e, err := f.addEntry()
	if err != nil {
		return err
	}
	if err := f.await("start of an entry instance", func() bool { return e.get("/healthz", nil) == nil }); err != nil {
		return err
	}
	took := time.Since(begin).Seconds()
	// The other entry instances make calls at the same time; the new one
	// registers and reads the allocation soon after it is ready.
	time.Sleep(settle)
	idle := (r.storeReads + r.storeWrites) * time.Since(begin).Seconds() * float64(len(f.entries)-1)
	at, err := e.read("/v1/stats")
	if err != nil {
		return err
	}
	r.add(entryStart, document, took)
	r.add(entryStartBytes, document, float64(at.ReceivedBytes))
	r.add(entryStartCalls, document, float64(total(f.store.CallCounts())-total(before))-idle)
	return r.startSidecar(f, document)
}

func (r *run) startSidecar(f *fleet, document float64) error {
	begin := time.Now()
	s, err := f.addSidecar(false)
	if err != nil {
		return err
	}
	var state sidecar.State
	err = f.await("start of a sidecar", func() bool {
		return s.get("/v1/state", &state) == nil && state.Revisions.InForce > 0 && attachedTo(state) >= min(len(f.entries), sidecar.DefaultAttachments)
	})
	if err != nil {
		return err
	}
	r.add(carStart, document, time.Since(begin).Seconds())
	r.add(carStartBytes, document, float64(state.Traffic.ReceivedBytes))
	return nil
}

func attachedTo(s sidecar.State) int {
	n := 0
	for _, e := range s.Entries {
		if e.Attached {
			n++
		}
	}
	return n
}

func total(calls map[memstore.Call]int) int {
	n := 0
	for _, c := range calls {
		n += c
	}
	return n
}
