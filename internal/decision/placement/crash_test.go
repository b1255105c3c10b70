package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// newPatientJob returns a job of one task whose caller waits for long.
func newPatientJob(id string) *work.Job {
	j := newJobSpec(id, 1, 50*ms)
	j.Timeout = time.Minute
	return j
}

// takeOnlyRun returns the only run that was sent, and its sidecar.
func (h *harness) takeOnlyRun() (ident.Process, wire.RunRequest) {
	h.t.Helper()
	for sidecar, runs := range h.takeRuns() {
		if len(runs) == 1 {
			return sidecar, runs[0]
		}
	}
	h.t.Fatal("no run was sent")
	return ident.Process{}, wire.RunRequest{}
}

// loseRun reports that a run ended with its worker process.
func (h *harness) loseRun(sidecar ident.Process, r wire.RunRequest, crash work.Crash) {
	h.now += 10 * ms
	h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: sidecar, Ends: []wire.RunEnd{
		{Run: r.Run, Outcome: work.Lost, Crash: crash, CrashedIncarnation: int64(h.now)}}})
	h.collect()
}

func crashOf(sidecar string, job string) crashes.Record {
	return crashes.Record{ID: crashes.ID{Sidecar: sidecar, Incarnation: 1}, Tasks: []work.TaskID{{Job: job}}}
}

// Guards against a task that is started again and again although each run crashes its worker.
func TestTaskThatCrashesWorkers(t *testing.T) {
	h := newHarness(t, 6)
	h.submit(newPatientJob("a"))
	for range 2 {
		sidecar, r := h.takeOnlyRun()
		h.loseRun(sidecar, r, work.Crashed)
	}
	if a := h.answers["a"]; a.State != work.Unfinished || a.Reason != work.ReasonCrashes {
		t.Errorf("answer %+v, want an unfinished job", a)
	}
	if runs := h.takeRuns(); len(runs) > 0 {
		t.Errorf("runs %+v after the answer", runs)
	}
}

// Guards against a job that is given up because it met two crashes that another job may have
// caused, and against one that is started after a third.
func TestTaskThatMeetsCrashesOfOthers(t *testing.T) {
	h := newHarness(t, 6)
	h.submit(newPatientJob("a"))
	for i := range DefaultMaxCrashes {
		if a, answered := h.answers["a"]; answered {
			t.Fatalf("answer %+v after %d crashes", a, i)
		}
		sidecar, r := h.takeOnlyRun()
		h.now += 10 * ms
		id := crashes.ID{Sidecar: sidecar.Instance, Incarnation: int64(h.now)}
		h.m.RecordCrashes(h.now, []crashes.Record{{ID: id, At: h.now, Tasks: []work.TaskID{{Job: "a"}, {Job: "other"}}}})
		h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: sidecar, Ends: []wire.RunEnd{{Run: r.Run, Outcome: work.Lost, Crash: work.Crashed, CrashedIncarnation: int64(h.now)}}})
		h.collect()
	}
	if a := h.answers["a"]; a.State != work.Failed {
		t.Errorf("answer %+v, want a failed job", a)
	}
}

// Guards against a count of crashes that begins anew when the job is submitted to another entry
// instance, before or after that one hears of the crashes.
func TestCrashesUnderOtherOwner(t *testing.T) {
	h := newHarness(t, 6)
	h.m.RecordCrashes(h.now, []crashes.Record{crashOf("x", "a"), crashOf("x", "a")})
	if _, ok := h.submit(newPatientJob("a")); !ok {
		t.Error("the job was refused after one crash, of which two processes told")
	}
	h.m.RecordCrashes(h.now, []crashes.Record{crashOf("y", "a")})
	h.collect()
	if a := h.answers["a"]; a.Reason != work.ReasonCrashes {
		t.Errorf("answer %+v, want one because of the crashes", a)
	}
	stops := 0
	for _, b := range h.takeBatches() {
		stops += len(b.Stops)
	}
	if stops != 1 {
		t.Errorf("%d stops, want 1", stops)
	}
	h.m.RecordCrashes(h.now, []crashes.Record{crashOf("u", "b"), crashOf("v", "b")})
	if a, ok := h.submit(newPatientJob("b")); ok || a.State != work.Unfinished || a.Reason != work.ReasonCrashes {
		t.Errorf("answer %+v, want an unfinished job", a)
	}
	h.m.RecordCrashes(h.now, []crashes.Record{crashOf("w", "b")})
	if a, ok := h.submit(newPatientJob("b")); ok || a.State != work.Failed {
		t.Errorf("answer %+v after a third crash, want a failed job", a)
	}
}

// Guards against a job that is called failed although its task may not have been at work
// on the workers that crashed, and against one that is started without end for the same reason.
func TestUncertainCrashes(t *testing.T) {
	h := newHarness(t, 6)
	h.submit(newPatientJob("a"))
	for i := range maxPossibleCrashes {
		if a, answered := h.answers["a"]; answered {
			t.Fatalf("answer %+v after %d uncertain crashes", a, i)
		}
		sidecar, r := h.takeOnlyRun()
		h.loseRun(sidecar, r, work.UncertainCrash)
	}
	if a := h.answers["a"]; a.State != work.Unfinished || a.Reason != work.ReasonCrashes {
		t.Errorf("answer %+v, want an unfinished job", a)
	}
	if runs := h.takeRuns(); len(runs) > 0 {
		t.Errorf("runs %+v after the answer", runs)
	}
}

// Guards against further starts while it is unknown how many of the silent workers the task has
// crashed, and against a job that waits although one of them turns out not to have crashed.
func TestStartWaitsForSilentWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation int64 // of the worker that is heard again
		want        work.State
		runs        int
	}{
		"not crashed": {1, work.Completed, 1},
		"crashed":     {2, work.Unfinished, 0},
	} {
		h := newHarness(t, 6)
		h.submit(newPatientJob("a"))
		var silent []int
		for range maxPossibleCrashes {
			sidecar, r := h.takeOnlyRun()
			var i int
			if _, err := fmt.Sscanf(sidecar.Instance, "side-%d", &i); err != nil {
				t.Fatal(err)
			}
			silent = append(silent, i)
			h.m.workers[sidecar].info.Incarnation = 1
			h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: sidecar, Ends: []wire.RunEnd{
				{Run: r.Run, Outcome: work.Lost, Crash: work.SilentWorker, CrashedIncarnation: 1}}})
			h.collect()
		}
		if runs := h.takeRuns(); len(runs) > 0 {
			t.Errorf("%s: runs %+v while %d workers are silent", name, runs, len(silent))
		}
		for _, i := range silent[:2] {
			known := info(i)
			known.Incarnation = c.incarnation
			h.version++
			h.m.Heartbeat(h.now, known, 0, wire.Load{Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}}, true)
			h.collect()
		}
		runs := 0
		for _, list := range h.takeRuns() {
			runs += len(list)
		}
		if a := h.answers["a"]; a.State != c.want || runs != c.runs {
			t.Errorf("%s: answer %+v and %d runs, want %v and %d", name, a, runs, c.want, c.runs)
		}
	}
}

// Guards against a job that fails because of a task that has been done since.
func TestCrashesUnderDoneTask(t *testing.T) {
	h := newHarness(t, 6)
	spec := newJobSpec("a", 2, 50*ms)
	h.submit(spec)
	for sidecar, runs := range h.takeRuns() {
		for _, r := range runs {
			if r.Run.Task.Index == 0 {
				h.endRun(sidecar, r, work.Done)
			}
		}
	}
	h.m.RecordCrashes(h.now, []crashes.Record{crashOf("x", "a"), crashOf("y", "a")})
	h.collect()
	if a, answered := h.answers["a"]; answered {
		t.Errorf("answer %+v", a)
	}
}
