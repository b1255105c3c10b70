package placement

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestFreeSlowerWorker guards against the refusal of a job that is expected to end earliest at a
// busy fast worker, although it can end in time at a free one, and against its admission where
// little is free.
func TestFreeSlowerWorker(t *testing.T) {
	const (
		workers  = 12
		capacity = 32000
		// busyMs is the mean remaining time of the runs at a busy worker, with which a run waits
		// for a third of a second.
		busyMs = 1600
	)
	for _, c := range []struct {
		freeWorkers  int
		wantAdmitted bool
	}{{workers / 2, true}, {1, false}} {
		h := newHarness(t, workers)
		for i := range workers {
			l := wire.Load{
				Version: 1000, AppliedSequence: 1 << 30, AcceptsRuns: true, Slowness: 0.4,
				Capacity: work.Resources{MilliCPU: capacity, MemoryMB: 1 << 16}, Free: work.Resources{MemoryMB: 1 << 16}, RemainingWork: capacity * busyMs,
			}
			if i < c.freeWorkers {
				l.Slowness, l.Free.MilliCPU, l.RemainingWork = 1, capacity, 0
			}
			h.m.SetLoad(h.now, process(i), l)
		}
		spec := newJobSpec("a", 1, 900*ms)
		spec.Rank, spec.Timeout = 2, 5*time.Second
		if _, admitted := h.submit(spec); admitted != c.wantAdmitted {
			t.Errorf("%d of %d workers free: admitted %v, want %v", c.freeWorkers, workers, admitted, c.wantAdmitted)
		}
	}
}
