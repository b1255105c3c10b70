// Package dispatch is the state machine of an entry instance: it admits jobs,
// queues their tasks, holds credits, starts tasks on them and answers jobs.
// A Machine does no I/O and belongs to one goroutine; now is always the
// monotonic time since process start and never decreases.
package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Defaults of Config.
const (
	DefaultAcceptWindows = 5
	DefaultRetainWindows = 15
	DefaultCreditTTL     = 3 * time.Second
	DefaultResultBytes   = 64 << 20
	DefaultQueueTasks    = 20000
	DefaultDeadline      = 30 * time.Second
)

// Config sets up a Machine. Zero values select the defaults above.
type Config struct {
	// Self is the entry incarnation that owns the submissions.
	Self ident.Process
	// Zone is the entry instance's availability zone.
	Zone string
	// AcceptWindows is the number of windows after its own in which an ID is
	// accepted for a new job.
	AcceptWindows uint64
	// RetainWindows is the age in windows up to which an answer is kept.
	RetainWindows uint64
	// CreditTTL is the lifetime of a credit at the sidecar; an idle credit is
	// dropped here after two thirds of it.
	CreditTTL time.Duration
	// ResultBytes bounds the answers kept of finished jobs, in bytes.
	ResultBytes int64
	// QueueTasks bounds the waiting tasks per class unless a policy or limit
	// sets another bound.
	QueueTasks int64
	// Limiter enforces limits before each start; nil means no limits.
	Limiter Limiter
	// Waited is told how long each task waited from its admission to its
	// start; it may be nil and must not call the Machine.
	Waited func(class wire.Class, wait time.Duration)
}

// Limiter enforces the limits that hold across entry instances.
type Limiter interface {
	// CanStart reports whether one more task of the class may start now.
	CanStart(now time.Duration, class wire.Class) bool
	// Started takes the capacity of one task, at its dispatch.
	Started(now time.Duration, class wire.Class)
	// Ended gives the capacity of one started task back. For a task that may
	// have run it is called at the deadline of its job, because it may still
	// be running until then.
	Ended(now time.Duration, class wire.Class)
	// CanQueue reports whether so many more tasks of the class may wait.
	CanQueue(class wire.Class, tasks int) bool
	// Queued changes the number of waiting tasks of the class.
	Queued(class wire.Class, delta int)
}

// Worker is an attached sidecar with its backend server.
type Worker struct {
	Sidecar wire.Peer
	// Backend is nil while no backend server has announced itself.
	Backend *wire.Backend
}

// Action is something that the runtime has to do.
type Action interface{ action() }

// Dispatch sends starts to a sidecar. The runtime answers every Dispatch with
// exactly one call of DispatchReply or DispatchFailed, even after a Detach.
type Dispatch struct {
	Sidecar ident.Process
	Starts  []wire.Start
}

// Fence asks a sidecar to void the credits of dispatches whose reply was lost.
// The machine repeats it until FenceReply or Detach.
type Fence struct {
	Sidecar ident.Process
	Starts  []wire.FencedStart
}

// Answered reports the final answer to a job, once per accepted job.
type Answered struct {
	ID     string
	Class  wire.Class
	Answer jobapi.JobAnswer
	// Response is the time from submission to answer.
	Response time.Duration
}

// TellDemand asks for a message with the current demand to a sidecar.
type TellDemand struct {
	Sidecar ident.Process
}

// ReturnCredits gives unspent credits back to a sidecar.
type ReturnCredits struct {
	Sidecar ident.Process
	Credits []wire.Credit
}

// Notice reports an event that the runtime logs or acts on.
type Notice struct {
	Event Event
}

// Event is the content of a Notice.
type Event interface{ event() }

// OwnerFenced says that a sidecar has fenced this entry incarnation, which
// must end (Abandon) and continue as a new one.
type OwnerFenced struct{ Sidecar ident.Process }

// WorkerEjected says that a worker gets only probes until the given time.
type WorkerEjected struct {
	Sidecar ident.Process
	Until   time.Duration
}

// WorkerReadmitted says that a probe on an ejected worker succeeded.
type WorkerReadmitted struct{ Sidecar ident.Process }

// TasksLost says how many tasks of a detached sidecar may have run.
type TasksLost struct {
	Sidecar ident.Process
	Tasks   int
}

// RetriesExhausted says that a task proved not started was not retried because
// the retry budget of its class is spent.
type RetriesExhausted struct{ Class wire.Class }

func (Dispatch) action()      {}
func (Fence) action()         {}
func (Answered) action()      {}
func (TellDemand) action()    {}
func (ReturnCredits) action() {}
func (Notice) action()        {}

func (OwnerFenced) event()      {}
func (WorkerEjected) event()    {}
func (WorkerReadmitted) event() {}
func (TasksLost) event()        {}
func (RetriesExhausted) event() {}

// ClassStats are the counters of one class. Queued and Running are levels, the
// others totals since the start. Completed and Failed count jobs.
type ClassStats struct {
	Class     wire.Class
	Queued    int
	Running   int
	Starts    int64
	Completed int64
	Failed    int64
	Refused   map[jobapi.Reason]int64
}

// Waste counts the messages (or, where named so, elements of messages) that
// moved no task, by cause.
type Waste struct {
	// RefusedStarts are starts that a sidecar refused.
	RefusedStarts int64
	// EmptyRecalls are recalls that returned nothing.
	EmptyRecalls int64
	// ReturnedCredits are credits given back unspent.
	ReturnedCredits int64
	// DemandMessages are TellDemand actions that no grant answered.
	DemandMessages int64
	// Fences are Fence actions.
	Fences int64
	// Duplicates are results of unknown, ended or foreign tasks.
	Duplicates int64
	// ExpiredCredits are credits dropped unspent at two thirds of the TTL.
	ExpiredCredits int64
}
