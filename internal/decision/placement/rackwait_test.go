package placement

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// rackHarness drives a Machine with workers on racks.
type rackHarness struct {
	*harness
	racks []string // by worker
	ended []WaitEnded
}

func newRackHarness(t *testing.T, factor float64, racks ...string) *rackHarness {
	h := &rackHarness{harness: &harness{t: t, answers: map[string]work.Answer{}, stats: map[string]JobStats{}}, racks: racks}
	h.m = New(Config{RemoteFactor: factor}, rand.New(rand.NewSource(1)))
	for i := range racks {
		h.beat(i, 32000)
	}
	return h
}

// beat delivers a heartbeat of a worker with a free processor capacity, and the next tick.
func (h *rackHarness) beat(i int, free int64, change ...func(*wire.Load)) {
	h.version++
	load := wire.Load{
		Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Slowness: 1,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: free, MemoryMB: 1 << 16}, RemainingWork: (32000 - free) * 400,
	}
	for _, f := range change {
		f(&load)
	}
	description := info(i)
	description.Rack = h.racks[i]
	h.m.Heartbeat(h.now, description, 0, load, true)
	h.tick()
}

// tick calls Tick and records the actions.
func (h *rackHarness) tick() time.Duration {
	next := h.m.Tick(h.now)
	h.take()
	return next
}

// take records the actions of the Machine.
func (h *rackHarness) take() {
	actions := h.m.Actions()
	for _, a := range actions {
		if w, ok := a.(WaitEnded); ok {
			h.ended = append(h.ended, w)
		}
	}
	h.m.actions = actions
	h.collect()
}

// wanting returns a job of 400 ms tasks that prefer rack a.
func wanting(id string, tasks int) *work.Job {
	j := newJobSpec(id, tasks, 400*ms)
	j.Rank, j.Objective, j.Timeout, j.Steps[0].PreferredRack = 1, 600*ms, 4*time.Second, "a"
	return j
}

// newFullRack returns workers 0 and 1 on rack a, which is full, and worker 2 on rack b, which is
// free, and a job that waits for rack a.
func newFullRack(t *testing.T) *rackHarness {
	h := newRackHarness(t, 1.5, "a", "a", "b")
	h.beat(0, 0)
	h.beat(1, 0)
	if a, ok := h.submit(wanting("j", 1)); !ok {
		t.Fatalf("refused: %+v", a)
	}
	if runs := h.takeRuns(); len(runs) > 0 || h.m.jobs["j"].rackWaits != 1 {
		t.Fatalf("%d tasks wait, and runs %v were sent", h.m.jobs["j"].rackWaits, runs)
	}
	for i := range 2 {
		if w := h.m.workers[process(i)]; w.queuedUpTo(wire.NumRanks-1) != 0 || len(w.reservations) != 0 {
			t.Fatalf("the waiting task holds capacity: %+v", w.load)
		}
	}
	return h
}

// Guards against a task that is not moved when room on its rack frees, or whose wait is not
// told of.
func TestWaitPays(t *testing.T) {
	h := newFullRack(t)
	h.now += 30 * ms
	h.beat(1, 3000)
	runs := h.takeRuns()[process(1)]
	if len(runs) != 1 || !runs[0].NoWait {
		t.Fatalf("runs %+v at the worker with room", runs)
	}
	h.now += 400 * ms
	h.endRun(process(1), runs[0], work.Done)
	h.take()
	if h.answers["j"].State != work.Completed {
		t.Errorf("answer %+v", h.answers["j"])
	}
}

// Guards against a wait that begins anew, and is told of twice, each time that another entry
// instance was faster.
func TestWaitAgain(t *testing.T) {
	h := newFullRack(t)
	first := *h.m.jobs["j"].tasks[0].rackWait
	h.now += 30 * ms
	h.beat(1, 3000)
	run := h.takeRuns()[process(1)][0]
	h.now += 5 * ms
	h.beat(1, 0)
	h.endRun(process(1), run, work.NoRoom)
	again := h.m.jobs["j"].tasks[0].rackWait
	if !again.active || again.since != first.since || again.until != first.until || again.awayEnd != first.awayEnd || len(h.ended) > 0 {
		t.Errorf("first %+v, again %+v, ended %v", first, again, h.ended)
	}
}

// Guards against the wait of a task whose job has longer to go in another step.
func TestRestOfJob(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "a", "b")
	h.beat(0, 0)
	h.beat(1, 0)
	j := wanting("j", 1)
	j.Objective, j.Timeout = 2*time.Second, 9*time.Second
	j.Steps = append(j.Steps, work.Step{Count: 1, Need: j.Steps[0].Need, Estimate: 700 * ms})
	h.submit(j)
	if runs := h.takeRuns(); len(runs[process(2)]) != 2 || len(h.m.rackWaits) > 0 {
		t.Errorf("runs %v, waits %v", runs, h.m.rackWaits)
	}
	j.ID, j.Steps[1].DependsOn = "k", []int{0} // now the second step waits for the first
	h.submit(j)
	if h.m.jobs["k"].rackWaits != 1 {
		t.Errorf("a task on which another step depends does not wait")
	}
}

// Guards against an outcome of a wait that is measured against the wrong end.
func TestWaitOutcomes(t *testing.T) {
	for outcome, runTime := range map[WaitOutcome]time.Duration{WaitPaid: 500 * ms, WaitNotPaid: 580 * ms} {
		h := newFullRack(t)
		h.now += 30 * ms
		h.beat(1, 3000)
		run := h.takeRuns()[process(1)][0]
		h.now += runTime
		h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: process(1), Ends: []wire.RunEnd{{Run: run.Run, RunMs: 400}}})
		h.take()
		if len(h.ended) != 1 || h.ended[0].Outcome != outcome || h.ended[0].Waited != 30*ms || h.ended[0].Gain != 570*ms-runTime && outcome == WaitPaid {
			t.Errorf("after %v: %+v, want %s", runTime, h.ended, outcome)
		}
	}
}

// Guards against a wait that lasts longer than it can pay, or a Tick that is not asked for then.
func TestWaitEnds(t *testing.T) {
	h := newFullRack(t)
	until := h.m.jobs["j"].tasks[0].rackWait.until
	if until != 200*ms {
		t.Errorf("wait until %v, want the 200 ms that a run away takes longer", until)
	}
	for h.now < until {
		if len(h.takeRuns()) > 0 {
			t.Fatalf("placed at %v", h.now)
		}
		next := h.tick()
		if next <= h.now || next > h.now+rackReviewInterval {
			t.Fatalf("next tick at %v at %v", next, h.now)
		}
		h.now = min(next, until)
		h.beat(0, 0, func(l *wire.Load) { l.RemainingWork = 32000 }) // room is always about to free
		h.beat(1, 0)
		h.beat(2, 32000)
	}
	if runs := h.takeRuns(); len(runs[process(2)]) != 1 {
		t.Errorf("runs %v after the wait", runs)
	}
	if len(h.ended) != 1 || h.ended[0].Outcome != WaitMoved || h.ended[0].Waited != until {
		t.Errorf("ended %+v", h.ended)
	}
}

// Guards against a task that waits for a rack on which it can't run any more, or without prospect.
func TestPlaceLost(t *testing.T) {
	for name, lose := range map[string]func(h *rackHarness, i int){
		"ended":     func(h *rackHarness, i int) { h.m.SidecarLost(h.now, process(i)) },
		"no answer": func(h *rackHarness, i int) { h.m.SetUnresponsive(process(i), true) },
		"suspect":   func(h *rackHarness, i int) { h.beat(i, 0, func(l *wire.Load) { l.Suspect = true }) },
		"closed":    func(h *rackHarness, i int) { h.beat(i, 0, func(l *wire.Load) { l.AcceptsRuns = false }) },
		"evacuated": func(h *rackHarness, _ int) {
			h.m.SetEvacuation(h.now, evacuation.State{Revision: 1, Zones: []string{info(0).Sidecar.Zone, info(1).Sidecar.Zone}})
		},
		"a long wait": func(h *rackHarness, i int) { h.beat(i, 0, func(l *wire.Load) { l.QueuedMilliCPU[0] = 64000 }) },
	} {
		h := newFullRack(t)
		h.now += 10 * ms
		for i := range 2 {
			lose(h, i)
		}
		h.now += rackReviewInterval
		h.tick()
		if runs := h.takeRuns(); len(runs[process(2)]) != 1 || h.m.jobs["j"].rackWaits != 0 {
			t.Errorf("%s: runs %v one check after the loss", name, runs)
		}
	}
}

// Guards against telling callers that a job may have run which has only waited.
func TestAbandonedWait(t *testing.T) {
	h := newFullRack(t)
	h.m.AbandonJobs(h.now)
	h.take()
	if got := h.answers["j"]; got.State != work.Refused || got.Reason != work.ReasonStopping {
		t.Errorf("answer %+v", got)
	}
	if len(h.m.rackWaits) != 0 || len(h.m.jobs) != 0 || len(h.ended) != 1 || h.ended[0].Outcome != WaitDropped {
		t.Errorf("%d waits, %d jobs, ended %+v", len(h.m.rackWaits), len(h.m.jobs), h.ended)
	}
}

// Guards against room that goes to the task that came first in place of the one that gains most.
func TestWaitOrder(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "a", "b")
	h.beat(0, 0)
	h.beat(1, 0)
	h.submit(wanting("wide", 2))
	h.submit(wanting("one", 1))
	if wide, one := h.m.jobs["wide"].rackWaits, h.m.jobs["one"].rackWaits; wide != 2 || one != 1 {
		t.Fatalf("%d and %d tasks wait", wide, one)
	}
	h.takeRuns()
	h.beat(0, 3000)
	if runs := h.takeRuns()[process(0)]; len(runs) != 1 || runs[0].Run.Task.Job != "one" {
		t.Errorf("the room went to %+v", runs)
	}
}

// Guards against a hot rack whose tasks all wait although the later ones can't gain.
func TestHotRackSheds(t *testing.T) {
	h := newRackHarness(t, 1.5, "a", "a", "b", "b", "b")
	h.beat(0, 0)
	h.beat(1, 0)
	for i := range 12 {
		h.submit(wanting(fmt.Sprint("j", i), 1))
	}
	waiting, away := len(h.m.rackWaits[rackKey{"svc", "a"}]), 0
	for p, runs := range h.takeRuns() {
		if h.m.workers[p].info.Rack != "a" {
			away += len(runs)
		}
	}
	if waiting == 0 || waiting > 4 || waiting+away != 12 {
		t.Errorf("%d tasks wait and %d run elsewhere of 12", waiting, away)
	}
}

// Guards against a change for jobs that prefer no rack, and without the setting.
func TestNoPreference(t *testing.T) {
	play := func(factor float64, rack string) string {
		h := newRackHarness(t, factor, "a", "a", "b", "b")
		h.beat(0, 0)
		h.beat(1, 0)
		text := ""
		for i := range 10 {
			j := wanting(fmt.Sprint("j", i), 3)
			j.Steps[0].PreferredRack = rack
			a, ok := h.submit(j)
			text += fmt.Sprint(a, ok, h.takeBatches())
		}
		if len(h.m.rackWaits) > 0 || len(h.ended) > 0 {
			t.Errorf("tasks wait with factor %v and rack %q", factor, rack)
		}
		return text
	}
	want := play(0, "")
	for _, c := range []struct {
		factor float64
		rack   string
	}{{0, "a"}, {1, "a"}, {1.5, ""}} {
		if play(c.factor, c.rack) != want {
			t.Errorf("factor %v and rack %q change the placement", c.factor, c.rack)
		}
	}
}
