package occupancy

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const ms = time.Millisecond

var owner = ident.Process{Instance: "entry", Incarnation: 7}

func newMachine(capacity int64) *Machine {
	m := New(Config{})
	m.SetWorker(0, Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: capacity}})
	m.SetWorkerAvailable(0, true)
	m.ApplyStatus(0, WorkerStatus{})
	return m
}

func request(job string, need int64, rank int) wire.RunRequest {
	return wire.RunRequest{
		Run:  work.RunID{Task: work.TaskID{Job: job}, Attempt: 1},
		Need: work.Resources{MilliCPU: need}, Rank: rank, EstimateMs: 100, MaxWaitMs: 200,
	}
}

func takeStarts(m *Machine) (ids []work.RunID) {
	for _, a := range m.Actions() {
		if o, ok := a.(StartRun); ok {
			ids = append(ids, o.Run)
		}
	}
	return ids
}

// Guards against urgent runs that wait behind less urgent ones in the queue, and
// against small runs that overtake a large run of the same rank indefinitely.
func TestQueueOrder(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("full", 4, 2)})
	full := takeStarts(m)
	m.Submit(0, owner, []wire.RunRequest{request("late", 1, 2), request("large", 4, 0), request("small", 1, 0)})
	if got := takeStarts(m); len(got) != 0 {
		t.Fatalf("started without free capacity: %v", got)
	}
	m.StartAnswered(ms, full[0], Accepted, "")
	m.ApplyStatus(2*ms, WorkerStatus{RequestedAt: ms, Ended: []EndedRun{{Run: full[0], Outcome: work.Done}}})
	if got := takeStarts(m); len(got) != 1 || got[0].Task.Job != "large" {
		t.Errorf("started %v, want only the large urgent run", got)
	}
}

// Guards against runs with NoWait that stay queued, that are returned although the
// worker has free capacity, or that start after they have been returned.
func TestNoWait(t *testing.T) {
	m := newMachine(4)
	first, second, third := request("first", 3, 1), request("second", 3, 0), request("third", 1, 1)
	for _, r := range []*wire.RunRequest{&first, &second, &third} {
		r.NoWait = true
	}
	m.Submit(0, owner, []wire.RunRequest{first, second, third})
	var started, returned []string
	for _, a := range m.Actions() {
		switch a := a.(type) {
		case StartRun:
			started = append(started, a.Run.Task.Job)
		case ReportEnd:
			if a.End.Outcome != work.NoRoom {
				t.Errorf("%s was returned with outcome %v", a.End.Run.Task.Job, a.End.Outcome)
			}
			returned = append(returned, a.End.Run.Task.Job)
		}
	}
	if fmt.Sprint(started) != "[second third]" || fmt.Sprint(returned) != "[first]" {
		t.Errorf("started %v, returned %v, want [second third] and [first]", started, returned)
	}
	m.StartAnswered(ms, second.Run, Rejected, "")
	if got := takeStarts(m); len(got) != 0 {
		t.Errorf("started after it was returned: %v", got)
	}
}

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

// Guards against starts while the worker executes a run of an earlier sidecar process,
// because the capacity that this run occupies is unknown.
func TestUnknownRuns(t *testing.T) {
	m := New(Config{})
	m.SetWorker(0, Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: 4}})
	m.SetWorkerAvailable(0, true)
	unknown := work.RunID{Task: work.TaskID{Job: "old"}, Attempt: 3}
	m.ApplyStatus(0, WorkerStatus{Running: []Progress{{Run: unknown}}})
	if m.AcceptsRuns() {
		t.Fatal("accepts runs while the worker executes an unknown run")
	}
	stops := 0
	for now := time.Duration(0); now < 400*ms; now += 10 * ms {
		m.Tick(now)
		for _, a := range m.Actions() {
			if s, ok := a.(StopRun); ok && s.Run == unknown {
				stops++
			}
		}
	}
	if stops < 3 {
		t.Errorf("an unanswered stop call was sent %d times, want at least 3", stops)
	}
	m.ApplyStatus(time.Second, WorkerStatus{RequestedAt: time.Second})
	if !m.AcceptsRuns() {
		t.Error("accepts no runs although the unknown run has ended")
	}
}

// Guards against runs that make no progress and occupy capacity until the deadline of
// their job.
func TestStalled(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("a", 1, 0)})
	id := takeStarts(m)[0]
	m.StartAnswered(ms, id, Accepted, "")
	m.ApplyStatus(100*ms, WorkerStatus{RequestedAt: 50 * ms, Running: []Progress{{Run: id, Percent: 3}}})
	// A percentage that varies without exceeding its earlier maximum is no progress.
	for now := 150 * ms; now < 500*ms; now += 50 * ms {
		m.ApplyStatus(now, WorkerStatus{RequestedAt: now - ms, Running: []Progress{{Run: id, Percent: int(now/(50*ms)) % 4}}})
	}
	m.Tick(300 * ms)
	if len(m.Actions()) > 0 {
		t.Error("stopped before the stall timeout")
	}
	m.Tick(100*ms + DefaultStallTimeout)
	if len(m.Actions()) == 0 {
		t.Fatal("a run without progress is not stopped")
	}
	m.ApplyStatus(time.Second, WorkerStatus{RequestedAt: 900 * ms, Ended: []EndedRun{{Run: id, Outcome: work.Lost}}})
	for _, a := range m.Actions() {
		if r, ok := a.(ReportEnd); ok && r.End.Outcome != work.Stalled {
			t.Errorf("reported as %v, want stalled", r.End.Outcome)
		}
	}
	if l := m.Load(time.Second); !l.Suspect {
		t.Error("the worker is not suspect")
	}
}

// Guards against a worker that becomes suspect because of a single job whose runs
// always fail.
func TestSuspect(t *testing.T) {
	m := newMachine(100)
	fail := func(job string, n int) {
		for i := range n {
			q := request(job, 1, 0)
			q.Run.Task.Index = i
			m.Submit(0, owner, []wire.RunRequest{q})
			for _, id := range takeStarts(m) {
				m.StartAnswered(0, id, Accepted, "")
				m.ApplyStatus(ms, WorkerStatus{Ended: []EndedRun{{Run: id, Outcome: work.RunFailed}}})
			}
		}
	}
	fail("poison", 20)
	if m.Load(ms).Suspect {
		t.Error("suspect after the failed runs of a single job")
	}
	for i := range suspectAfterJobs {
		fail(fmt.Sprint("job", i), 1)
	}
	if !m.Load(ms).Suspect {
		t.Error("not suspect after several jobs failed in a row")
	}
	if l := m.Load(ms + suspectDuration); l.Suspect || !l.Probe {
		t.Errorf("after the suspect duration: %+v, want a probe", l)
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
				rejected = rejected || a.Owner == other && a.End.Outcome == work.NotRun
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

// Guards against a worker that counts as slow forever after a slow phase, because it
// gets no runs that could show that it has recovered.
func TestSlownessDecays(t *testing.T) {
	m := newMachine(100)
	now := time.Duration(0)
	for i := range 100 {
		q := request(fmt.Sprint(i), 1, 0)
		m.Submit(now, owner, []wire.RunRequest{q})
		m.StartAnswered(now, takeStarts(m)[0], Accepted, "")
		now += 600 * ms
		m.ApplyStatus(now, WorkerStatus{RequestedAt: now, Ended: []EndedRun{{Run: q.Run, Outcome: work.Done}}})
	}
	if got := m.Load(now).Slowness; got < 4 {
		t.Fatalf("slowness %.2f after runs that took six times as long", got)
	}
	if got := m.Load(now + 10*time.Second).Slowness; got > 1.1 {
		t.Errorf("slowness %.2f after 10 s without a run", got)
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
	if ends := reportedEnds(m); len(ends) != 2 || ends[1].Run != again.Run || ends[1].Outcome != work.NotRun {
		t.Errorf("ends %v, want that of the running one and then that of the second owner as not run", ends)
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
