package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// state is the state of a task inside the machine.
type state uint8

// States of a task. From completed on they are final.
const (
	queued state = iota
	// dispatched: sent, the reply is outstanding.
	dispatched
	// fencing: the reply is lost, the sidecar is asked for the outcome.
	fencing
	running
	completed
	failed
	notRun
	mayHaveRun
)

// names are the states as callers see them.
var names = [...]jobapi.TaskState{
	queued: jobapi.TaskQueued, dispatched: jobapi.TaskRunning, fencing: jobapi.TaskRunning,
	running: jobapi.TaskRunning, completed: jobapi.TaskCompleted, failed: jobapi.TaskFailed,
	notRun: jobapi.TaskNotRun, mayHaveRun: jobapi.TaskMayHaveRun,
}

func (s state) inFlight() bool { return s == dispatched || s == fencing || s == running }

// task is one task of a job that has no answer yet.
type task struct {
	job   *job
	index int
	state state
	probe bool
	cost  time.Duration
	size  jobapi.Size
	body  []byte // the payload; after the end, the result

	// While in flight: where, on which credit, since when.
	worker *worker
	pos    int // in worker.inflight
	credit wire.Credit
	sent   time.Duration

	// unstarted are sidecars that said that the task has not run there. A
	// repeated message may say so again after a second dispatch.
	unstarted []ident.Process
	err       string
	runMs     int64
}

func (t *task) key() wire.TaskKey { return wire.TaskKey{Submission: t.job.id, Index: t.index} }

// avoids reports whether the task was not started at the sidecar before.
func (t *task) avoids(sidecar ident.Process) bool {
	for _, p := range t.unstarted {
		if p == sidecar {
			return true
		}
	}
	return false
}

// job is a submission. Once answered only the answer is left.
type job struct {
	id     string
	window uint64
	hash   uint64 // of the request
	class  *class
	wait   *fair.Job[*task]
	tasks  []task
	// inFlight and done count tasks; the others wait.
	inFlight int
	done     int
	cause    cause
	at       time.Duration
	deadline time.Duration
	pos      int // in deadlines

	final  bool
	answer jobapi.JobAnswer
	states []state // instead of answer.Tasks when the bodies are dropped
	bytes  int64   // held by answer.Tasks
}

// cause is why a job cannot complete.
type cause struct {
	reason  jobapi.Reason
	message string
}

// Causes of failed jobs.
var (
	causeDeadline  = cause{jobapi.ReasonDeadline, "the deadline passed"}
	causeNoWorker  = cause{jobapi.ReasonNoWorker, "the deadline passed without a live worker of the service"}
	causeCanceled  = cause{jobapi.ReasonCanceled, "canceled by the caller"}
	causeFailed    = cause{jobapi.ReasonTaskFailed, "a task failed"}
	causeUnknown   = cause{jobapi.ReasonOutcomeUnknown, "contact with a worker was lost; a task may have run"}
	causeRetries   = cause{jobapi.ReasonTaskFailed, "a task could not be started, and the retry budget is spent"}
	causeStopped   = cause{jobapi.ReasonDraining, "the entry instance stops; no task was started"}
	causeAbandoned = cause{jobapi.ReasonOutcomeUnknown, "the entry instance stops"}
)

// view returns the job's state or answer.
func (j *job) view() jobapi.JobAnswer {
	if !j.final {
		s := jobapi.JobQueued
		if j.inFlight+j.done > 0 {
			s = jobapi.JobRunning
		}
		return jobapi.JobAnswer{SubmissionID: j.id, State: s}
	}
	a := j.answer
	if j.states != nil {
		a.Tasks = make([]jobapi.TaskAnswer, len(j.states))
		for i, s := range j.states {
			a.Tasks[i].State = names[s]
		}
		if a.State == jobapi.JobComplete {
			a.Reason = jobapi.ReasonResultDropped
			a.Message = "the task results were dropped to bound memory"
		}
	}
	return a
}

// Before implements indexedheap.Element: jobs are in the order of their deadlines.
func (j *job) Before(o *job) bool { return j.deadline < o.deadline }

// Position implements indexedheap.Element.
func (j *job) Position() *int { return &j.pos }
