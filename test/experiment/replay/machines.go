// Package replay replays a trace against the decision state machines with a virtual
// clock. It uses no I/O, goroutines or wall clock, so that the same trace and seed
// always give the same result.
package replay

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// DispatchMachine holds the methods of dispatch.Machine that the simulator uses. Only
// the types of Attach and Actions differ from those of dispatch.Machine.
type DispatchMachine interface {
	SetDocument(now time.Duration, doc *resource.Document)
	Submit(now time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer
	Attach(now time.Duration, sidecar wire.Peer, backend *wire.Backend)
	Detach(now time.Duration, sidecar ident.Process)
	SetLeaving(now time.Duration, sidecar ident.Process, leaving bool)
	Grant(now time.Duration, sidecar ident.Process, grants []wire.Grant)
	SetLoad(now time.Duration, sidecar ident.Process, heldCredits, freeSlots, creditsElsewhere int)
	Recall(now time.Duration, sidecar ident.Process, count int) []wire.Credit
	DispatchReply(now time.Duration, sidecar ident.Process, starts []wire.Start, codes []wire.StartCode)
	DispatchFailed(now time.Duration, sidecar ident.Process, starts []wire.Start, sent bool)
	FenceReply(now time.Duration, sidecar ident.Process, starts []wire.FencedStart, reply wire.FenceReply)
	Results(now time.Duration, sidecar ident.Process, results []wire.TaskResult)
	Tick(now time.Duration)
	Demand(now time.Duration) []wire.Demand
	Actions() []DispatchAction
}

// DispatchAction is an action of a DispatchMachine. Exactly one of the fields after
// Sidecar is set. Sidecar is the target of the action, and unset for Answered.
type DispatchAction struct {
	Sidecar ident.Process
	// Dispatch holds the starts to send.
	Dispatch []wire.Start
	// Fence holds the starts to fence.
	Fence []wire.FencedStart
	// SendDemand asks to send the current demand.
	SendDemand bool
	// ReturnCredits holds the credits to return.
	ReturnCredits []wire.Credit
	// Answered is the final answer to a submission.
	Answered *jobapi.JobAnswer
}

// SlotsMachine holds the methods of slots.Machine that the simulator uses. Only the
// type of Actions differs from that of slots.Machine.
type SlotsMachine interface {
	SetBackend(now time.Duration, b *wire.Backend)
	Attach(now time.Duration, entry wire.Peer, window uint64, liveEntries int)
	Detach(now time.Duration, entry ident.Process)
	SetDemand(now time.Duration, entry ident.Process, demand []wire.Demand)
	Start(now time.Duration, entry ident.Process, s wire.Start) wire.StartCode
	Finish(now time.Duration, r wire.TaskResult) (owner ident.Process, known bool)
	ReturnCredits(now time.Duration, entry ident.Process, credits []wire.Credit)
	FenceStarts(now time.Duration, entry ident.Process, starts []wire.FencedStart) []wire.LedgerEntry
	TakeGrants(now time.Duration, entry ident.Process) []wire.Grant
	CreditCounts(entry ident.Process) (held, free, elsewhere int)
	Tick(now time.Duration)
	Actions() []SlotsAction
}

// SlotsAction asks to send the pending grants to an entry instance and, if
// RecallCount is above zero, to recall that many credits from it.
type SlotsAction struct {
	Entry       ident.Process
	RecallCount int
}

// MachineFactories creates the state machines of new incarnations. The random source
// of a machine is derived from the seed.
type MachineFactories struct {
	NewDispatch func(self ident.Process, seed uint64) DispatchMachine
	NewSlots    func(self ident.Process, seed uint64) SlotsMachine
}
