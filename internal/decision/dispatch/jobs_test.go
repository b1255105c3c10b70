package dispatch

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestMain fixes the seed, the number of checks and the number of steps of the
// property tests unless flags set them, so that each run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func checkAnswer(t *testing.T, a jobapi.JobAnswer, s jobapi.JobState, r jobapi.Reason, notRun bool) {
	t.Helper()
	if a.State != s || a.Reason != r || a.NotRun != notRun {
		t.Fatalf("got %+v, want %s %q notRun=%v", a, s, r, notRun)
	}
}

// TestResubmission guards against a repeated submission that starts the tasks
// again, and against two different requests with the same ID that are treated as
// the same job.
func TestResubmission(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 2)
	m.Grant(0, process(1), grants(0, 2))
	checkAnswer(t, m.Submit(0, id(1), request("quick", 1)), jobapi.JobQueued, "", false)
	s := singleStart(t, m, process(1))
	checkAnswer(t, m.Submit(0, id(1), request("quick", 1)), jobapi.JobRunning, "", false)
	checkAnswer(t, m.Submit(0, id(1), request("quick", 2)), jobapi.JobRefused, jobapi.ReasonSubmissionConflict, false)
	m.Results(0, process(1), taskResult(s, jobapi.TaskCompleted))
	checkAnswer(t, m.Submit(0, id(1), request("quick", 1)), jobapi.JobComplete, "", false)
	if n := len(startsBySidecar(m.Actions())); n != 0 {
		t.Fatalf("%d further dispatches", n)
	}
}

// TestExpiredSubmissionID guards against an ID that is accepted again after its
// answer has been forgotten.
func TestExpiredSubmissionID(t *testing.T) {
	m := newMachine(nil)
	idOfWindow := func(w uint64) string { return ident.SubmissionPrefix(self, w) + "x" }
	checkAnswer(t, m.Submit(0, idOfWindow(15), request("quick", 1)), jobapi.JobQueued, "", false)
	checkAnswer(t, m.Submit(0, idOfWindow(14), request("quick", 1)), jobapi.JobRefused, jobapi.ReasonSubmissionExpired, true)
	checkAnswer(t, m.Submit(0, idOfWindow(4), request("quick", 1)), jobapi.JobFailed, jobapi.ReasonSubmissionExpired, false)
	checkAnswer(t, m.Submit(0, idOfWindow(21), request("quick", 1)), jobapi.JobRefused, jobapi.ReasonOwnerUnreachable, false)
	m.SetWindow(0, 31)
	// Unanswered jobs are not forgotten.
	checkAnswer(t, m.Submit(0, idOfWindow(15), request("quick", 1)), jobapi.JobQueued, "", false)
	m.Tick(time.Minute)
	m.SetWindow(time.Minute, 32)
	a, known := m.Answer(time.Minute, idOfWindow(15))
	checkAnswer(t, a, jobapi.JobFailed, jobapi.ReasonSubmissionExpired, false)
	if !known || len(m.jobs) != 0 {
		t.Fatalf("known %v, %d jobs kept", known, len(m.jobs))
	}
}

// TestRefusalIsRepeated guards against an answer "not run" that becomes false
// because a later copy of the same request is admitted.
func TestRefusalIsRepeated(t *testing.T) {
	m := newMachine(nil)
	m.SetDraining(true)
	checkAnswer(t, m.Submit(0, id(1), request("quick", 1)), jobapi.JobRefused, jobapi.ReasonDraining, true)
	m.SetDraining(false)
	checkAnswer(t, m.Submit(0, id(1), request("quick", 1)), jobapi.JobRefused, jobapi.ReasonDraining, true)
	checkAnswer(t, m.Cancel(0, id(2)), jobapi.JobRefused, jobapi.ReasonCanceled, true)
	checkAnswer(t, m.Submit(0, id(2), request("quick", 1)), jobapi.JobRefused, jobapi.ReasonCanceled, true)
}

// TestResultBytes guards against unbounded memory for answers, and against task
// states that are lost when the task results are dropped.
func TestResultBytes(t *testing.T) {
	m := newMachine(nil)
	m.history.maxBytes = 2500
	attach(m, 0, process(1), 1)
	for n := range 3 {
		m.Grant(0, process(1), grants(n, 1))
		m.Submit(0, id(n), request("quick", 1))
		r := taskResult(singleStart(t, m, process(1)), jobapi.TaskCompleted)
		r[0].Body = json.RawMessage(make([]byte, 1000))
		m.Results(0, process(1), r)
		m.Actions()
	}
	a, _ := m.Answer(0, id(0))
	checkAnswer(t, a, jobapi.JobComplete, jobapi.ReasonResultDropped, false)
	if len(a.Tasks) != 1 || a.Tasks[0].State != jobapi.TaskCompleted || a.Tasks[0].Result != nil {
		t.Fatalf("dropped answer %+v", a)
	}
	a, _ = m.Answer(0, id(2))
	checkAnswer(t, a, jobapi.JobComplete, "", false)
}

// TestStartOrder guards against short tasks that start before long ones of the
// same job, later jobs that start before earlier ones, and requeued tasks that
// start after others.
func TestStartOrder(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 1)
	req := request("quick", 3)
	for i, ms := range []int64{10, 30, 20} {
		req.Tasks[i].RunMs = ms
	}
	m.Submit(0, id(1), req)
	m.Submit(0, id(2), request("quick", 1))
	var got []wire.TaskKey
	for n := range 5 {
		m.Grant(0, process(1), grants(n, 1))
		s := singleStart(t, m, process(1))
		got = append(got, s.Task)
		if n == 1 {
			m.DispatchReply(0, process(1), []wire.Start{s}, []wire.StartCode{wire.RefusedCredit})
		}
	}
	for n, w := range []wire.TaskKey{{Submission: id(1), Index: 1}, {Submission: id(1), Index: 2}, {Submission: id(1), Index: 2}, {Submission: id(1), Index: 0}, {Submission: id(2)}} {
		if got[n] != w {
			t.Fatalf("start %d is %v, want %v", n, got[n], w)
		}
	}
}

// TestRetryBudget guards against endless retries of a task that never starts, and
// against an answer that the job may have run.
func TestRetryBudget(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 1)
	m.Submit(0, id(1), request("quick", 1))
	n := 0
	for ; n < 50; n++ {
		m.Grant(0, process(1), grants(n, 1))
		s := startsBySidecar(m.Actions())[process(1)]
		if len(s) == 0 {
			break
		}
		m.DispatchFailed(0, process(1), s, true)
		for _, a := range m.Actions() {
			f := a.(Fence)
			m.FenceReply(0, process(1), f.Starts, wire.FenceReply{Outcomes: []wire.LedgerEntry{{Task: s[0].Task, State: jobapi.TaskNotRun}}})
		}
	}
	a, _ := m.Answer(0, id(1))
	checkAnswer(t, a, jobapi.JobFailed, jobapi.ReasonTaskFailed, true)
	if n != 11 {
		t.Fatalf("%d starts, want the first and 10 retries", n)
	}
}

// TestLateReply guards against a dispatch reply that is applied to a later
// dispatch of the same task to the same sidecar.
func TestLateReply(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 2)
	m.Grant(0, process(1), grants(0, 1))
	m.Submit(0, id(1), request("quick", 1))
	first := singleStart(t, m, process(1))
	m.Results(0, process(1), taskResult(first, jobapi.TaskNotRun))
	m.Grant(0, process(1), grants(1, 1))
	second := singleStart(t, m, process(1))
	m.DispatchReply(0, process(1), []wire.Start{first}, []wire.StartCode{wire.Accepted})
	m.DispatchFailed(0, process(1), []wire.Start{second}, false)
	m.Grant(0, process(1), grants(2, 1))
	if third := singleStart(t, m, process(1)); third.Task != first.Task {
		t.Fatalf("started %v", third.Task)
	}
}

// TestAbandon guards against an incarnation that ends without answering its jobs,
// or that answers a task in flight as not run.
func TestAbandon(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 1)
	m.Grant(0, process(1), grants(0, 1))
	m.Submit(0, id(1), request("quick", 2))
	m.Submit(0, id(2), request("quick", 1))
	singleStart(t, m, process(1))
	m.Abandon(0)
	a, _ := m.Answer(0, id(1))
	checkAnswer(t, a, jobapi.JobFailed, jobapi.ReasonOutcomeUnknown, false)
	if a.Tasks[0].State != jobapi.TaskMayHaveRun || a.Tasks[1].State != jobapi.TaskNotRun {
		t.Fatalf("tasks %+v", a.Tasks)
	}
	a, _ = m.Answer(0, id(2))
	checkAnswer(t, a, jobapi.JobFailed, jobapi.ReasonDraining, true)
}
