// Package history records what callers, backend servers and operators see
// during a run and checks it for the invariants P1 to P8 of the design.
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
	// Submit is a caller's request; Call, Submission, Request, Tasks,
	// Idempotent and Process (the entry instance addressed) are set.
	Submit Type = "submit"
	// Query asks for the answer of an earlier submission.
	Query Type = "query"
	// Cancel asks to cancel a submission.
	Cancel Type = "cancel"
	// Response is the answer to Call.
	Response Type = "response"
	// Lost means that Call ended without an answer.
	Lost Type = "lost"
	// Start and End are seen by a backend server (Process); Peer is its sidecar.
	Start Type = "start"
	End   Type = "end"
	// Abort means that the backend server's client went away while the task ran.
	Abort Type = "abort"
	// Leave and Announce are sent by a backend server (Process).
	Leave    Type = "leave"
	Announce Type = "announce"
	// Shutdown begins a graceful shutdown of Process; Down is its end.
	Shutdown Type = "shutdown"
	// Up and Down bound the life of a process incarnation.
	Up   Type = "up"
	Down Type = "down"
	// Fault is an injected kill, pause or network fault of Process.
	Fault Type = "fault"
	// Observe is the configuration revision in force at Process.
	Observe Type = "observe"
)

// Event is one observation.
type Event struct {
	// At is the time since the recorder was made.
	At   time.Duration `json:"at"`
	Type Type          `json:"type"`
	// Call numbers the requests of callers; responses repeat it.
	Call       uint64 `json:"call,omitempty"`
	Process    string `json:"process,omitempty"`
	Peer       string `json:"peer,omitempty"`
	Submission string `json:"submission,omitempty"`
	// Request is the caller's own token. It is the same when a request is
	// submitted again under a new ID, and results repeat it.
	Request    string            `json:"request,omitempty"`
	Task       int               `json:"task,omitempty"`
	Tasks      int               `json:"tasks,omitempty"`
	Idempotent bool              `json:"idempotent,omitempty"`
	Answer     *jobapi.JobAnswer `json:"answer,omitempty"`
	Revision   uint64            `json:"revision,omitempty"`
}

// Outcome is what an operator was told about an edit.
type Outcome string

// Outcomes of edits.
const (
	Accepted Outcome = "accepted"
	Conflict Outcome = "conflict"
	// Unknown means that the edit may take effect at any later time.
	Unknown Outcome = "unknown"
)

// Commit is one edit of one resource.
type Commit struct {
	Call, Return time.Duration
	Resource     string
	// Expect is the resource version that the edit was conditional on; zero
	// if it was unconditional.
	Expect uint64
	// Revision is the new document revision of an accepted edit, and the
	// current resource version of a conflict.
	Revision uint64
	// Version is the resource version in the response to an accepted edit;
	// zero if the response had no object.
	Version uint64
	// Malformed is the body of a response that lacks a revision or version.
	Malformed string
	Outcome   Outcome
	// Limit is set if the resource is a limit.
	Limit         *int64
	AllowDecrease bool
}

// Echo is the result body of the fake backend servers.
type Echo struct {
	Request string `json:"request"`
	Task    int    `json:"task"`
}

// History is a finished recording.
type History struct {
	Events  []Event
	Commits []Commit
	// Until is the end of the recording.
	Until time.Duration
}

// Recorder collects events from many goroutines.
type Recorder struct {
	start time.Time

	mu   sync.Mutex // guards the fields below
	h    History
	call uint64
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// Now returns the monotonic time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event with the current time.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.h.Events = append(r.h.Events, e)
}

// Call records a caller's request and returns its number.
func (r *Recorder) Call(e Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call++
	e.Call = r.call
	e.At = r.Now()
	r.h.Events = append(r.h.Events, e)
	return r.call
}

// Commit records an edit that has returned; its Return is set here.
func (r *Recorder) Commit(c Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Return = r.Now()
	r.h.Commits = append(r.h.Commits, c)
}

// History returns a copy of the recording so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Events:  append([]Event(nil), r.h.Events...),
		Commits: append([]Commit(nil), r.h.Commits...),
		Until:   r.Now(),
	}
}
