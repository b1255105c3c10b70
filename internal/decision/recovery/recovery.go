// Package recovery determines the answer for a submission whose owner, an entry
// instance, is dead. It uses the ledgers of the sidecars and reports only what
// they prove.
package recovery

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Submission describes a submission whose owner is dead, as far as the recovering
// entry instance knows it without the ledgers of the sidecars.
type Submission struct {
	ID ident.SubmissionID
	// Tasks is the number of tasks of the job. It is zero if the caller's request
	// does not contain the job, for example because it is a query; the ledgers also
	// hold the number.
	Tasks int
	// Idempotent is true if the kind of the job is known to be idempotent.
	Idempotent bool
	// OwnerKnown is true if the recovering entry instance was in contact with
	// the owner incarnation. OwnerFirstWindow is the first submission window
	// that the owner reported.
	OwnerKnown       bool
	OwnerFirstWindow uint64
	// PeersNotified is true if all other live entry instances have learned that
	// the owner is dead and have told their sidecars to fence it.
	PeersNotified bool
	// Expired is true if the submission may be older than the retention time of
	// the ledgers.
	Expired bool
	// SidecarLost is true if a sidecar incarnation is gone to which the owner
	// could have dispatched tasks of the submission.
	SidecarLost bool
}

// SidecarLedger holds the ledger of one sidecar. Ledger is nil if the ledger could
// not be read.
type SidecarLedger struct {
	Sidecar ident.Process
	Ledger  *wire.LedgerReply
}

// Expired reports whether a submission of the given window may have started
// longer ago than retain. The last contact with the owner was at lastSeen, when
// its window was lastWindow. The windows of all entry instances have the same
// length.
func Expired(now, lastSeen, windowLength, retain time.Duration, lastWindow, window uint64) bool {
	age := now - lastSeen
	if lastWindow >= window {
		age += time.Duration(lastWindow-window+1) * windowLength
	}
	return age > retain
}

// accountedFor reports whether the ledger of a sidecar is complete for the
// submission: no task without a ledger entry can have started there. For a
// sidecar that was never attached to the owner, it is enough that the owner is
// fenced.
func accountedFor(sub Submission, l SidecarLedger) bool {
	if l.Ledger == nil || !l.Ledger.OwnerFenced || l.Ledger.Sidecar != l.Sidecar {
		return false
	}
	return !l.Ledger.OwnerKnown || l.Ledger.OwnerFirstWindow < sub.ID.Window
}

// AllAccountedFor reports whether every sidecar that the owner could have used is
// accounted for. If so, tasks without a ledger entry have provably not started.
// It returns false if there are no ledgers.
func AllAccountedFor(sub Submission, ledgers []SidecarLedger) bool {
	if !sub.OwnerKnown || sub.OwnerFirstWindow >= sub.ID.Window || !sub.PeersNotified || sub.SidecarLost || sub.Expired {
		return false
	}
	for _, l := range ledgers {
		if !accountedFor(sub, l) {
			return false
		}
	}
	return len(ledgers) > 0
}

// BuildAnswer returns the answer for the submission. It also returns whether a
// task is still running, in which case the caller should read the ledgers again
// before it uses the answer.
func BuildAnswer(sub Submission, ledgers []SidecarLedger) (jobapi.JobAnswer, bool) {
	found, running := mergeLedgers(ledgers)
	sub.Tasks = max(sub.Tasks, jobTaskCount(ledgers))
	taskCount := max(sub.Tasks, highestIndex(found)+1)
	missingState := jobapi.TaskMayHaveRun
	if AllAccountedFor(sub, ledgers) {
		missingState = jobapi.TaskNotRun
	}
	answer := jobapi.JobAnswer{SubmissionID: sub.ID.String(), State: jobapi.JobFailed, Reason: jobapi.ReasonOutcomeUnknown}
	completed, mayHaveRun := 0, 0
	for i := range taskCount {
		task, ok := found[i]
		if !ok {
			task = jobapi.TaskAnswer{State: missingState, Error: "the owner of the submission is gone"}
		}
		if task.State != jobapi.TaskNotRun {
			mayHaveRun++
		}
		if task.State == jobapi.TaskCompleted && task.Error == "" {
			completed++
		}
		answer.Tasks = append(answer.Tasks, task)
	}
	setJobState(sub, &answer, completed, mayHaveRun, missingState)
	return answer, running
}

// setJobState sets the state of the job and the related fields of the answer.
func setJobState(sub Submission, a *jobapi.JobAnswer, completed, mayHaveRun int, missingState jobapi.TaskState) {
	switch {
	case sub.Tasks > 0 && completed == sub.Tasks:
		a.State, a.Reason = jobapi.JobComplete, ""
	case mayHaveRun == 0 && missingState == jobapi.TaskNotRun:
		a.State, a.NotRun, a.SafeToResubmit = jobapi.JobRefused, true, true
		a.Reason, a.Tasks = jobapi.ReasonOwnerUnreachable, nil
		a.Message = "the entry instance that owned the submission is gone; no task of it was started; submit it again with a new submission ID"
	default:
		a.SafeToResubmit = sub.Idempotent
		a.Message = "the entry instance that owned the submission is gone; the states of the tasks are those known to the sidecars"
	}
}

// mergeLedgers returns the answers of all tasks that have started, by task index,
// and whether one of them is still running. It ignores entries of tasks that have
// not started, so that they don't replace the entry of a start at another sidecar.
func mergeLedgers(ledgers []SidecarLedger) (map[int]jobapi.TaskAnswer, bool) {
	found := map[int]jobapi.TaskAnswer{}
	running := false
	for _, l := range ledgers {
		if l.Ledger == nil {
			continue
		}
		for _, e := range l.Ledger.Entries {
			if e.State == jobapi.TaskNotRun || e.State == jobapi.TaskQueued {
				continue
			}
			if e.State == jobapi.TaskRunning {
				running = true
			}
			found[e.Task.Index] = taskAnswer(l.Sidecar, e)
		}
	}
	return found, running
}

// taskAnswer returns the answer for one ledger entry. It reports a running task as
// mayHaveRun, because its outcome is unknown if the caller does not wait for it.
func taskAnswer(sidecar ident.Process, e wire.LedgerEntry) jobapi.TaskAnswer {
	t := jobapi.TaskAnswer{State: e.State, Worker: sidecar.Instance}
	if e.State == jobapi.TaskRunning {
		t.State = jobapi.TaskMayHaveRun
		t.Error = "the task was still running when the ledgers were last read"
	}
	if e.State == jobapi.TaskCompleted && e.Result == nil {
		t.Error = "the result is no longer kept"
	}
	if e.Result != nil {
		t.Result, t.Error, t.RunMs = e.Result.Body, e.Result.Error, e.Result.RunMs
	}
	return t
}

// jobTaskCount returns the number of tasks of the job, or zero if no ledger holds
// it.
func jobTaskCount(ledgers []SidecarLedger) int {
	n := 0
	for _, l := range ledgers {
		if l.Ledger != nil {
			n = max(n, l.Ledger.JobTasks)
		}
	}
	return n
}

// highestIndex returns the highest task index found, or -1 if there is none.
func highestIndex(found map[int]jobapi.TaskAnswer) int {
	top := -1
	for i := range found {
		top = max(top, i)
	}
	return top
}
