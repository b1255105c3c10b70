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

// Guards against a run that is stopped and reported as lost, and so started again, although it
// is done and only its end did not fit into a status.
func TestEndInNextStatus(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("running", 1, 0), request("stopped", 1, 0)})
	starts := takeStarts(m)
	for _, run := range starts {
		m.StartAnswered(ms, run, Accepted, "")
	}
	m.Stop(2*ms, owner, starts[1])
	m.StopConfirmed(3*ms, starts[1])
	m.ApplyStatus(5*ms, WorkerStatus{RequestedAt: 4 * ms, MoreEnds: true})
	if ends := reportedEnds(m); len(ends) > 0 {
		t.Errorf("ends %v from a status that does not list all ends", ends)
	}
	m.StopConfirmed(6*ms, starts[0])
	m.ApplyStatus(8*ms, WorkerStatus{RequestedAt: 7 * ms, MoreEnds: true})
	m.ApplyStatus(10*ms, WorkerStatus{RequestedAt: 9 * ms, Ended: []EndedRun{{Run: starts[0], Outcome: work.Done}, {Run: starts[1], Outcome: work.Done}}})
	ends := reportedEnds(m)
	if len(ends) != 2 || ends[0].Outcome != work.Done || ends[1].Outcome != work.Done {
		t.Errorf("ends %v, want two that are done", ends)
	}
}

// Guards against runs that a new sidecar process accepts while old ends are still to come, which
// may have the ID of a new run.
func TestNoStartsBeforeAllEnds(t *testing.T) {
	m := New(Config{})
	m.SetWorker(0, Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: 4}})
	m.SetWorkerAvailable(0, true)
	if m.ApplyStatus(2*ms, WorkerStatus{RequestedAt: ms, MoreEnds: true}); m.AcceptsRuns() {
		t.Error("runs are accepted before all ends are known")
	}
	if m.ApplyStatus(4*ms, WorkerStatus{RequestedAt: 3 * ms}); !m.AcceptsRuns() {
		t.Error("no runs are accepted after all ends are known")
	}
}
