package placement

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against more tasks of a step on a worker than the step allows. The tasks are planned
// elsewhere, because the worker near is almost full, and then moved to its room.
func TestMaxPerWorkerNear(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "b", "b")
	h.beat(0, 5000)
	j := newJobSpec("j", 2, 60*ms)
	j.Steps[0].PreferredRack, j.Steps[0].MaxPerWorker, j.Steps[0].Need.MilliCPU = "a", 1, 2000
	h.submit(j)
	for p, runs := range h.takeRuns() {
		if len(runs) > 1 {
			t.Errorf("%d runs at %v", len(runs), p)
		}
	}
}

// Guards against a second wait that makes the whole wait of a task longer than the first could pay.
func TestSecondWait(t *testing.T) {
	h := newFullRack(t)
	for i := range 2 {
		h.m.SetUnresponsive(process(i), true)
	}
	h.now += rackReviewInterval
	h.tick()
	run := h.takeRuns()[process(2)][0]
	h.now += 120 * ms
	for i := range 2 {
		h.m.SetUnresponsive(process(i), false)
		h.beat(i, 0)
	}
	h.endRun(process(2), run, work.NoRoom)
	if runs := h.takeRuns(); len(runs[process(2)]) != 1 {
		t.Errorf("runs %v, and %d tasks wait", runs, h.m.jobs["j"].rackWaits)
	}
}

// Guards against a task that waits although another one of its job, which had to be placed elsewhere,
// ends later than both would.
func TestRestGoesElsewhere(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "a", "b")
	h.beat(0, 0)
	h.beat(1, 0)
	h.submit(wanting("j", 2))
	if h.m.jobs["j"].rackWaits != 2 {
		t.Fatalf("%d tasks wait", h.m.jobs["j"].rackWaits)
	}
	h.now += ms
	h.beat(1, 0, func(l *wire.Load) { l.Suspect = true })
	if h.m.jobs["j"].rackWaits != 1 {
		t.Fatalf("%d tasks wait for one worker", h.m.jobs["j"].rackWaits)
	}
	h.now += ms
	h.beat(0, 0)
	if runs := h.takeRuns(); len(runs[process(2)]) != 2 {
		t.Errorf("runs %v", runs)
	}
}
