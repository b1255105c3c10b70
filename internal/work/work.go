// Package work defines jobs whose tasks run under leases. Such a task declares
// the resources that it needs, can be stopped, and may be started again once its
// earlier run is known to have ended.
package work

import (
	"strconv"
	"time"
)

// Resources is an amount of each worker resource.
type Resources struct {
	// MilliCPU is processor capacity in thousandths of a core.
	MilliCPU int64 `msgpack:"c,omitempty"`
	MemoryMB int64 `msgpack:"m,omitempty"`
	// Accelerators is the number of accelerators.
	Accelerators int64 `msgpack:"a,omitempty"`
}

// Add returns a + b.
func (a Resources) Add(b Resources) Resources {
	return Resources{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a - b.
func (a Resources) Sub(b Resources) Resources {
	return Resources{a.MilliCPU - b.MilliCPU, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// FitsIn reports whether a is at most free in each dimension.
func (a Resources) FitsIn(free Resources) bool {
	return a.MilliCPU <= free.MilliCPU && a.MemoryMB <= free.MemoryMB && a.Accelerators <= free.Accelerators
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks, and Need the resources that each of them uses.
	Count int
	Need  Resources
	// Estimate is the declared run time of one task; zero if unknown.
	Estimate time.Duration
	// DependsOn holds the indexes of the steps that must have completed before a
	// task of this step starts.
	DependsOn []int
	// RequiredLabel is a label that the worker must have; empty if any worker may
	// run the tasks.
	RequiredLabel string
	// PreferredRack is the rack on which the tasks run fastest; empty if there is
	// none.
	PreferredRack string
	// OneRack is true if the tasks run faster when all of them run on one rack.
	OneRack bool
	// MaxPerWorker is the largest number of tasks of the step on one worker; zero
	// means no bound.
	MaxPerWorker int
}

// Job is a job whose caller gets the answer when all tasks have ended.
type Job struct {
	// ID is chosen by the caller and unique among the jobs without an answer.
	ID string
	// Queue is the name of the queue; the workers of Service run its tasks.
	Queue, Service string
	// Payload is passed to each task.
	Payload string
	Steps   []Step
	// Rank is the rank of the queue; tasks of rank zero come first.
	Rank int
	// MaxFailedRuns is the number of failed runs after which a task, and with it
	// the job, has failed.
	MaxFailedRuns int
	// Objective and ObjectiveFactor define the response time objective of the job:
	// ObjectiveFactor, at least 1, times the estimated run time of the longest chain
	// of dependent steps, plus Objective.
	Objective       time.Duration
	ObjectiveFactor float64
	// Timeout is how long the caller waits for the answer.
	Timeout time.Duration
}

// State is the final state of a job.
type State uint8

// Final states.
const (
	// Completed means that each task has succeeded.
	Completed State = iota
	// Failed means that a task has reached MaxFailedRuns, or that too many workers have
	// crashed under it.
	Failed
	// Refused means that no task has run and none will run.
	Refused
	// Unfinished means that tasks may have run and that the entry instance has
	// abandoned the job and stops its tasks. With ReasonDuplicate, it means instead
	// that an earlier job with the same ID has not ended yet and that the submission
	// had no effect. The caller may submit the job again.
	Unfinished
	// Canceled means that the caller has canceled the job, and that the entry instance stops its
	// tasks, some of which may have run.
	Canceled
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"completed", "failed", "refused", "unfinished", "canceled"}[s]
}

// Reason says why a job was refused, has failed or is unfinished.
type Reason string

// Reasons. ReasonNone is that of a completed job.
const (
	ReasonNone          Reason = ""
	ReasonOverload      Reason = "overload"
	ReasonNoWorker      Reason = "no worker"
	ReasonNeverFits     Reason = "fits no worker"
	ReasonTooLarge      Reason = "job too large"
	ReasonDraining      Reason = "draining"
	ReasonDuplicate     Reason = "already under way"
	ReasonDeadline      Reason = "deadline"
	ReasonCallerLeft    Reason = "caller left"
	ReasonMaxFailedRuns Reason = "attempts used up"
	ReasonWorkerLost    Reason = "worker lost"
	ReasonUnsupported   Reason = "unsupported job"
	ReasonNoConfig      Reason = "no configuration"
	ReasonMalformed     Reason = "malformed request"
	ReasonStopping      Reason = "process stops"
	ReasonOutOfContact  Reason = "instance was paused or cut off"
	ReasonSuperseded    Reason = "submitted again elsewhere"
	ReasonCanceled      Reason = "canceled"
	ReasonCrashes       Reason = "workers crash under a task"
)

// Answer is the final answer to a job.
type Answer struct {
	State  State
	Reason Reason
	// RetryAfter is the time after which the caller should submit a refused job
	// again.
	RetryAfter time.Duration
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string `msgpack:"j"`
	Step  int    `msgpack:"s,omitempty"`
	Index int    `msgpack:"i,omitempty"`
}

// RunID identifies one run of a task. Attempt is 1 for the first run of the task
// and increases with each further run.
type RunID struct {
	Task    TaskID `msgpack:"t"`
	Attempt int    `msgpack:"a"`
}

// Outcome is the way in which a run has ended.
type Outcome uint8

// Outcomes.
const (
	// Done means that the task has succeeded.
	Done Outcome = iota
	// RunFailed means that the run ended with an error of the task or the worker.
	RunFailed
	// NotRun means that the run has not started and never will.
	NotRun
	// Lost means that the run has ended without a result, because it was stopped,
	// its lease expired, or its worker ended.
	Lost
	// Stalled means that the run made no progress and was stopped.
	Stalled
	// Outdated means that the worker has a record of a run of the task with the
	// same or a higher attempt, or had one of an earlier submission of the job, so that
	// this run has not started.
	Outdated
	// NoRoom means that the run was not to wait and the worker had too little free
	// capacity. The run has not started and never will.
	NoRoom
	// Superseded means that the job has been submitted again at another entry instance,
	// where a later submission has a run of the task. The run may have started and has
	// ended, whatever its result. The job is not to be run any more.
	Superseded
)

// Crash says whether a run ended because its worker process crashed, which may be the fault
// of the run.
type Crash uint8

// Values of Crash.
const (
	// NoCrash means that the worker process had not crashed, or that it had said before that
	// it would exit.
	NoCrash Crash = iota
	// SilentWorker means that nothing has been heard of the worker process since the run was
	// at work.
	SilentWorker
	// UncertainCrash means that the worker process crashed, and that it is not known whether the
	// run was at work then: it may not have started, or have ended before.
	UncertainCrash
	// Crashed means that the run was at work when the worker process crashed.
	Crashed
)

// String returns the name of the value.
func (c Crash) String() string {
	names := [...]string{"no", "silent worker", "uncertain", "yes"}
	if !c.Valid() {
		return "unknown value " + strconv.Itoa(int(c))
	}
	return names[c]
}

// Valid reports whether c is one of the values. Messages may hold any number.
func (c Crash) Valid() bool { return c <= Crashed }

// String returns the outcome's name.
func (o Outcome) String() string {
	names := [...]string{"done", "failed", "not run", "lost", "stalled", "outdated", "no room", "superseded"}
	if !o.Valid() {
		return "unknown outcome " + strconv.Itoa(int(o))
	}
	return names[o]
}

// Valid reports whether o is one of the outcomes. Messages may hold any number.
func (o Outcome) Valid() bool { return o <= Superseded }
