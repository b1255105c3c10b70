package placement

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// placed returns the number of sent runs by rack, and drops them.
func (h *rackHarness) placed() map[string]int {
	count := map[string]int{}
	for i, rack := range h.racks {
		for _, b := range h.sent {
			if b.Sidecar == process(i) {
				count[rack] += len(b.Runs)
			}
		}
	}
	h.sent = nil
	return count
}

// together returns a job of tasks that run faster on one rack.
func together(tasks int) *work.Job {
	j := newJobSpec("j", tasks, 400*ms)
	j.Objective, j.Timeout, j.Steps[0].OneRack = 600*ms, 4000*ms, true
	return j
}

// Guards against tasks that run apart although one rack has room for all, and against a wait on
// one rack that lasts longer than the tasks gain there.
func TestOneRack(t *testing.T) {
	for name, c := range map[string]struct {
		factor float64
		free   [4]int64
		slow   int64 // factor of the remaining work
		racks  int
	}{
		"room on one rack":             {1.5, [4]int64{9000, 9000, 32000, 32000}, 1, 1},
		"room for a part on each rack": {1.5, [4]int64{9000, 9000, 9000, 9000}, 1, 1},
		"a full rack":                  {1.5, [4]int64{0, 9000, 0, 9000}, 10, 2},
		"no factor":                    {0, [4]int64{9000, 9000, 9000, 9000}, 1, 2},
	} {
		h := newRackHarness(t, c.factor, "a", "a", "b", "b")
		for i, free := range c.free {
			h.beat(i, free, func(l *wire.Load) { l.RemainingWork *= c.slow })
		}
		if a, ok := h.submit(together(6)); !ok {
			t.Fatalf("%s: %+v", name, a)
		}
		if placed := h.placed(); len(placed) != c.racks {
			t.Errorf("%s: placed %v, want %d racks", name, placed, c.racks)
		}
	}
}

// Guards against a task of a group that is placed on another rack after a run without room.
func TestOneRackAgain(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "a", "b", "b")
	h.submit(together(4))
	first := ""
	for p, runs := range h.takeRuns() {
		first = h.m.workers[p].info.Rack
		h.endRun(p, runs[0], work.NoRoom)
		break
	}
	if placed := h.placed(); len(placed) != 1 || placed[first] != 1 {
		t.Errorf("placed %v, want one run on rack %s", placed, first)
	}
}
