// Package work defines jobs whose tasks run under leases: they declare the
// resources that they take, may be started again after a known end, and can be
// stopped.
package work

import "time"

// Amount is an amount of worker resources.
type Amount struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `msgpack:"c,omitempty"`
	MemoryMB int64 `msgpack:"m,omitempty"`
	// Accelerators is a number of accelerators.
	Accelerators int64 `msgpack:"a,omitempty"`
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliCPU + b.MilliCPU, a.MemoryMB + b.MemoryMB, a.Accelerators + b.Accelerators}
}

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliCPU - b.MilliCPU, a.MemoryMB - b.MemoryMB, a.Accelerators - b.Accelerators}
}

// Fits reports whether a is at most room in each dimension.
func (a Amount) Fits(room Amount) bool {
	return a.MilliCPU <= room.MilliCPU && a.MemoryMB <= room.MemoryMB && a.Accelerators <= room.Accelerators
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int
	Need  Amount
	// Estimate is the declared run time of one task; zero if unknown.
	Estimate time.Duration
	// After lists the steps that must have completed first.
	After []int
	// Label is a label that the worker must have; empty for any.
	Label string
	// Rack is the rack on which the tasks run fastest; empty if there is none.
	Rack string
	// PerWorker bounds the tasks of the step on one worker; zero means no bound.
	PerWorker int
}

// Job is a job that is answered when all its tasks have ended.
type Job struct {
	// ID is unique among the jobs that are under way; callers choose it.
	ID string
	// Queue names the queue, and Service the workers that run its tasks.
	Queue, Service string
	// Payload is handed to each task.
	Payload string
	Steps   []Step
	// Rank orders queues; zero comes first.
	Rank int
	// Attempts is the number of failed runs after which a task, and so the job,
	// has failed.
	Attempts int
	// Objective bounds the response time that serves the caller: ObjectiveFactor
	// times the longest run time plus Objective.
	Objective       time.Duration
	ObjectiveFactor float64
	// Patience is how long the caller waits for the answer.
	Patience time.Duration
}

// State is the final state of a job.
type State uint8

// Final states.
const (
	// Completed means that each task has ended well.
	Completed State = iota
	// Failed means that a task used up its attempts.
	Failed
	// Refused means that no task has run or will run.
	Refused
	// Unfinished means that tasks may have run and the job was given up; its
	// tasks are stopped. The caller may submit the job again.
	Unfinished
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"completed", "failed", "refused", "unfinished"}[s]
}

// Reason says why a job was refused or is unfinished.
type Reason string

// Reasons.
const (
	ReasonNone        Reason = ""
	ReasonOverload    Reason = "overload"
	ReasonNoWorker    Reason = "no worker"
	ReasonNeverFits   Reason = "fits no worker"
	ReasonDraining    Reason = "draining"
	ReasonDuplicate   Reason = "already under way"
	ReasonDeadline    Reason = "deadline"
	ReasonCallerLeft  Reason = "caller left"
	ReasonAttempts    Reason = "attempts used up"
	ReasonWorkerLost  Reason = "worker lost"
	ReasonUnsupported Reason = "unsupported job"
	ReasonNoConfig    Reason = "no configuration"
	ReasonMalformed   Reason = "malformed request"
	ReasonStopping    Reason = "process stops"
)

// Answer is the final answer to a job.
type Answer struct {
	State  State
	Reason Reason
	// RetryAfter is when a refused job is worth submitting again.
	RetryAfter time.Duration
}

// TaskID names one task of a job.
type TaskID struct {
	Job   string `msgpack:"j"`
	Step  int    `msgpack:"s,omitempty"`
	Index int    `msgpack:"i,omitempty"`
}

// RunID names one start of a task. Attempt begins at 1 and rises with each
// start of the task.
type RunID struct {
	Task    TaskID `msgpack:"t"`
	Attempt int    `msgpack:"a"`
}

// Outcome is how a run has ended.
type Outcome uint8

// Outcomes.
const (
	// Done means that the task has ended well.
	Done Outcome = iota
	// RunFailed means that the run ended by a fault of its own or of the worker.
	RunFailed
	// NotRun means that the run has not started and never will.
	NotRun
	// Lost means that the run has ended without a result: stopped, expired, or
	// gone with its worker.
	Lost
	// Stalled means that the run made no progress and was stopped.
	Stalled
	// Outdated means that the worker knows a run of the task with the same or a
	// higher attempt; this one has not started.
	Outdated
	// NoRoom means that the run was to start at once and found no room. It has
	// not started and never will.
	NoRoom
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"done", "failed", "not run", "lost", "stalled", "outdated", "no room"}[o]
}
