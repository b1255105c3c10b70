// Package replay replays a trace against the decision state machines with a
// virtual clock. It has no I/O, goroutines, or wall clock, so a trace and a
// seed always give the same result.
package replay

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Dispatcher is the part of dispatch.Machine that the driver uses. Only
// Attach and Actions differ in their types.
type Dispatcher interface {
	SetDocument(now time.Duration, doc *resource.Document)
	Submit(now time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer
	Attach(now time.Duration, sidecar wire.Peer, backend *wire.Backend)
	Detach(now time.Duration, sidecar ident.Process)
	SetLeaving(now time.Duration, sidecar ident.Process, leaving bool)
	Grant(now time.Duration, sidecar ident.Process, grants []wire.Grant)
	SetLoad(now time.Duration, sidecar ident.Process, held, free, foreign int)
	Recall(now time.Duration, sidecar ident.Process, count int) []wire.Credit
	DispatchReply(now time.Duration, sidecar ident.Process, starts []wire.Start, codes []wire.StartCode)
	DispatchFailed(now time.Duration, sidecar ident.Process, starts []wire.Start, sent bool)
	FenceReply(now time.Duration, sidecar ident.Process, starts []wire.FencedStart, reply wire.FenceReply)
	Results(now time.Duration, sidecar ident.Process, results []wire.TaskResult)
	Tick(now time.Duration)
	Demand(now time.Duration) []wire.Demand
	Actions() []DispatchAction
}

// DispatchAction is an action of a Dispatcher. Sidecar is set for all but
// Answered; exactly one of the others is set.
type DispatchAction struct {
	Sidecar ident.Process
	// Starts are to be dispatched.
	Starts []wire.Start
	// Fence are starts to be fenced.
	Fence []wire.FencedStart
	// TellDemand asks for the demand to be sent.
	TellDemand bool
	// Return are credits to be returned.
	Return []wire.Credit
	// Answered is the final answer about a submission.
	Answered *jobapi.JobAnswer
}

// Slots is the part of slots.Machine that the driver uses. Only Actions
// differs in its types.
type Slots interface {
	SetBackend(now time.Duration, b *wire.Backend)
	Attach(now time.Duration, entry wire.Peer, window uint64, listed int)
	Detach(now time.Duration, entry ident.Process)
	SetDemand(now time.Duration, entry ident.Process, demand []wire.Demand)
	Start(now time.Duration, entry ident.Process, s wire.Start) wire.StartCode
	Finish(now time.Duration, r wire.TaskResult) (owner ident.Process, known bool)
	ReturnCredits(now time.Duration, entry ident.Process, credits []wire.Credit)
	FenceStarts(now time.Duration, entry ident.Process, starts []wire.FencedStart) []wire.LedgerEntry
	TakeGrants(now time.Duration, entry ident.Process) []wire.Grant
	CreditCounts(entry ident.Process) (held, free, foreign int)
	Tick(now time.Duration)
	Actions() []SlotsAction
}

// SlotsAction asks to send the grants for an entry instance, or to recall
// Recall credits from it if that is above zero.
type SlotsAction struct {
	Entry  ident.Process
	Recall int
}

// Machines makes the state machines, with random sources from the seed.
type Machines struct {
	Dispatcher func(self ident.Process, seed uint64) Dispatcher
	Slots      func(self ident.Process, seed uint64) Slots
}
