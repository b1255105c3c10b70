// Package jobapi defines the JSON types of the Job API, which callers use to
// submit jobs and to read their answers.
package jobapi

import "encoding/json"

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = 330

// Header names of the Job API.
const (
	// HeaderSubmissionPrefix carries the prefix that the receiving entry
	// instance currently issues; a caller appends a suffix of its own.
	HeaderSubmissionPrefix = "Cardamom-Submission-Prefix"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	// SubmissionID identifies the submission; when empty, the receiving entry
	// instance issues one.
	SubmissionID string `json:"submissionID,omitempty" msgpack:"i,omitempty"`
	Team         string `json:"team" msgpack:"t"`
	Kind         string `json:"kind" msgpack:"k"`
	// DeadlineMs bounds the time to the answer in milliseconds, counted from
	// the receipt of the request; zero selects the deadline of the kind.
	DeadlineMs int64 `json:"deadlineMs,omitempty" msgpack:"d,omitempty"`
	// Tasks holds 1 to MaxTasks tasks.
	Tasks []TaskRequest `json:"tasks" msgpack:"x"`
}

// TaskRequest is one task of a job.
type TaskRequest struct {
	// Payload is passed to the backend server as the request body.
	Payload json.RawMessage `json:"payload,omitempty" msgpack:"p,omitempty"`
	// Size declares the resources that the task needs; zero values select
	// those of the kind.
	Size Size `json:"size,omitzero" msgpack:"s,omitempty"`
	// RunMs declares the run time in milliseconds; zero selects that of the kind.
	RunMs int64 `json:"runMs,omitempty" msgpack:"r,omitempty"`
}

// Size is an amount of worker resources.
type Size struct {
	CPUs         float64 `json:"cpus,omitempty" msgpack:"c,omitempty"`
	MemoryMB     int64   `json:"memoryMB,omitempty" msgpack:"m,omitempty"`
	Accelerators int     `json:"accelerators,omitempty" msgpack:"a,omitempty"`
}

// JobState is the state of a job as a caller sees it.
type JobState string

// Job states. Complete, Failed and Refused are final.
const (
	JobQueued   JobState = "queued"
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
	JobRefused  JobState = "refused"
)

// Final reports whether the state is an answer.
func (s JobState) Final() bool {
	return s == JobComplete || s == JobFailed || s == JobRefused
}

// TaskState is what is known of a task.
type TaskState string

// Task states. The last four are final.
const (
	TaskQueued  TaskState = "queued"
	TaskRunning TaskState = "running"
	// TaskCompleted means that the backend server answered with a 2xx status.
	TaskCompleted TaskState = "completed"
	// TaskFailed means that the task ran and the backend server answered with
	// an error.
	TaskFailed TaskState = "failed"
	// TaskNotRun means that the task was not started and can't start any more.
	TaskNotRun TaskState = "notRun"
	// TaskMayHaveRun means that nobody can know whether the task ran.
	TaskMayHaveRun TaskState = "mayHaveRun"
)

// Final reports whether the state can't change any more.
func (s TaskState) Final() bool { return s != TaskQueued && s != TaskRunning }

// Reason says why a job was refused or has failed.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonQueueFull       Reason = "queueFull"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonNoConfiguration Reason = "noConfiguration"
	ReasonUnknownKind     Reason = "unknownKind"
	ReasonUnknownTeam     Reason = "unknownTeam"
	ReasonNeverRuns       Reason = "neverRuns"
	ReasonNoWorker        Reason = "noWorker"
	ReasonCanceled        Reason = "canceled"
	ReasonTaskFailed      Reason = "taskFailed"
	ReasonOutcomeUnknown  Reason = "outcomeUnknown"
	ReasonExpired         Reason = "submissionExpired"
	ReasonOwnerUnreached  Reason = "ownerUnreachable"
	ReasonConflict        Reason = "submissionConflict"
	ReasonLimitZero       Reason = "limitIsZero"
	ReasonResultDropped   Reason = "resultDropped"
	// ReasonUnknownSubmission answers a query of an ID under which no job has
	// arrived. It proves nothing of a job that is still under way.
	ReasonUnknownSubmission Reason = "submissionUnknown"
)

// JobAnswer is the body of every answer about a job.
type JobAnswer struct {
	SubmissionID string   `json:"submissionID" msgpack:"i"`
	State        JobState `json:"state" msgpack:"s"`
	// NotRun is true only if no task of the submission has started or can
	// still start.
	NotRun bool   `json:"notRun,omitempty" msgpack:"n,omitempty"`
	Reason Reason `json:"reason,omitempty" msgpack:"r,omitempty"`
	// Message explains the reason for people.
	Message string `json:"message,omitempty" msgpack:"m,omitempty"`
	// RetryAfterMs suggests when to submit again, in milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" msgpack:"a,omitempty"`
	// SafeToResubmit is true when a new submission of the whole job does no
	// harm, because nothing ran or because the kind is idempotent.
	SafeToResubmit bool `json:"safeToResubmit,omitempty" msgpack:"u,omitempty"`
	// Tasks has one element per task of the request, in its order; it is
	// empty in a refusal.
	Tasks []TaskAnswer `json:"tasks,omitempty" msgpack:"x,omitempty"`
}

// TaskAnswer is what is known of one task.
type TaskAnswer struct {
	State TaskState `json:"state" msgpack:"s"`
	// Result is the body that the backend server answered with.
	Result json.RawMessage `json:"result,omitempty" msgpack:"r,omitempty"`
	// Error describes why the task is not completed.
	Error string `json:"error,omitempty" msgpack:"e,omitempty"`
	// Worker names the worker on which the task started.
	Worker string `json:"worker,omitempty" msgpack:"w,omitempty"`
	// RunMs is the run time in milliseconds that the sidecar measured.
	RunMs int64 `json:"runMs,omitempty" msgpack:"d,omitempty"`
}
