// Package wire defines the messages between the system's own processes.
package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Names of the RPC services.
const (
	ServiceEntry   = "Entry"
	ServiceSidecar = "Sidecar"
)

// Class is the unit of fairness: the work of one kind for one team.
type Class struct {
	Team string `msgpack:"t"`
	Kind string `msgpack:"k"`
}

// Credit is the number of a slot credit, unique within a sidecar incarnation.
// Its upper 16 bits are the slot. A new credit for a slot voids the earlier
// ones of the same slot.
type Credit uint64

// creditSlotShift is the position of the slot in a credit.
const creditSlotShift = 48

// NewCredit returns the credit of a slot with a sequence number below 2^48.
func NewCredit(slot, seq uint64) Credit { return Credit(slot<<creditSlotShift | seq) }

// Slot returns the number of the slot.
func (c Credit) Slot() uint64 { return uint64(c >> creditSlotShift) }

// Grant is a credit given to an entry instance.
type Grant struct {
	Credit Credit `msgpack:"c"`
	// Class is the class that the credit is meant for; empty if any.
	Class Class `msgpack:"k,omitempty"`
	// Reserved is true if the slot belongs to the reserve: the credit may be
	// spent only on classes below their share.
	Reserved bool `msgpack:"r,omitempty"`
}

// TaskKey names one task of a submission.
type TaskKey struct {
	Submission string `msgpack:"s"`
	Index      int    `msgpack:"i"`
}

// Start asks a sidecar to start one task.
type Start struct {
	Credit Credit  `msgpack:"c"`
	Task   TaskKey `msgpack:"t"`
	Class  Class   `msgpack:"k"`
	// Payload is the request body for the backend server.
	Payload []byte `msgpack:"p,omitempty"`
	// DeadlineMs is the time left until the job's deadline, in milliseconds.
	DeadlineMs int64 `msgpack:"d"`
	// JobTasks is the number of tasks of the job, for its recovery.
	JobTasks int `msgpack:"n,omitempty"`
}

// RefuseCode says why a start was refused. A refused start has not happened
// and its credit is void.
type RefuseCode uint8

// Refusal codes; zero means accepted.
const (
	Accepted RefuseCode = iota
	// RefusedCredit means that the credit is unknown, spent or expired.
	RefusedCredit
	// RefusedFenced means that the owner or the submission is fenced.
	RefusedFenced
	// RefusedDuplicate means that the ledger holds a start of the same task.
	RefusedDuplicate
	// RefusedLeaving means that the backend server is leaving or gone.
	RefusedLeaving
)

// Demand is the waiting work of one class at an entry instance.
type Demand struct {
	Class Class `msgpack:"k"`
	// Waiting is the number of tasks that could start now.
	Waiting int `msgpack:"w"`
	// OldestMs is the age of the oldest such task in milliseconds.
	OldestMs int64 `msgpack:"o"`
	// Rank and Weight are those of the class's urgency; Weight includes the
	// team's weight.
	Rank   int     `msgpack:"r"`
	Weight float64 `msgpack:"g"`
	// RunMs is the estimated run time of a task in milliseconds.
	RunMs int64 `msgpack:"m"`
	// Slots is the number of slots of all workers that could run the tasks. A
	// sidecar takes the part of its own slots in them; zero means all tasks.
	Slots int `msgpack:"s,omitempty"`
}

// MaxDemand is the largest number of classes in one demand summary.
const MaxDemand = 32

// Revisions are the configuration revisions of a process.
type Revisions struct {
	// Known is the highest revision that the process has heard of.
	Known uint64 `msgpack:"k"`
	// InForce is the revision that the process uses.
	InForce uint64 `msgpack:"f"`
	// Rejected is the highest revision that the process found invalid.
	Rejected uint64 `msgpack:"r,omitempty"`
}

// Backend describes the backend server beside a sidecar.
type Backend struct {
	Name    string      `msgpack:"n" json:"name"`
	Address string      `msgpack:"a" json:"address"`
	Service string      `msgpack:"s" json:"service"`
	Zone    string      `msgpack:"z" json:"zone"`
	Rack    string      `msgpack:"r" json:"rack"`
	Slots   int         `msgpack:"l" json:"slots"`
	Size    jobapi.Size `msgpack:"c" json:"size"`
	// Connections is the backend server's connection limit.
	Connections int `msgpack:"x" json:"connections"`
}

// Peer is an address of a process.
type Peer struct {
	Process ident.Process `msgpack:"p" json:"process"`
	// Address is the internal address, "ip:port".
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Region holds zones that are lost to other regions together.
	Region string `msgpack:"g,omitempty" json:"region,omitempty"`
}

// ForwardOp is an operation on a submission that another instance owns.
type ForwardOp uint8

// Forwarded operations.
const (
	ForwardSubmit ForwardOp = iota
	ForwardGet
	ForwardCancel
)

// DrainRequest asks a process to drain, or to accept work again.
type DrainRequest struct {
	Drain bool `msgpack:"d"`
}

// DrainReply acknowledges a DrainRequest.
type DrainReply struct{}
