package placement

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// checkStarts ends the runs sent so far, and fails the test if there are not n of them, all at worker 1.
func (h *harness) checkStarts(what string, n int, outcome work.Outcome) {
	h.t.Helper()
	all := h.takeRuns()
	if len(all) != 1 || len(all[process(1)]) != n {
		h.t.Errorf("%s: runs %v, want %d at worker 1", what, all, n)
	}
	for _, r := range all[process(1)] {
		h.endRun(process(1), r, outcome)
	}
	h.heartbeat(1, 0, 32000)
	h.now += settleDelay
	h.m.Tick(h.now)
	h.collect()
}

// Guards against first starts, retries, waiting tasks and later steps that are placed in a zone
// under evacuation, and against jobs that are admitted although all workers are in such zones.
func TestEvacuatedZone(t *testing.T) {
	h := newHarness(t, 2)
	h.m.SetEvacuation(h.now, evacuation.State{Revision: 1, Zones: []string{"zone-0"}})
	h.heartbeat(0, 0, 32000) // the sidecar does not know yet
	job := newJobSpec("a", 4, 100*ms)
	job.Steps = append(job.Steps, job.Steps[0])
	job.Steps[1].DependsOn = []int{0}
	if _, ok := h.submit(job); !ok {
		t.Fatal("refused")
	}
	h.checkStarts("first starts", 4, work.NotRun)
	h.checkStarts("waiting tasks", 4, work.Lost)
	h.checkStarts("retries", 4, work.Done)
	h.checkStarts("the later step", 4, work.Done)
	h.m.SetEvacuation(h.now, evacuation.State{Revision: 2, Zones: []string{"zone-0", "zone-1"}})
	if a, ok := h.submit(newJobSpec("b", 1, 100*ms)); ok || a.Reason != work.ReasonNoWorker {
		t.Errorf("answer %+v, admitted %v", a, ok)
	}
	h.m.SetEvacuation(h.now, evacuation.State{Revision: 3})
	if _, usable := h.m.Workers(); usable != 2 {
		t.Errorf("%d usable workers after the requests are taken back", usable)
	}
}

// Guards against an entry instance that does not know of an evacuation and gives up tasks that a
// sidecar returns for it, or sends them there again.
func TestSidecarKnowsFirst(t *testing.T) {
	h := newHarness(t, 2)
	if _, ok := h.submit(newJobSpec("a", 10, 100*ms)); !ok {
		t.Fatal("refused")
	}
	runs := h.takeRuns()[process(0)]
	h.m.workers[process(0)].load.AcceptsRuns = false // by the reply to the batch
	for _, r := range runs {
		h.endRun(process(0), r, work.NotRun)
	}
	h.now += settleDelay
	h.m.Tick(h.now)
	h.collect()
	h.checkStarts("returned tasks", len(runs), work.Done)
}

// Guards against tasks that an entry instance starts after a pause of its process, because the first
// thing it reads then is an evacuation state. Their callers may have submitted them elsewhere.
func TestStateAfterPause(t *testing.T) {
	h := newHarness(t, 2)
	h.now += ms
	if _, ok := h.submit(newJobSpec("a", 1, 100*ms)); !ok {
		t.Fatal("refused")
	}
	for sidecar, runs := range h.takeRuns() {
		h.endRun(sidecar, runs[0], work.NotRun) // the task waits
	}
	h.now += h.m.cfg.HeartbeatTimeout + settleDelay
	h.m.SetEvacuation(h.now, evacuation.State{Revision: 1, Zones: []string{"zone-5"}})
	h.collect()
	if runs := h.takeRuns(); len(runs) != 0 || h.answers["a"].Reason != work.ReasonOutOfContact {
		t.Errorf("runs %v, answer %+v", runs, h.answers["a"])
	}
}
