package placement

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against a task that waits for its rack again although its returns have taken so long that
// its next run is to wait in the queue of a worker.
func TestNoWaitAfterSlowReturns(t *testing.T) {
	for _, adapt := range []bool{false, true} {
		h := newFullRack(t)
		h.m.cfg.AdaptToDelay = adapt
		h.now += 30 * ms
		h.beat(1, 3000)
		run := h.takeRuns()[process(1)][0]
		h.beat(1, 0)
		h.m.delay.average = maxReturnTime
		h.endRun(process(1), run, work.NoRoom)
		if waits := h.m.jobs["j"].tasks[0].waitsForRack(); waits == adapt {
			t.Errorf("adapted to the delay %v: the task waits: %v", adapt, waits)
		}
	}
}
