// Package recovery decides what can truthfully be said of a submission whose
// owner is dead, from what the sidecars have in their ledgers.
package recovery

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Question is what the recoverer knows besides the ledgers.
type Question struct {
	ID ident.SubmissionID
	// Tasks is the number of tasks of the job; zero if it is not known, since
	// the payload died with the owner. The ledgers have it too.
	Tasks int
	// Idempotent is true if the job's kind is known to be idempotent.
	Idempotent bool
	// OwnerKnown is true if the recoverer heard from the owner incarnation
	// while it lived; OwnerWindow is the window that it named first.
	OwnerKnown  bool
	OwnerWindow uint64
	// PeersReached is true if all other live entry instances told their
	// sidecars after the owner was fenced.
	PeersReached bool
	// Expired is true if the submission may be older than what the ledgers keep.
	Expired bool
	// SidecarLost is true if a sidecar incarnation that the owner could have
	// used during the life of the submission is gone.
	SidecarLost bool
}

// Reply is the ledger of one sidecar; Ledger is nil if it could not be read.
type Reply struct {
	Sidecar ident.Process
	Ledger  *wire.LedgerReply
}

// Expired reports whether a submission of a window may have been started longer
// ago than retain. The owner was seen last at seen, in the window last; its
// windows have the same length as those here.
func Expired(now, seen, length, retain time.Duration, last, window uint64) bool {
	age := now - seen
	if last >= window {
		age += time.Duration(last-window+1) * length
	}
	return age > retain
}

// accounted reports whether nothing of the submission can have started at a
// sidecar beyond its ledger entries. A sidecar that the owner has never
// attached is accounted for by its fence.
func accounted(q Question, r Reply) bool {
	if r.Ledger == nil || !r.Ledger.OwnerFenced || r.Ledger.Sidecar != r.Sidecar {
		return false
	}
	return !r.Ledger.OwnerKnown || r.Ledger.OwnerFirstWindow < q.ID.Window
}

// Complete reports whether every sidecar that the owner could have used is
// accounted for, so that what is not found has provably not started.
func Complete(q Question, replies []Reply) bool {
	if !q.OwnerKnown || q.OwnerWindow >= q.ID.Window || !q.PeersReached || q.SidecarLost || q.Expired {
		return false
	}
	for _, r := range replies {
		if !accounted(q, r) {
			return false
		}
	}
	return len(replies) > 0
}

// Judge returns the answer, and true if a task still runs so that the ledgers
// should be read again before the answer is final.
func Judge(q Question, replies []Reply) (jobapi.JobAnswer, bool) {
	found, running := gather(replies)
	q.Tasks = max(q.Tasks, jobTasks(replies))
	n := max(q.Tasks, highest(found)+1)
	missing := jobapi.TaskMayHaveRun
	if Complete(q, replies) {
		missing = jobapi.TaskNotRun
	}
	answer := jobapi.JobAnswer{SubmissionID: q.ID.String(), State: jobapi.JobFailed, Reason: jobapi.ReasonOutcomeUnknown}
	completed, started := 0, 0
	for i := range n {
		task, ok := found[i]
		if !ok {
			task = jobapi.TaskAnswer{State: missing, Error: "the owner of the submission is gone"}
		}
		if task.State != jobapi.TaskNotRun {
			started++
		}
		if task.State == jobapi.TaskCompleted && task.Error == "" {
			completed++
		}
		answer.Tasks = append(answer.Tasks, task)
	}
	finish(q, &answer, completed, started, missing)
	return answer, running
}

func finish(q Question, a *jobapi.JobAnswer, completed, started int, missing jobapi.TaskState) {
	switch {
	case q.Tasks > 0 && completed == q.Tasks:
		a.State, a.Reason = jobapi.JobComplete, ""
	case started == 0 && missing == jobapi.TaskNotRun:
		a.State, a.NotRun, a.SafeToResubmit = jobapi.JobRefused, true, true
		a.Reason, a.Tasks = jobapi.ReasonOwnerUnreachable, nil
		a.Message = "the entry instance that owned the submission is gone; nothing of it was started; submit it again with a new submission ID"
	default:
		a.SafeToResubmit = q.Idempotent
		a.Message = "the entry instance that owned the submission is gone; the tasks tell what the sidecars know"
	}
}

// gather merges the ledgers; a start that is found anywhere outweighs the
// fences of other sidecars.
func gather(replies []Reply) (map[int]jobapi.TaskAnswer, bool) {
	found := map[int]jobapi.TaskAnswer{}
	running := false
	for _, r := range replies {
		if r.Ledger == nil {
			continue
		}
		for _, e := range r.Ledger.Entries {
			if e.State == jobapi.TaskNotRun || e.State == jobapi.TaskQueued {
				continue
			}
			if e.State == jobapi.TaskRunning {
				running = true
			}
			found[e.Task.Index] = answerOf(r.Sidecar, e)
		}
	}
	return found, running
}

// answerOf reports a running task as mayHaveRun: if it is not waited for, it
// is all that is known.
func answerOf(sidecar ident.Process, e wire.LedgerEntry) jobapi.TaskAnswer {
	t := jobapi.TaskAnswer{State: e.State, Worker: sidecar.Instance}
	if e.State == jobapi.TaskRunning {
		t.State = jobapi.TaskMayHaveRun
		t.Error = "the task was still running"
	}
	if e.State == jobapi.TaskCompleted && e.Result == nil {
		t.Error = "the result is no longer kept"
	}
	if e.Result != nil {
		t.Result, t.Error, t.RunMs = e.Result.Body, e.Result.Error, e.Result.RunMs
	}
	return t
}

// jobTasks returns the number of tasks of the job, zero if no sidecar knows it.
func jobTasks(replies []Reply) int {
	n := 0
	for _, r := range replies {
		if r.Ledger != nil {
			n = max(n, r.Ledger.JobTasks)
		}
	}
	return n
}

func highest(found map[int]jobapi.TaskAnswer) int {
	top := -1
	for i := range found {
		top = max(top, i)
	}
	return top
}
