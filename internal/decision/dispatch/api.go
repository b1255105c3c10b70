// Package dispatch is the scheduling state machine of an entry instance. It
// admits jobs, queues their tasks, holds the credits that sidecars grant, spends
// a credit on each start of a task, and answers jobs.
//
// A Machine does no I/O, and only one goroutine may use it. The parameter now of
// its methods is the monotonic time since process start and never decreases.
package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Defaults of Config, and DefaultDeadline, the deadline of a kind that declares
// none.
const (
	DefaultAcceptWindows = 5
	DefaultRetainWindows = 15
	DefaultCreditTTL     = 3 * time.Second
	DefaultResultBytes   = 64 << 20
	DefaultPayloadBytes  = 32 << 20
	DefaultQueueTasks    = 20000
	DefaultDeadline      = 30 * time.Second
)

// Config configures a Machine. Zero values select the defaults above.
type Config struct {
	// Self is the entry incarnation that owns the submissions.
	Self ident.Process
	// Zone is the availability zone of the entry instance.
	Zone string
	// AcceptWindows is the highest age, in windows, of a submission ID that a new
	// job may have.
	AcceptWindows uint64
	// RetainWindows is the highest age, in windows, of a submission ID whose
	// answer is kept.
	RetainWindows uint64
	// CreditTTL is the time after which the sidecar voids an unspent credit. The
	// Machine drops an unspent credit after two thirds of that time.
	CreditTTL time.Duration
	// ResultBytes is the maximum size of the task answers kept for answered jobs.
	ResultBytes int64
	// PayloadBytes is the maximum size of the payloads of all unanswered jobs. A job beyond it is
	// refused, but for one job that is alone.
	PayloadBytes int64
	// QueueTasks is the maximum number of waiting tasks per class. A policy can
	// replace it, and a limit can lower it.
	QueueTasks int64
	// Limiter enforces the limits before each start; nil means no limits.
	Limiter Limiter
	// ObserveWait is called at each start of a task with the time since the
	// submission of its job. It may be nil and must not call the Machine.
	ObserveWait func(class wire.Class, wait time.Duration)
}

// Limiter enforces the limits that hold across entry instances.
type Limiter interface {
	// CanStart reports whether one more task of the class may start now.
	CanStart(now time.Duration, class wire.Class) bool
	// Started takes the capacity of one task. It is called when the task is
	// dispatched.
	Started(now time.Duration, class wire.Class)
	// Ended returns the capacity of one started task. For a task that may have
	// run, Ended is called at the deadline of the job, because the task may still
	// be running until then.
	Ended(now time.Duration, class wire.Class)
	// CanQueue reports whether that many more tasks of the class may wait.
	CanQueue(class wire.Class, tasks int) bool
	// Queued adds delta, which may be negative, to the number of waiting tasks of
	// the class.
	Queued(class wire.Class, delta int)
}

// Worker is an attached sidecar with its backend server.
type Worker struct {
	Sidecar wire.Peer
	// Backend is nil while no backend server is announced to the sidecar.
	Backend *wire.Backend
}

// Action is an operation that the caller of Actions must carry out.
type Action interface{ action() }

// Dispatch sends starts to a sidecar. The caller must report the outcome of each
// Dispatch with exactly one call of DispatchReply or DispatchFailed, even after a
// Detach of the sidecar.
type Dispatch struct {
	Sidecar ident.Process
	Starts  []wire.Start
}

// Fence asks a sidecar to void the credits of the given starts and to report the
// state of their tasks, because the outcome of the dispatch is unknown. The
// Machine repeats the action until FenceReply or Results reports the outcome, the
// job ends or Detach is called.
type Fence struct {
	Sidecar ident.Process
	Starts  []wire.FencedStart
}

// Answered reports the final answer to a job, once per admitted job.
type Answered struct {
	ID     string
	Class  wire.Class
	Answer jobapi.JobAnswer
	// Response is the time from submission to answer.
	Response time.Duration
}

// SendDemand sends the current demand to a sidecar.
type SendDemand struct {
	Sidecar ident.Process
}

// ReturnCredits returns unspent credits to a sidecar.
type ReturnCredits struct {
	Sidecar ident.Process
	Credits []wire.Credit
}

// Notice reports an event that the caller logs or reacts to.
type Notice struct {
	Event Event
}

// Event is the content of a Notice.
type Event interface{ event() }

// OwnerFenced reports that a sidecar has fenced this entry incarnation. The
// caller must call Abandon and continue with a Machine for a new incarnation.
type OwnerFenced struct{ Sidecar ident.Process }

// WorkerEjected reports that a worker gets no task before Until. From then on it
// gets a single task as a probe.
type WorkerEjected struct {
	Sidecar ident.Process
	Until   time.Duration
}

// WorkerReadmitted reports that a probe of an ejected worker succeeded.
type WorkerReadmitted struct{ Sidecar ident.Process }

// TasksLost reports how many tasks of a detached sidecar may have run.
type TasksLost struct {
	Sidecar ident.Process
	Tasks   int
}

// RetriesExhausted reports that a task that has certainly not run is not
// retried, because the retry budget of its class is spent.
type RetriesExhausted struct{ Class wire.Class }

func (Dispatch) action()      {}
func (Fence) action()         {}
func (Answered) action()      {}
func (SendDemand) action()    {}
func (ReturnCredits) action() {}
func (Notice) action()        {}

func (OwnerFenced) event()      {}
func (WorkerEjected) event()    {}
func (WorkerReadmitted) event() {}
func (TasksLost) event()        {}
func (RetriesExhausted) event() {}

// ClassStats holds the counters of one class. Queued and Running are the current
// numbers of tasks. The other counters are totals since the Machine was created:
// Starts counts the starts of tasks; Completed, Failed and Refused count jobs.
type ClassStats struct {
	Class     wire.Class
	Queued    int
	Running   int
	Starts    int64
	Completed int64
	Failed    int64
	Refused   map[jobapi.Reason]int64
}

// Waste counts, by cause, the messages or elements of messages that led to no
// start or result of a task.
type Waste struct {
	// RefusedStarts counts the starts that a sidecar refused.
	RefusedStarts int64
	// EmptyRecalls counts the recalls that returned no credit.
	EmptyRecalls int64
	// ReturnedCredits counts the credits returned unspent.
	ReturnedCredits int64
	// DemandMessages counts the SendDemand actions that were followed by no grant
	// before the next load report of the sidecar.
	DemandMessages int64
	// Fences counts the Fence actions.
	Fences int64
	// Duplicates counts the results that match no task in flight at the sidecar.
	Duplicates int64
	// ExpiredCredits counts the credits dropped unspent at two thirds of their
	// TTL.
	ExpiredCredits int64
}
