// Package history records the events that callers, backend servers and operators
// observe during a run, and checks the record for violations of the invariants P1
// to P8 of the design.
package history

import (
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Type is the type of an event.
type Type string

// Event types.
const (
	// Submit is a caller's request to run a job. Call, Submission, Request,
	// TaskCount, Idempotent and Process, the addressed entry instance, are set.
	Submit Type = "submit"
	// Query is a caller's request for the answer to an earlier submission.
	Query Type = "query"
	// Cancel is a caller's request to cancel a submission.
	Cancel Type = "cancel"
	// Response is the answer to Call.
	Response Type = "response"
	// Lost means that Call ended without an answer.
	Lost Type = "lost"
	// Start and End are the start and the end of a task on a backend server.
	// Process is the backend server and Sidecar its sidecar.
	Start Type = "start"
	End   Type = "end"
	// Abort means that the client of the backend server closed the connection
	// while the task ran.
	Abort Type = "abort"
	// Leave is recorded when a backend server (Process) announces that it leaves,
	// and Announce when the server starts.
	Leave    Type = "leave"
	Announce Type = "announce"
	// Shutdown is the start of a graceful shutdown of Process.
	Shutdown Type = "shutdown"
	// Up and Down are the start and the end of a process incarnation.
	Up   Type = "up"
	Down Type = "down"
	// Fault is an injected kill, pause or network fault of Process.
	Fault Type = "fault"
	// Observe reports the configuration revision in force at Process.
	Observe Type = "observe"
)

// Event is one recorded event. The fields that its type doesn't use are zero.
type Event struct {
	// At is the time since the recorder was created.
	At   time.Duration `json:"at"`
	Type Type          `json:"type"`
	// Call is the number of a caller's request. Response and Lost repeat it.
	Call uint64 `json:"call,omitempty"`
	// Process is the name of a process, or of an incarnation in Up, Down and
	// Observe. A fault of an entry instance or sidecar is recorded under both names.
	Process    string `json:"process,omitempty"`
	Sidecar    string `json:"peer,omitempty"`
	Submission string `json:"submission,omitempty"`
	// Request is the caller's own token for the request. It stays the same when
	// the request is submitted again under a new ID, and the results repeat it.
	Request    string            `json:"request,omitempty"`
	Task       int               `json:"task,omitempty"`
	TaskCount  int               `json:"tasks,omitempty"`
	Idempotent bool              `json:"idempotent,omitempty"`
	Answer     *jobapi.JobAnswer `json:"answer,omitempty"`
	Revision   uint64            `json:"revision,omitempty"`
}

// Outcome is the outcome of an edit as the operator knows it.
type Outcome string

// Outcomes of edits.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	// Unknown means that the edit may take effect at any later time.
	Unknown Outcome = "unknown"
)

// Edit is an operator's edit of one resource, with its outcome.
type Edit struct {
	// Call is the time of the request and Return that of the response or error.
	Call, Return time.Duration
	Resource     string
	// ExpectedVersion is the resource version on which the edit was conditional;
	// zero if it was unconditional.
	ExpectedVersion uint64
	// Revision is the new document revision if the edit was accepted, and the
	// current resource version if there was a conflict.
	Revision uint64
	// Version is the resource version in the response to an accepted edit; zero
	// if the response had no object.
	Version uint64
	// Malformed is the body of a response that lacks a revision or version.
	Malformed string
	Outcome   Outcome
	// Limit is the limit's value; nil if the resource is no limit.
	Limit         *int64
	AllowDecrease bool
}

// Echo is the result body that the fake backend servers return for a task.
type Echo struct {
	Request string `json:"request"`
	Task    int    `json:"task"`
}

// History is a copy of the events and edits that a Recorder has recorded.
type History struct {
	Events []Event
	Edits  []Edit
	// EndedAt is the time of the copy.
	EndedAt time.Duration
}

// Recorder records events and edits. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu       sync.Mutex // guards the fields below
	history  History
	lastCall uint64
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the monotonic time since the recorder was created.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event with the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.history.Events = append(r.history.Events, e)
}

// AddCall records a caller's request and returns its call number.
func (r *Recorder) AddCall(e Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCall++
	e.Call = r.lastCall
	e.At = r.Now()
	r.history.Events = append(r.history.Events, e)
	return r.lastCall
}

// AddEdit records an edit that has just ended with a response or an error, and sets
// its Return to the current time.
func (r *Recorder) AddEdit(e Edit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Return = r.Now()
	r.history.Edits = append(r.history.Edits, e)
}

// History returns a copy of everything recorded so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Events:  append([]Event(nil), r.history.Events...),
		Edits:   append([]Edit(nil), r.history.Edits...),
		EndedAt: r.Now(),
	}
}
