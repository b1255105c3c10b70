package occupancy

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against runs that start after their owner was dropped, and against capacity
// that is reused before the runs of the owner have certainly ended.
func TestDropOwner(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("a", 4, 0), request("b", 4, 0)})
	m.StartAnswered(ms, takeStarts(m)[0], Accepted, "")
	if n := len(m.DropOwner(2*ms, owner)); n != 2 {
		t.Errorf("%d runs dropped, want 2", n)
	}
	if !m.HasRunsOf(owner) || m.Used().MilliCPU != 4 {
		t.Error("the capacity is free although the worker may execute the run")
	}
	for _, a := range m.Actions() {
		if _, reported := a.(ReportEnd); reported {
			t.Error("an end is reported to a dropped owner")
		}
	}
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	m.StopConfirmed(3*ms, run)
	m.ApplyStatus(5*ms, WorkerStatus{RequestedAt: 2 * ms})
	if !m.HasRunsOf(owner) {
		t.Error("a status requested before the stop was confirmed ended the run")
	}
	m.ApplyStatus(7*ms, WorkerStatus{RequestedAt: 4 * ms})
	if m.HasRunsOf(owner) || m.Used().MilliCPU != 0 {
		t.Error("the run still occupies capacity after its end")
	}
}

// Guards against two concurrent runs of a task for two owners, after the caller has
// submitted the job again to another entry instance.
func TestSecondOwner(t *testing.T) {
	m := newMachine(10)
	m.Submit(0, owner, []wire.RunRequest{request("a", 1, 0)})
	id := takeStarts(m)[0]
	m.StartAnswered(ms, id, Accepted, "")
	other := ident.Process{Instance: "other"}
	m.Submit(2*ms, other, []wire.RunRequest{request("a", 1, 0)})
	stopped, rejected := false, false
	check := func() {
		for _, a := range m.Actions() {
			switch a := a.(type) {
			case StartRun:
				t.Error("the second run starts while the first may be executing")
			case StopRun:
				stopped = true
			case ReportEnd:
				rejected = rejected || a.Owner == other && a.End.Outcome == work.Outdated
			}
		}
	}
	check()
	m.StopConfirmed(3*ms, id)
	m.ApplyStatus(5*ms, WorkerStatus{RequestedAt: 4 * ms, Running: []Progress{{Run: id}}})
	if check(); !stopped || rejected {
		t.Errorf("first run stopped: %v, second run rejected: %v before the first has ended, so that its owner starts it elsewhere", stopped, rejected)
	}
	m.ApplyStatus(7*ms, WorkerStatus{RequestedAt: 6 * ms, Ended: []EndedRun{{Run: id, Outcome: work.Lost}}})
	if check(); !rejected {
		t.Error("the second run is not rejected after the first has ended")
	}
}

// Guards against a crash when a task is submitted by a second owner while the first one
// has several runs of it, of which some are queued.
func TestOtherOwnerWithSeveralRuns(t *testing.T) {
	m := newMachine(4)
	first := ident.Process{Instance: "entry", Incarnation: 8}
	running, queued, again := request("a", 4, 0), request("a", 4, 0), request("a", 4, 0)
	queued.Run.Attempt, queued.Rank, again.Run.Attempt = 2, 1, 3
	m.Submit(0, first, []wire.RunRequest{queued, running})
	m.Submit(0, owner, []wire.RunRequest{again})
	if m.runs[again.Run] != nil {
		t.Error("a second owner's run is accepted while runs of the first one are being stopped")
	}
	if ends := reportedEnds(m); len(ends) != 1 || ends[0].Run != queued.Run || ends[0].Outcome != work.NotRun {
		t.Errorf("ends %v, want the queued run as not run", ends)
	}
	m.StartAnswered(ms, running.Run, Accepted, "")
	m.StopConfirmed(ms, running.Run)
	m.ApplyStatus(3*ms, WorkerStatus{RequestedAt: 2 * ms})
	if ends := reportedEnds(m); len(ends) != 2 || ends[1].Run != again.Run || ends[1].Outcome != work.Outdated {
		t.Errorf("ends %v, want that of the running one and then that of the second owner as outdated", ends)
	}
	if m.HasRunsOf(owner) || m.HasRunsOf(first) {
		t.Error("an owner has runs after all have ended")
	}
}

// Guards against a stopped run whose end leaves no record.
func TestStopSettled(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("job", 1, 0)})
	run := takeStarts(m)[0]
	m.StartAnswered(ms, run, Accepted, "")
	m.DropOwner(100*ms, owner)
	m.StopConfirmed(110*ms, run)
	m.Actions()
	m.ApplyStatus(150*ms, WorkerStatus{RequestedAt: 120 * ms})
	want := StopSettled{Run: run, Owner: owner, Reason: "the owner is lost", Outcome: work.Lost, Ran: 100 * ms, Settling: 50 * ms, Confirmed: true}
	if got := m.Actions(); len(got) != 1 || got[0] != want {
		t.Errorf("actions %+v, want only %+v", got, want)
	}
}

// Guards against a delayed stop of one owner that stops another owner's run of the same
// task and attempt, and leaves the first owner without a report.
func TestStopOfAnotherOwnersRun(t *testing.T) {
	m := newMachine(4)
	q := request("a", 1, 0)
	m.Submit(0, owner, []wire.RunRequest{q})
	m.StartAnswered(ms, q.Run, Accepted, "")
	m.Actions()
	if m.Stop(2*ms, ident.Process{Instance: "another"}, q.Run) || len(m.Actions()) > 0 {
		t.Error("the run of another owner is stopped")
	}
	if !m.Stop(3*ms, owner, q.Run) || len(m.Actions()) == 0 {
		t.Error("the owner's run is not stopped")
	}
}
