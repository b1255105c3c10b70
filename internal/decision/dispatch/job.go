package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// state is the internal state of a task.
type state uint8

// States of a task. Completed and the states after it are final.
const (
	queued state = iota
	// dispatched: the start is sent or about to be sent, and its reply is
	// outstanding.
	dispatched
	// fencing: the outcome of the dispatch is unknown, and the sidecar is asked
	// for it.
	fencing
	running
	completed
	failed
	notRun
	mayHaveRun
)

// taskStates maps the internal states to the states in the job API.
var taskStates = [...]jobapi.TaskState{
	queued: jobapi.TaskQueued, dispatched: jobapi.TaskRunning, fencing: jobapi.TaskRunning,
	running: jobapi.TaskRunning, completed: jobapi.TaskCompleted, failed: jobapi.TaskFailed,
	notRun: jobapi.TaskNotRun, mayHaveRun: jobapi.TaskMayHaveRun,
}

func (s state) inFlight() bool { return s == dispatched || s == fencing || s == running }

// task is one task of an unanswered job.
type task struct {
	job   *job
	index int
	state state
	probe bool // the task is the probe of an ejected worker
	cost  time.Duration
	size  jobapi.Size
	body  []byte // the payload; after the task has ended, the result

	// The following fields are valid while the task is in flight. worker stays
	// set after the task has ended.
	worker       *worker
	pos          int // in worker.inflight
	credit       wire.Credit
	dispatchedAt time.Duration

	// notRunAt lists the sidecars that reported that the task has not run there.
	// A sidecar is listed again if it repeats the report after another dispatch.
	notRunAt []ident.Process
	err      string
	runMs    int64
}

func (t *task) key() wire.TaskKey { return wire.TaskKey{Submission: t.job.id, Index: t.index} }

// failedToStartAt reports whether the sidecar has reported the task as not run.
func (t *task) failedToStartAt(sidecar ident.Process) bool {
	for _, p := range t.notRunAt {
		if p == sidecar {
			return true
		}
	}
	return false
}

// job is an admitted submission. Once it is answered, tasks and queueEntry are
// nil.
type job struct {
	id         string
	window     uint64
	hash       uint64 // of the request
	class      *class
	queueEntry *fair.Job[*task]
	tasks      []task
	// inFlight and ended count tasks; the other tasks are waiting.
	inFlight int
	ended    int
	cause    failureCause
	// payloadBytes is the size of the payloads until the job is answered.
	payloadBytes int64
	submittedAt  time.Duration
	deadline     time.Duration
	pos          int // in Machine.deadlines

	answered    bool
	answer      jobapi.JobAnswer
	states      []state // replaces answer.Tasks once the results are dropped
	answerBytes int64   // size of answer.Tasks
}

// failureCause is the reason why a job can't complete.
type failureCause struct {
	reason  jobapi.Reason
	message string
}

// Causes of job failures.
var (
	causeDeadline  = failureCause{jobapi.ReasonDeadline, "the deadline passed"}
	causeNoWorker  = failureCause{jobapi.ReasonNoWorker, "the deadline passed without a live worker of the service"}
	causeCanceled  = failureCause{jobapi.ReasonCanceled, "canceled by the caller"}
	causeFailed    = failureCause{jobapi.ReasonTaskFailed, "a task failed"}
	causeUnknown   = failureCause{jobapi.ReasonOutcomeUnknown, "contact with a worker was lost; a task may have run"}
	causeRetries   = failureCause{jobapi.ReasonTaskFailed, "a task could not be started, and the retry budget is spent"}
	causeStopped   = failureCause{jobapi.ReasonDraining, "the entry instance stops; no task was started"}
	causeAbandoned = failureCause{jobapi.ReasonOutcomeUnknown, "the entry instance stops"}
)

// currentAnswer returns the final answer of the job, or its state if it is
// unanswered.
func (j *job) currentAnswer() jobapi.JobAnswer {
	if !j.answered {
		s := jobapi.JobQueued
		if j.inFlight+j.ended > 0 {
			s = jobapi.JobRunning
		}
		return jobapi.JobAnswer{SubmissionID: j.id, State: s}
	}
	a := j.answer
	if j.states != nil {
		a.Tasks = make([]jobapi.TaskAnswer, len(j.states))
		for i, s := range j.states {
			a.Tasks[i].State = taskStates[s]
		}
		if a.State == jobapi.JobComplete {
			a.Reason = jobapi.ReasonResultDropped
			a.Message = "the task results were dropped to bound memory"
		}
	}
	return a
}

// Before implements indexedheap.Element. It orders jobs by deadline.
func (j *job) Before(o *job) bool { return j.deadline < o.deadline }

// Position implements indexedheap.Element.
func (j *job) Position() *int { return &j.pos }
