package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestAnswerMatchesExecution guards against a recovered answer that reports a
// started task as not run, or an incomplete job as complete. The model chooses
// which sidecar ran which task, and then makes ledgers unreadable, unfenced or
// incomplete after a restart.
func TestAnswerMatchesExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sub := Submission{
			ID:               ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"},
			Tasks:            rapid.IntRange(1, 6).Draw(t, "tasks"),
			OwnerKnown:       rapid.Bool().Draw(t, "ownerKnown"),
			OwnerFirstWindow: rapid.Uint64Range(0, 6).Draw(t, "ownerFirstWindow"),
			PeersNotified:    rapid.Bool().Draw(t, "peersNotified"),
		}
		sidecars := rapid.IntRange(1, 3).Draw(t, "sidecars")
		ledgers := make([]SidecarLedger, sidecars)
		hidden := make([]bool, sidecars)
		for i := range ledgers {
			p := ident.Process{Instance: "s", Incarnation: uint64(i + 1)}
			ledgers[i].Sidecar = p
			known := wire.LedgerReply{Sidecar: p, OwnerFenced: rapid.Bool().Draw(t, "fenced"), OwnerKnown: true, OwnerFirstWindow: rapid.Uint64Range(0, 6).Draw(t, "first")}
			restarted := known.OwnerFirstWindow >= sub.ID.Window
			lost := rapid.Bool().Draw(t, "lost")
			hidden[i] = restarted || lost || !known.OwnerFenced
			if !lost {
				ledgers[i].Ledger = &known
			}
		}
		ran := make([]bool, sub.Tasks)
		visible := 0
		for i := range ran {
			ran[i] = rapid.Bool().Draw(t, "ran")
			if !ran[i] {
				continue
			}
			s := rapid.IntRange(0, sidecars-1).Draw(t, "at")
			if l := ledgers[s].Ledger; l != nil && (!hidden[s] || rapid.Bool().Draw(t, "seen")) {
				visible++
				l.Entries = append(l.Entries, wire.LedgerEntry{Task: wire.TaskKey{Index: i}, State: jobapi.TaskCompleted, Result: &wire.TaskResult{State: jobapi.TaskCompleted}})
			}
		}
		if rapid.Bool().Draw(t, "withoutPayload") && visible > 0 {
			for _, l := range ledgers {
				if l.Ledger != nil && len(l.Ledger.Entries) > 0 {
					l.Ledger.JobTasks = sub.Tasks
				}
			}
			sub.Tasks = 0
		}
		a, running := BuildAnswer(sub, ledgers)
		if len(a.Tasks) > 0 && len(a.Tasks) != len(ran) {
			t.Fatalf("%d tasks in the answer, the job has %d", len(a.Tasks), len(ran))
		}
		if running {
			t.Fatal("no task was running")
		}
		if (a.State == jobapi.JobComplete) != (visible == len(ran)) {
			t.Fatalf("state %s with %d of %d tasks found", a.State, visible, len(ran))
		}
		if a.State == jobapi.JobRefused {
			for i, r := range ran {
				if r {
					t.Fatalf("the job was refused as not run, but task %d ran", i)
				}
			}
		}
		for i, task := range a.Tasks {
			if task.State == jobapi.TaskNotRun && ran[i] {
				t.Fatalf("task %d was reported as not run, but it ran", i)
			}
		}
	})
}

// TestLostSidecar guards against an answer of "not run" when a sidecar that the
// owner could have used is gone.
func TestLostSidecar(t *testing.T) {
	id := ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"}
	s := ident.Process{Instance: "s", Incarnation: 1}
	sub := Submission{ID: id, Tasks: 1, OwnerKnown: true, PeersNotified: true}
	ledgers := []SidecarLedger{{Sidecar: s, Ledger: &wire.LedgerReply{Sidecar: s, OwnerFenced: true}}}
	if a, _ := BuildAnswer(sub, ledgers); !a.NotRun || a.State != jobapi.JobRefused {
		t.Fatalf("all sidecars accounted for: %+v", a)
	}
	sub.Expired = true
	if a, _ := BuildAnswer(sub, ledgers); a.NotRun || a.Tasks[0].State != jobapi.TaskMayHaveRun {
		t.Fatalf("submission older than the ledgers: %+v", a)
	}
	sub.Expired = false
	sub.SidecarLost = true
	if a, _ := BuildAnswer(sub, ledgers); a.NotRun || a.State != jobapi.JobFailed || a.Tasks[0].State != jobapi.TaskMayHaveRun {
		t.Fatalf("with a lost sidecar: %+v", a)
	}
}

// TestDroppedResult guards against a job that is reported as complete although the
// result of a task is no longer kept.
func TestDroppedResult(t *testing.T) {
	id := ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"}
	s := ident.Process{Instance: "s", Incarnation: 1}
	l := &wire.LedgerReply{Sidecar: s, OwnerFenced: true, JobTasks: 1, Entries: []wire.LedgerEntry{{State: jobapi.TaskCompleted}}}
	a, _ := BuildAnswer(Submission{ID: id}, []SidecarLedger{{Sidecar: s, Ledger: l}})
	if a.State != jobapi.JobFailed || a.Tasks[0].State != jobapi.TaskCompleted || a.Tasks[0].Error == "" {
		t.Fatalf("dropped result: %+v", a)
	}
}

// TestExpired guards against an answer of "not run" for a submission that is
// older than the ledgers. With ledgers kept for 61 s, a recovery 80 s after the
// start reported tasks as not run that had run.
func TestExpired(t *testing.T) {
	for _, test := range []struct {
		now, seen    time.Duration
		last, window uint64
		want         bool
	}{
		{20, 10, 9, 8, false},
		{86, 9, 8, 6, true},
		{60, 50, 49, 2, false},
		{63, 50, 49, 2, true},
		{71, 10, 9, 10, true},
	} {
		if got := Expired(test.now*time.Second, test.seen*time.Second, time.Second, 60*time.Second, test.last, test.window); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}
