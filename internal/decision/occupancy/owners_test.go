package occupancy

import (
	"slices"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// submission returns a run of task a whose job was submitted to its owner some time ago.
func submission(attempt int, age time.Duration) wire.RunRequest {
	q := request("a", 1, 0)
	q.Run.Attempt, q.JobAgeMs = attempt, age.Milliseconds()
	return q
}

// outcomes returns the reported ends by owner.
func outcomes(m *Machine) map[string][]work.Outcome {
	ends := map[string][]work.Outcome{}
	for _, a := range m.Actions() {
		if e, ok := a.(ReportEnd); ok {
			ends[e.Owner.Instance] = append(ends[e.Owner.Instance], e.End.Outcome)
		}
	}
	return ends
}

// wantOutcomes checks the ends reported since the last check: none to other owners.
func wantOutcomes(t *testing.T, m *Machine, step string, want map[string][]work.Outcome) {
	t.Helper()
	got := outcomes(m)
	same := len(got) == len(want)
	for owner, list := range want {
		same = same && slices.Equal(got[owner], list)
	}
	if !same {
		t.Errorf("%s: ends %v, want %v", step, got, want)
	}
}

// Guards against an owner that starts a task again elsewhere after its run was stopped because
// the caller has submitted the job again to another owner, whatever the run's result.
func TestSupersededRun(t *testing.T) {
	first, second := ident.Process{Instance: "first"}, ident.Process{Instance: "second"}
	for _, result := range []work.Outcome{work.Lost, work.RunFailed, work.Done} {
		for _, stalled := range []bool{false, true} {
			m := newMachine(4)
			q := submission(1, ms)
			m.Submit(0, first, []wire.RunRequest{q})
			m.StartAnswered(ms, q.Run, Accepted, "")
			now := 2 * ms
			if stalled {
				now = DefaultStallTimeout + 2*ms
				m.Tick(now) // orders a stop
			}
			m.Actions()
			m.Submit(now, second, []wire.RunRequest{submission(1, ms)})
			wantOutcomes(t, m, "before the end", nil)
			m.ApplyStatus(now+2*ms, WorkerStatus{RequestedAt: now + ms, Ended: []EndedRun{{Run: q.Run, Outcome: result}}})
			wantOutcomes(t, m, result.String(), map[string][]work.Outcome{"first": {work.Superseded}, "second": {work.Outdated}})
		}
	}
}

// Guards against a run of a later submission that is stopped for one of an earlier submission,
// whose caller has left.
func TestRunOfEarlierSubmission(t *testing.T) {
	first, second := ident.Process{Instance: "first"}, ident.Process{Instance: "second"}
	m := newMachine(4)
	m.Submit(0, second, []wire.RunRequest{submission(1, 10*ms)})
	m.Actions()
	m.Submit(2*ms, first, []wire.RunRequest{submission(3, 1310*ms)})
	if starts := takeStarts(m); len(starts) > 0 || m.NumActive() != 1 || m.HasRunsOf(first) {
		t.Errorf("starts %v, %d active runs, want the run of the later submission only", starts, m.NumActive())
	}
	m.Submit(3*ms, first, []wire.RunRequest{submission(4, 1311*ms)})
	wantOutcomes(t, m, "the earlier submission", map[string][]work.Outcome{"first": {work.Superseded}})
	if m.runs[submission(1, 0).Run].phase != starting {
		t.Error("the run of the later submission is stopped")
	}
}

// Guards against two owners that both start a task elsewhere when the run of a third one has
// ended.
func TestThreeSubmissions(t *testing.T) {
	first, second, third := ident.Process{Instance: "first"}, ident.Process{Instance: "second"}, ident.Process{Instance: "third"}
	for _, thirdLast := range []bool{false, true} {
		m := newMachine(4)
		q := submission(1, ms)
		m.Submit(0, first, []wire.RunRequest{q})
		m.StartAnswered(ms, q.Run, Accepted, "")
		m.Actions()
		const newest = 3000 * ms
		submitSecond := func() { m.Submit(newest, second, []wire.RunRequest{submission(1, 1500*ms)}) }
		submitThird := func() { m.Submit(newest, third, []wire.RunRequest{submission(1, ms)}) }
		if thirdLast {
			submitSecond()
			submitThird()
		} else {
			submitThird()
			submitSecond()
		}
		got := outcomes(m)
		m.ApplyStatus(newest+2*ms, WorkerStatus{RequestedAt: newest + ms, Ended: []EndedRun{{Run: q.Run, Outcome: work.Lost}}})
		for owner, list := range outcomes(m) {
			got[owner] = append(got[owner], list...)
		}
		for owner, want := range map[string]work.Outcome{"first": work.Superseded, "second": work.Superseded, "third": work.Outdated} {
			if !slices.Equal(got[owner], []work.Outcome{want}) {
				t.Errorf("third last: %v: ends %v of %s, want %v", thirdLast, got[owner], owner, want)
			}
		}
		for _, o := range []ident.Process{first, second, third} {
			if m.HasRunsOf(o) {
				t.Errorf("%s has runs after all have ended", o.Instance)
			}
		}
	}
}

// Guards against an outcome that an owner of an earlier release rejects with its whole report.
func TestSupersededOwnerOfEarlierRelease(t *testing.T) {
	first, second := ident.Process{Instance: "first"}, ident.Process{Instance: "second"}
	m := newMachine(4)
	q := submission(1, 0)
	m.Submit(0, first, []wire.RunRequest{q})
	m.StartAnswered(ms, q.Run, Accepted, "")
	m.Actions()
	m.Submit(2*ms, second, []wire.RunRequest{submission(1, ms)})
	m.ApplyStatus(5*ms, WorkerStatus{RequestedAt: 4 * ms, Ended: []EndedRun{{Run: q.Run, Outcome: work.Lost}}})
	wantOutcomes(t, m, "an end", map[string][]work.Outcome{"first": {work.Lost}, "second": {work.Outdated}})
}
