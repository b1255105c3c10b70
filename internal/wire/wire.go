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

// AttachRequest attaches a sidecar to an entry instance. It is sent at the
// start, after a loss of contact, and when the backend server's data change.
type AttachRequest struct {
	Sidecar Peer `msgpack:"s"`
	// Backend is nil if no backend server has announced itself.
	Backend   *Backend  `msgpack:"b,omitempty"`
	Revisions Revisions `msgpack:"v"`
	// Entries are the entry instances that the sidecar knows.
	Entries []Peer `msgpack:"e,omitempty"`
}

// AttachReply answers an AttachRequest.
type AttachReply struct {
	Entry Peer `msgpack:"e"`
	// Window is the entry instance's current submission window.
	Window    uint64    `msgpack:"w"`
	Revisions Revisions `msgpack:"v"`
	// Entries are the entry instances that the answering one knows as live,
	// itself included.
	Entries []Peer `msgpack:"l"`
	// EntriesHash identifies Entries, as in BeatReply.
	EntriesHash uint64 `msgpack:"h"`
	// Dead are the entry incarnations declared dead.
	Dead []ident.Process `msgpack:"d,omitempty"`
	// Draining is true if the entry instance accepts no new jobs.
	Draining bool `msgpack:"g,omitempty"`
}

// BeatRequest is the heartbeat of a sidecar to an entry instance. An entry
// instance that does not know the sidecar incarnation answers Unattached.
type BeatRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	// Entry is the entry incarnation that the sidecar believes to talk to.
	Entry ident.Process `msgpack:"t"`
	// Acked is the sequence number of the newest BeatReply received.
	Acked uint64 `msgpack:"a"`
	// Grants are new credits; they replace nothing.
	Grants []Grant `msgpack:"g,omitempty"`
	// Held is the number of unspent credits that the sidecar counts for the
	// entry instance, the new ones included.
	Held int `msgpack:"h"`
	// Free is the number of free slots; Foreign the number of idle credits
	// held by other entry instances.
	Free      int       `msgpack:"f"`
	Foreign   int       `msgpack:"o,omitempty"`
	Revisions Revisions `msgpack:"v"`
	// Leaving is true while the backend server or the sidecar drains.
	Leaving bool `msgpack:"l,omitempty"`
	// Fenced is true if the entry incarnation is fenced at the sidecar.
	Fenced bool `msgpack:"x,omitempty"`
}

// BeatReply answers a BeatRequest.
type BeatReply struct {
	Unattached bool `msgpack:"u,omitempty"`
	// Seq numbers the replies to one sidecar incarnation.
	Seq       uint64    `msgpack:"q"`
	Window    uint64    `msgpack:"w"`
	Demand    []Demand  `msgpack:"d,omitempty"`
	Revisions Revisions `msgpack:"v"`
	// EntriesHash identifies the list of live entry instances; a sidecar that
	// holds another list attaches again to fetch it.
	EntriesHash uint64 `msgpack:"e"`
	Draining    bool   `msgpack:"g,omitempty"`
}

// TaskResult is the end of a started task.
type TaskResult struct {
	Task TaskKey `msgpack:"t"`
	// Credit is the credit that the task was started on. It tells a late
	// result from that of a later start of the same task.
	Credit Credit `msgpack:"c"`
	// State is completed, failed, mayHaveRun, or notRun. NotRun says that the
	// backend server provably did not start the task.
	State jobapi.TaskState `msgpack:"s"`
	Body  []byte           `msgpack:"b,omitempty"`
	Error string           `msgpack:"e,omitempty"`
	RunMs int64            `msgpack:"r"`
}

// ResultsRequest carries ended tasks to their owner, with new credits.
type ResultsRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	Entry   ident.Process `msgpack:"t"`
	Results []TaskResult  `msgpack:"r"`
	Grants  []Grant       `msgpack:"g,omitempty"`
}

// ResultsReply acknowledges results; the sidecar repeats unacknowledged ones.
type ResultsReply struct {
	Demand []Demand `msgpack:"d,omitempty"`
}

// RecallRequest asks for idle credits back. An entry instance that has
// waiting work may keep them.
type RecallRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	Entry   ident.Process `msgpack:"t"`
	Count   int           `msgpack:"c"`
}

// RecallReply lists the returned credits.
type RecallReply struct {
	Returned []Credit `msgpack:"r,omitempty"`
	Demand   []Demand `msgpack:"d,omitempty"`
}

// DispatchRequest asks a sidecar to start tasks; with no Starts it only tells
// the demand.
type DispatchRequest struct {
	Entry ident.Process `msgpack:"e"`
	// Sidecar is the incarnation that issued the credits.
	Sidecar ident.Process `msgpack:"s"`
	Starts  []Start       `msgpack:"t,omitempty"`
	// Returned are unspent credits given back.
	Returned []Credit `msgpack:"r,omitempty"`
	Demand   []Demand `msgpack:"d,omitempty"`
}

// DispatchReply has one code per start. Gone is true if the addressed
// incarnation is not the one that answers; nothing was started then.
type DispatchReply struct {
	Gone   bool         `msgpack:"o,omitempty"`
	Codes  []RefuseCode `msgpack:"c,omitempty"`
	Grants []Grant      `msgpack:"g,omitempty"`
}

// FenceRequest voids credits and asks what became of them.
type FenceRequest struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	Starts  []FencedStart `msgpack:"c"`
}

// FencedStart is a dispatch whose reply was lost.
type FencedStart struct {
	Credit Credit  `msgpack:"c"`
	Task   TaskKey `msgpack:"t"`
}

// FenceReply has one element per start. Gone is true if the addressed
// incarnation is not the one that answers, so that nothing is known.
type FenceReply struct {
	Gone     bool          `msgpack:"g,omitempty"`
	Outcomes []LedgerEntry `msgpack:"o,omitempty"`
}

// LedgerEntry is what a sidecar knows of a task. State notRun means that the
// task has not started there and never will; running and the final states
// mean that it has started.
type LedgerEntry struct {
	Task   TaskKey          `msgpack:"t"`
	State  jobapi.TaskState `msgpack:"s"`
	Result *TaskResult      `msgpack:"r,omitempty"`
}

// FenceOwnerRequest forbids all further starts for dead entry incarnations.
type FenceOwnerRequest struct {
	Owners []ident.Process `msgpack:"o"`
}

// FenceOwnerReply names the incarnation that has fenced the owners.
type FenceOwnerReply struct {
	Sidecar ident.Process `msgpack:"s"`
	// Busy are those of the owners whose tasks still run here.
	Busy []ident.Process `msgpack:"b,omitempty"`
}

// LedgerRequest asks for the ledger entries of a submission.
type LedgerRequest struct {
	Submission string `msgpack:"s"`
}

// LedgerReply answers a LedgerRequest.
type LedgerReply struct {
	Sidecar ident.Process `msgpack:"p"`
	Fenced  bool          `msgpack:"f"`
	// Known is true if the owner has been attached to this incarnation;
	// FirstWindow is the owner's window at the first attach.
	Known       bool          `msgpack:"k"`
	FirstWindow uint64        `msgpack:"w"`
	Entries     []LedgerEntry `msgpack:"e,omitempty"`
	// JobTasks is the number of tasks of the job; zero if none has started here.
	JobTasks int `msgpack:"n,omitempty"`
}

// ForwardOp is an operation on a submission that another instance owns.
type ForwardOp uint8

// Forwarded operations.
const (
	ForwardSubmit ForwardOp = iota
	ForwardGet
	ForwardCancel
)

// ForwardRequest passes a caller's request to the owner of the submission.
type ForwardRequest struct {
	Op         ForwardOp          `msgpack:"o"`
	Submission string             `msgpack:"s"`
	Job        *jobapi.JobRequest `msgpack:"j,omitempty"`
	// Wait asks for the final answer.
	Wait bool `msgpack:"w,omitempty"`
}

// ForwardReply carries the owner's answer with its HTTP status.
type ForwardReply struct {
	Status int              `msgpack:"s"`
	Answer jobapi.JobAnswer `msgpack:"a"`
}

// SidecarRef is a sidecar as an entry instance tells it to its peers.
type SidecarRef struct {
	Peer Peer `msgpack:"p"`
	// Rack of the worker.
	Rack string `msgpack:"r"`
	// InForce is the sidecar's configuration revision when the list was made;
	// PeerBeat.SidecarsInForce is the current one of the whole list.
	InForce uint64 `msgpack:"f"`
}

// ShareTotal is the cumulative amount of a limit given to the receiver. Epoch
// identifies the division of the limit that the amount belongs to.
type ShareTotal struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	Given int64  `msgpack:"g"`
}

// ShareDemand asks for an amount of a limit.
type ShareDemand struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	Want  int64  `msgpack:"w"`
	// Firm is the part of Want that no other limit holds back; it entitles to
	// share that the receiver uses itself. Share is the sender's share.
	Firm  int64 `msgpack:"f,omitempty"`
	Share int64 `msgpack:"s,omitempty"`
}

// ShareFlow is what a live holder of a limit gave to and received from a dead one.
type ShareFlow struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	// Dead is the dead incarnation in text form.
	Dead     string `msgpack:"d"`
	Given    int64  `msgpack:"g,omitempty"`
	Received int64  `msgpack:"r,omitempty"`
}

// PeerBeat is the heartbeat between entry instances; request and reply have
// the same shape.
type PeerBeat struct {
	Entry     Peer      `msgpack:"e"`
	Window    uint64    `msgpack:"w"`
	Revisions Revisions `msgpack:"v"`
	// Sidecars is the list that SidecarsHash identifies; it is left out if the
	// HaveHash last heard from the receiver shows that it holds the same list.
	Sidecars     []SidecarRef `msgpack:"s,omitempty"`
	SidecarsHash uint64       `msgpack:"h"`
	// SidecarsInForce is the lowest configuration revision in force at the
	// listed sidecars, zero if there are none. The hash does not cover revisions,
	// so that a change of the configuration does not repeat the lists.
	SidecarsInForce uint64 `msgpack:"i,omitempty"`
	// HaveHash is the hash of the receiver's list that the sender holds.
	HaveHash uint64 `msgpack:"a,omitempty"`
	// Gone are sidecar incarnations that are gone.
	Gone []ident.Process `msgpack:"k,omitempty"`
	// Entries are the entry instances that the sender knows as live, itself
	// included, and EntriesHash identifies them; the list is left out if the
	// hash last heard from the receiver is the same.
	Entries     []Peer          `msgpack:"l,omitempty"`
	EntriesHash uint64          `msgpack:"n,omitempty"`
	Dead        []ident.Process `msgpack:"d,omitempty"`
	Given       []ShareTotal    `msgpack:"g,omitempty"`
	Want        []ShareDemand   `msgpack:"m,omitempty"`
	// Allocation is the sequence number of the limit allocation held.
	Allocation uint64 `msgpack:"o,omitempty"`
	// Limits is the configuration revision of that allocation.
	Limits uint64 `msgpack:"t,omitempty"`
	// Flows are the final flows with incarnations in Dead.
	Flows    []ShareFlow `msgpack:"f,omitempty"`
	Draining bool        `msgpack:"r,omitempty"`
}

// PullRequest asks for the configuration document if it is newer than Have.
type PullRequest struct {
	Have uint64 `msgpack:"h"`
}

// PullReply carries the document as JSON, empty if there is no newer one.
type PullReply struct {
	Revision uint64 `msgpack:"r"`
	Document []byte `msgpack:"d,omitempty"`
}

// PullAllocationReply carries the limit allocation as JSON.
type PullAllocationReply struct {
	Allocation []byte `msgpack:"a,omitempty"`
}

// DrainRequest asks a process to drain, or to accept work again.
type DrainRequest struct {
	Drain bool `msgpack:"d"`
}

// DrainReply acknowledges a DrainRequest.
type DrainReply struct{}

// WorkRequest asks an entry instance how its work fares.
type WorkRequest struct{}

// ClassWork is how the work of one class fares at one entry instance.
type ClassWork struct {
	Class     Class            `msgpack:"c"`
	Queued    int64            `msgpack:"q"`
	Running   int64            `msgpack:"r"`
	Completed int64            `msgpack:"d"`
	Failed    int64            `msgpack:"f"`
	Refused   map[string]int64 `msgpack:"x,omitempty"`
	// Buckets are the response times, see resource.BucketsMs; SumMs is their
	// sum and MaxMs the largest, in milliseconds.
	Buckets []int64 `msgpack:"b,omitempty"`
	SumMs   float64 `msgpack:"s,omitempty"`
	MaxMs   float64 `msgpack:"m,omitempty"`
}

// WorkReply answers a WorkRequest.
type WorkReply struct {
	Classes []ClassWork `msgpack:"c,omitempty"`
}
