// Package wire defines the RPC messages that entry instances and sidecars
// exchange.
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

// Class names the tasks of one kind for one team. Fair scheduling divides slots
// between classes.
type Class struct {
	Team string `msgpack:"t"`
	Kind string `msgpack:"k"`
}

// Credit is the number of a slot credit, which permits its holder to start one
// task at the sidecar that issued it. The number is unique within a sidecar
// incarnation; its upper 16 bits are the slot number. A new credit for a slot
// voids the earlier credits for that slot.
type Credit uint64

// creditSlotShift is the lowest bit of the slot number in a credit.
const creditSlotShift = 48

// NewCredit returns the credit for a slot with a sequence number, which must be
// below 2^48.
func NewCredit(slot, seq uint64) Credit { return Credit(slot<<creditSlotShift | seq) }

// Slot returns the slot number.
func (c Credit) Slot() uint64 { return uint64(c >> creditSlotShift) }

// Grant is a credit that a sidecar issues to an entry instance.
type Grant struct {
	Credit Credit `msgpack:"c"`
	// Class is the class that the sidecar granted the credit for; it is empty if
	// the credit is for any class.
	Class Class `msgpack:"k,omitempty"`
	// Reserved is true if the slot is one of the reserved slots. The holder may
	// spend the credit only on Class and on classes below their fair share.
	Reserved bool `msgpack:"r,omitempty"`
}

// TaskKey identifies one task of a submission.
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
	// TimeLeftMs is the time until the job's deadline, in milliseconds.
	TimeLeftMs int64 `msgpack:"d"`
	// JobTasks is the number of tasks of the job. The sidecar keeps it in its
	// ledger, so that an entry instance that recovers the job can read it.
	JobTasks int `msgpack:"n,omitempty"`
}

// StartCode is the sidecar's reply to one Start: accepted, or the reason for the
// refusal. A refused start has not started the task, and its credit is void. With
// RefusedDuplicate, an earlier start has started the task.
type StartCode uint8

// Codes of a StartCode.
const (
	// Accepted means that the sidecar has started the task.
	Accepted StartCode = iota
	// RefusedCredit means that the credit is unknown, spent or expired.
	RefusedCredit
	// RefusedFenced means that the owner is fenced, or that it has not issued the
	// submission ID.
	RefusedFenced
	// RefusedDuplicate means that the ledger has a record of the same task.
	RefusedDuplicate
	// RefusedLeaving means that the sidecar starts no new tasks: its backend server
	// is leaving, has left or can't be reached, or the sidecar drains.
	RefusedLeaving
)

// Demand summarizes the waiting tasks of one class at an entry instance.
type Demand struct {
	Class Class `msgpack:"k"`
	// Waiting is the number of tasks that could start now.
	Waiting int `msgpack:"w"`
	// OldestMs is the age of the oldest such task in milliseconds.
	OldestMs int64 `msgpack:"o"`
	// Rank and Weight come from the urgency of the class. A higher Rank is more
	// urgent, unlike in RunRequest. Weight includes the team's weight.
	Rank   int     `msgpack:"r"`
	Weight float64 `msgpack:"g"`
	// RunMs is the estimated run time of a task in milliseconds.
	RunMs int64 `msgpack:"m"`
	// TotalSlots is the number of slots of all workers that could run the tasks.
	// A sidecar grants credits only for a part of the waiting tasks, which is
	// proportional to its own part of TotalSlots. If TotalSlots is zero, it grants
	// credits for all of them.
	TotalSlots int `msgpack:"s,omitempty"`
}

// MaxDemandClasses is the largest number of classes in one demand summary.
const MaxDemandClasses = 32

// Revisions are the configuration revisions that a process reports.
type Revisions struct {
	// Known is the highest revision that the process knows of.
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
	// MaxConnections is the largest number of connections that the backend
	// server accepts.
	MaxConnections int `msgpack:"x" json:"connections"`
}

// Peer is a process with the address at which other processes reach it.
type Peer struct {
	Process ident.Process `msgpack:"p" json:"process"`
	// Address is the address of the internal port, "ip:port".
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Region is the region of the availability zone. A network partition may
	// separate all availability zones of a region from the other regions.
	Region string `msgpack:"g,omitempty" json:"region,omitempty"`
}

// ForwardOp is an operation that an entry instance forwards to the owner of a
// submission.
type ForwardOp uint8

// Forwarded operations.
const (
	ForwardSubmit ForwardOp = iota
	ForwardGet
	ForwardCancel
)

// DrainRequest asks a process to start draining, or to accept work again.
type DrainRequest struct {
	Drain bool `msgpack:"d"`
}

// DrainReply acknowledges a DrainRequest.
type DrainReply struct{}
