package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestTruth guards against a recovered answer that says "not run" of a task
// that has started, or "complete" of a job that is not. The model decides
// which sidecar ran what, then hides ledgers in all the ways that may happen.
func TestTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := Question{
			ID:           ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"},
			Tasks:        rapid.IntRange(1, 6).Draw(t, "tasks"),
			OwnerKnown:   rapid.Bool().Draw(t, "ownerKnown"),
			OwnerWindow:  rapid.Uint64Range(0, 6).Draw(t, "ownerWindow"),
			PeersReached: rapid.Bool().Draw(t, "peersReached"),
		}
		sidecars := rapid.IntRange(1, 3).Draw(t, "sidecars")
		replies := make([]Reply, sidecars)
		hidden := make([]bool, sidecars)
		for i := range replies {
			p := ident.Process{Instance: "s", Incarnation: uint64(i + 1)}
			replies[i].Sidecar = p
			known := wire.LedgerReply{Sidecar: p, OwnerFenced: rapid.Bool().Draw(t, "fenced"), OwnerKnown: true, OwnerFirstWindow: rapid.Uint64Range(0, 6).Draw(t, "first")}
			restarted := known.OwnerFirstWindow >= q.ID.Window
			lost := rapid.Bool().Draw(t, "lost")
			hidden[i] = restarted || lost || !known.OwnerFenced
			if !lost {
				replies[i].Ledger = &known
			}
		}
		ran := make([]bool, q.Tasks)
		visible := 0
		for i := range ran {
			ran[i] = rapid.Bool().Draw(t, "ran")
			if !ran[i] {
				continue
			}
			s := rapid.IntRange(0, sidecars-1).Draw(t, "at")
			if l := replies[s].Ledger; l != nil && (!hidden[s] || rapid.Bool().Draw(t, "seen")) {
				visible++
				l.Entries = append(l.Entries, wire.LedgerEntry{Task: wire.TaskKey{Index: i}, State: jobapi.TaskCompleted, Result: &wire.TaskResult{State: jobapi.TaskCompleted}})
			}
		}
		if rapid.Bool().Draw(t, "withoutPayload") && visible > 0 {
			for _, r := range replies {
				if r.Ledger != nil && len(r.Ledger.Entries) > 0 {
					r.Ledger.JobTasks = q.Tasks
				}
			}
			q.Tasks = 0
		}
		a, running := Judge(q, replies)
		if len(a.Tasks) > 0 && len(a.Tasks) != len(ran) {
			t.Fatalf("%d tasks in the answer, the job has %d", len(a.Tasks), len(ran))
		}
		if running {
			t.Fatal("no task was running")
		}
		if (a.State == jobapi.JobComplete) != (visible == len(ran)) {
			t.Fatalf("state %s with %d of %d found", a.State, visible, len(ran))
		}
		if a.State == jobapi.JobRefused {
			for i, r := range ran {
				if r {
					t.Fatalf("refused as not run, but task %d ran", i)
				}
			}
		}
		for i, task := range a.Tasks {
			if task.State == jobapi.TaskNotRun && ran[i] {
				t.Fatalf("task %d is said not to have run, but it ran", i)
			}
		}
	})
}

// TestLostSidecar guards against "not run" when a sidecar that the owner could
// have used is gone.
func TestLostSidecar(t *testing.T) {
	id := ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"}
	s := ident.Process{Instance: "s", Incarnation: 1}
	q := Question{ID: id, Tasks: 1, OwnerKnown: true, PeersReached: true}
	replies := []Reply{{Sidecar: s, Ledger: &wire.LedgerReply{Sidecar: s, OwnerFenced: true}}}
	if a, _ := Judge(q, replies); !a.NotRun || a.State != jobapi.JobRefused {
		t.Fatalf("all accounted for: %+v", a)
	}
	q.Expired = true
	if a, _ := Judge(q, replies); a.NotRun || a.Tasks[0].State != jobapi.TaskMayHaveRun {
		t.Fatalf("older than the ledgers: %+v", a)
	}
	q.Expired = false
	q.SidecarLost = true
	if a, _ := Judge(q, replies); a.NotRun || a.State != jobapi.JobFailed || a.Tasks[0].State != jobapi.TaskMayHaveRun {
		t.Fatalf("with a lost sidecar: %+v", a)
	}
}

// TestDroppedResult guards against a job that is said to be complete although
// the result of a task is no longer kept.
func TestDroppedResult(t *testing.T) {
	id := ident.SubmissionID{Owner: ident.Process{Instance: "e", Incarnation: 1}, Window: 5, Suffix: "x"}
	s := ident.Process{Instance: "s", Incarnation: 1}
	l := &wire.LedgerReply{Sidecar: s, OwnerFenced: true, JobTasks: 1, Entries: []wire.LedgerEntry{{State: jobapi.TaskCompleted}}}
	a, _ := Judge(Question{ID: id}, []Reply{{Sidecar: s, Ledger: l}})
	if a.State != jobapi.JobFailed || a.Tasks[0].State != jobapi.TaskCompleted || a.Tasks[0].Error == "" {
		t.Fatalf("%+v", a)
	}
}

// TestExpired guards against "not run" about a submission that is older than
// the ledgers: 80 s after its start, with ledgers kept for 61 s, a recovered
// answer denied what had run.
func TestExpired(t *testing.T) {
	for _, c := range []struct {
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
		if got := Expired(c.now*time.Second, c.seen*time.Second, time.Second, 60*time.Second, c.last, c.window); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
