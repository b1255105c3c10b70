package placement

import (
	"fmt"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
)

// newCrowdedRack returns a full rack with the largest number of workers that are compared and of
// tasks that wait. decisions counts the decisions since.
func newCrowdedRack(t testing.TB) (h *rackHarness, decisions *int) {
	racks := make([]string, maxNearWorkers)
	for i := range racks {
		racks[i] = "a"
	}
	h = newRackHarness(nil, 1.5, append(racks, "b")...)
	for i := range racks {
		h.beat(i, 0)
	}
	decisions = new(int)
	h.m.cfg.DecideWaits = func(job *locality.Job) []locality.Decision {
		*decisions++
		list := make([]locality.Decision, len(job.Tasks))
		for i := range list {
			list[i] = locality.Decision{Choice: locality.Wait, Until: 200 * ms}
		}
		return list
	}
	for i := range maxWaitsPerRack + 1 {
		h.submit(wanting(fmt.Sprint("j", i), 1))
	}
	if n := len(h.m.rackWaits[rackKey{"svc", "a"}]); n != maxWaitsPerRack {
		t.Fatalf("%d tasks wait", n)
	}
	if away := len(h.takeRuns()[process(len(racks))]); away != 1 {
		t.Fatalf("%d tasks run elsewhere, want the one too many", away)
	}
	h.beat(0, 0)
	*decisions = 0
	return h, decisions
}

// Guards against a cost of each load summary that grows with the waiting tasks of a full rack, and
// against room that a task gets only at the next review of all.
func TestCrowdedRack(t *testing.T) {
	h, decisions := newCrowdedRack(t)
	for i := range maxNearWorkers {
		h.beat(i, 2000) // less than a task needs
	}
	if *decisions > 0 {
		t.Errorf("%d decisions for load summaries without room", *decisions)
	}
	h.beat(7, 3000)
	if runs := h.takeRuns(); len(runs) != 1 || len(runs[process(7)]) != 1 {
		t.Errorf("runs %v after there was room for one", runs)
	}
	*decisions = 0
	h.now += rackReviewInterval
	h.tick()
	if *decisions != maxWaitsPerRack-1 {
		t.Errorf("%d decisions in the review of all", *decisions)
	}
}

// BenchmarkCrowdedRack measures the time for a load summary without room.
func BenchmarkCrowdedRack(b *testing.B) {
	h, _ := newCrowdedRack(b)
	for b.Loop() {
		h.beat(0, 0)
	}
}
