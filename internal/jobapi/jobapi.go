// Package jobapi defines the JSON types of the Job API, which callers use to
// submit jobs and to read the answers.
package jobapi

import (
	"encoding/json"

	"github.com/cardamomturn/cardamomturn/internal/jsonlist"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// MaxTasks is the largest number of tasks in one job.
const MaxTasks = work.MaxTasks

// Header names of the Job API.
const (
	// HeaderSubmissionPrefix is the response header with the prefix of the
	// submission IDs that the receiving entry instance currently issues. A caller
	// appends its own suffix to form a submission ID.
	HeaderSubmissionPrefix = "Cardamom-Submission-Prefix"
)

// JobRequest is the body of POST /v1/jobs.
type JobRequest struct {
	// SubmissionID identifies the submission; if it is empty, the receiving
	// entry instance issues an ID.
	SubmissionID string `json:"submissionID,omitempty" msgpack:"i,omitempty"`
	Team         string `json:"team" msgpack:"t"`
	Kind         string `json:"kind" msgpack:"k"`
	// DeadlineMs is the longest time from the receipt of the request to the
	// answer, in milliseconds; zero selects the deadline of the kind.
	DeadlineMs int64 `json:"deadlineMs,omitempty" msgpack:"d,omitempty"`
	// Tasks holds 1 to MaxTasks tasks.
	Tasks TaskList `json:"tasks" msgpack:"x"`
}

// TaskList is a list whose length is checked before its tasks are decoded.
type TaskList []TaskRequest

// UnmarshalJSON implements json.Unmarshaler. Unknown fields of a task are errors. The error for too
// many tasks is a *jsonlist.TooLongError.
func (l *TaskList) UnmarshalJSON(text []byte) (err error) {
	*l, err = jsonlist.DecodeStrict[TaskRequest](text, MaxTasks)
	return err
}

// TaskRequest is one task of a job.
type TaskRequest struct {
	// Payload is the request body that the backend server gets.
	Payload json.RawMessage `json:"payload,omitempty" msgpack:"p,omitempty"`
	// Size is the declared amount of resources that the task needs; each zero
	// field selects the value of the kind.
	Size Size `json:"size,omitzero" msgpack:"s,omitempty"`
	// RunMs is the declared run time in milliseconds; zero selects the run time
	// of the kind.
	RunMs int64 `json:"runMs,omitempty" msgpack:"r,omitempty"`
}

// Size is an amount of each worker resource.
type Size struct {
	CPUs         float64 `json:"cpus,omitempty" msgpack:"c,omitempty"`
	MemoryMB     int64   `json:"memoryMB,omitempty" msgpack:"m,omitempty"`
	Accelerators int     `json:"accelerators,omitempty" msgpack:"a,omitempty"`
}

// JobState is the state of a job that callers see.
type JobState string

// Job states. JobComplete, JobFailed and JobRefused are final.
const (
	JobQueued   JobState = "queued"
	JobRunning  JobState = "running"
	JobComplete JobState = "complete"
	JobFailed   JobState = "failed"
	JobRefused  JobState = "refused"
)

// Final reports whether the state is one of a final answer.
func (s JobState) Final() bool {
	return s == JobComplete || s == JobFailed || s == JobRefused
}

// TaskState is the known state of a task.
type TaskState string

// Task states. All but TaskQueued and TaskRunning are final.
const (
	TaskQueued  TaskState = "queued"
	TaskRunning TaskState = "running"
	// TaskCompleted means that the backend server answered with a 2xx status.
	TaskCompleted TaskState = "completed"
	// TaskFailed means that the task ran and the backend server answered with
	// an error.
	TaskFailed TaskState = "failed"
	// TaskNotRun means that the task has not started and can no longer start.
	TaskNotRun TaskState = "notRun"
	// TaskMayHaveRun means that it can't be determined whether the task ran.
	TaskMayHaveRun TaskState = "mayHaveRun"
)

// Final reports whether the state can no longer change.
func (s TaskState) Final() bool { return s != TaskQueued && s != TaskRunning }

// Reason says why a job was refused or has failed.
type Reason string

// Reasons for refusals and failures.
const (
	ReasonQueueFull       Reason = "queueFull"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonNoConfiguration Reason = "noConfiguration"
	ReasonUnknownKind     Reason = "unknownKind"
	ReasonUnknownTeam     Reason = "unknownTeam"
	// ReasonNeverRuns means that the job could never run: it has no task or more
	// than MaxTasks tasks, or a task is larger than any known worker.
	ReasonNeverRuns          Reason = "neverRuns"
	ReasonNoWorker           Reason = "noWorker"
	ReasonCanceled           Reason = "canceled"
	ReasonTaskFailed         Reason = "taskFailed"
	ReasonOutcomeUnknown     Reason = "outcomeUnknown"
	ReasonSubmissionExpired  Reason = "submissionExpired"
	ReasonOwnerUnreachable   Reason = "ownerUnreachable"
	ReasonSubmissionConflict Reason = "submissionConflict"
	ReasonLimitIsZero        Reason = "limitIsZero"
	ReasonResultDropped      Reason = "resultDropped"
	// ReasonSubmissionUnknown is the reason in the answer to a query of a
	// submission ID with which no job has arrived. A job whose request is still
	// being sent may arrive later.
	ReasonSubmissionUnknown Reason = "submissionUnknown"
)

// JobAnswer is the response body of each request about a job.
type JobAnswer struct {
	SubmissionID string   `json:"submissionID" msgpack:"i"`
	State        JobState `json:"state" msgpack:"s"`
	// NotRun is true only if no task of the submission has started and none can
	// start any more.
	NotRun bool   `json:"notRun,omitempty" msgpack:"n,omitempty"`
	Reason Reason `json:"reason,omitempty" msgpack:"r,omitempty"`
	// Message explains Reason in English.
	Message string `json:"message,omitempty" msgpack:"m,omitempty"`
	// RetryAfterMs is the suggested time until the next submission, in
	// milliseconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty" msgpack:"a,omitempty"`
	// SafeToResubmit is true if a new submission of the whole job has no effect
	// beyond that of one run, because no task ran or the kind is idempotent.
	SafeToResubmit bool `json:"safeToResubmit,omitempty" msgpack:"u,omitempty"`
	// Tasks has one element per task of the request, in the order of the
	// request; it is empty if the job was refused.
	Tasks []TaskAnswer `json:"tasks,omitempty" msgpack:"x,omitempty"`
}

// TaskAnswer holds the state and the result of one task.
type TaskAnswer struct {
	State TaskState `json:"state" msgpack:"s"`
	// Result is the body of the backend server's response.
	Result json.RawMessage `json:"result,omitempty" msgpack:"r,omitempty"`
	// Error explains why the task is not completed or has no result.
	Error string `json:"error,omitempty" msgpack:"e,omitempty"`
	// Worker is the name of the worker on which the task started.
	Worker string `json:"worker,omitempty" msgpack:"w,omitempty"`
	// RunMs is the run time that the sidecar measured, in milliseconds.
	RunMs int64 `json:"runMs,omitempty" msgpack:"d,omitempty"`
}
