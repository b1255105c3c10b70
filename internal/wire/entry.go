package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// ForwardRequest forwards a caller's request to the owner of the submission.
type ForwardRequest struct {
	Op         ForwardOp          `msgpack:"o"`
	Submission string             `msgpack:"s"`
	Job        *jobapi.JobRequest `msgpack:"j,omitempty"`
	// Wait is true if the owner is to reply only when the job has ended.
	Wait bool `msgpack:"w,omitempty"`
}

// ForwardReply holds the owner's answer and its HTTP status.
type ForwardReply struct {
	Status int              `msgpack:"s"`
	Answer jobapi.JobAnswer `msgpack:"a"`
}

// SidecarRef is an attached sidecar in an entry instance's heartbeat to its
// peers.
type SidecarRef struct {
	Peer Peer `msgpack:"p"`
	// Rack is the rack of the worker.
	Rack string `msgpack:"r"`
	// InForce is the configuration revision that the sidecar used when the list
	// was built. The list is not sent again when only revisions change, so
	// InForce may be outdated. Each heartbeat contains the current
	// LowestSidecarRevision.
	InForce uint64 `msgpack:"f"`
}

// ShareTotal is the cumulative amount of a limit that the sender has given to
// the receiver. Epoch identifies the division of the limit that the amount
// belongs to.
type ShareTotal struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	Given int64  `msgpack:"g"`
}

// ShareDemand asks the receiver for a part of its share of a limit.
type ShareDemand struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	Want  int64  `msgpack:"w"`
	// Firm is the part of Want that the sender could use at once, because no
	// other limit blocks it. For this part the receiver may also transfer idle
	// share that its own waiting tasks need, and reserve share that is in use.
	// Share is the sender's own share.
	Firm  int64 `msgpack:"f,omitempty"`
	Share int64 `msgpack:"s,omitempty"`
}

// ShareFlow holds the amounts of a limit that a live holder has given to a dead
// one and received from it.
type ShareFlow struct {
	Limit string `msgpack:"l"`
	Epoch uint64 `msgpack:"e"`
	// Dead is the text form of the dead incarnation.
	Dead     string `msgpack:"d"`
	Given    int64  `msgpack:"g,omitempty"`
	Received int64  `msgpack:"r,omitempty"`
}

// PeerHeartbeat is the heartbeat between entry instances. It is the type of the
// request and of the reply.
type PeerHeartbeat struct {
	Entry     Peer      `msgpack:"e"`
	Window    uint64    `msgpack:"w"`
	Revisions Revisions `msgpack:"v"`
	// Sidecars are the sidecars attached to the sender, and SidecarsHash is the
	// hash of the list. The sender omits the list if the receiver's last
	// HaveSidecarsHash equals SidecarsHash.
	Sidecars     []SidecarRef `msgpack:"s,omitempty"`
	SidecarsHash uint64       `msgpack:"h"`
	// LowestSidecarRevision is the lowest configuration revision that any of the
	// listed sidecars uses, zero if the list is empty. SidecarsHash does not cover
	// revisions, so that a configuration change does not resend the lists.
	LowestSidecarRevision uint64 `msgpack:"i,omitempty"`
	// HaveSidecarsHash is the hash of the receiver's Sidecars that the sender
	// holds.
	HaveSidecarsHash uint64 `msgpack:"a,omitempty"`
	// GoneSidecars are the sidecar incarnations that have ended, and
	// GoneSidecarAgesMs the times since each was found to have ended, in
	// milliseconds.
	GoneSidecars      []ident.Process `msgpack:"k,omitempty"`
	GoneSidecarAgesMs []int64         `msgpack:"j,omitempty"`
	// Entries are the entry instances that the sender considers live, itself
	// included, and EntriesHash is the hash of the list. The sender omits the
	// list if the receiver's last HaveEntriesHash equals EntriesHash.
	Entries     []Peer `msgpack:"l,omitempty"`
	EntriesHash uint64 `msgpack:"n,omitempty"`
	// HaveEntriesHash is the hash of the receiver's Entries that the sender holds.
	HaveEntriesHash uint64          `msgpack:"y,omitempty"`
	DeadEntries     []ident.Process `msgpack:"d,omitempty"`
	ShareTotals     []ShareTotal    `msgpack:"g,omitempty"`
	ShareDemands    []ShareDemand   `msgpack:"m,omitempty"`
	// AllocationSeq is the sequence number of the limit allocation that the sender
	// holds, and AllocationRevision the configuration revision whose limits it
	// allocates.
	AllocationSeq      uint64 `msgpack:"o,omitempty"`
	AllocationRevision uint64 `msgpack:"t,omitempty"`
	// FinalFlows are the final transfers of share with the incarnations in
	// DeadEntries.
	FinalFlows []ShareFlow `msgpack:"f,omitempty"`
	Draining   bool        `msgpack:"r,omitempty"`
}

// PullRequest is the request of PullConfig and PullAllocation. PullConfig returns
// the configuration document if its revision is higher than HaveRevision.
// PullAllocation returns the limit allocation and ignores HaveRevision.
type PullRequest struct {
	HaveRevision uint64 `msgpack:"h"`
}

// PullConfigReply holds the configuration document as JSON, empty if the
// receiver has no newer one.
type PullConfigReply struct {
	Revision uint64 `msgpack:"r"`
	Document []byte `msgpack:"d,omitempty"`
}

// PullAllocationReply holds the limit allocation as JSON, empty if the receiver
// has none.
type PullAllocationReply struct {
	Allocation []byte `msgpack:"a,omitempty"`
}

// WorkRequest asks an entry instance for its counters, response times and limit
// shares.
type WorkRequest struct{}

// ClassWork holds the counters and response times of one class at one entry
// instance. Queued and Running are the current numbers of tasks. Completed, Failed
// and Refused count jobs, Refused by reason.
type ClassWork struct {
	Class     Class            `msgpack:"c"`
	Queued    int64            `msgpack:"q"`
	Running   int64            `msgpack:"r"`
	Completed int64            `msgpack:"d"`
	Failed    int64            `msgpack:"f"`
	Refused   map[string]int64 `msgpack:"x,omitempty"`
	// ResponseBuckets is the histogram of the jobs' response times with the bounds
	// resource.BucketBoundsMs. ResponseSumMs is their sum and ResponseMaxMs the largest
	// of them, in milliseconds.
	ResponseBuckets []int64 `msgpack:"b,omitempty"`
	ResponseSumMs   float64 `msgpack:"s,omitempty"`
	ResponseMaxMs   float64 `msgpack:"m,omitempty"`
}

// ShareState is the share of a limit that one entry incarnation holds.
type ShareState struct {
	Limit   string `msgpack:"l"`
	Process string `msgpack:"p"`
	Share   int64  `msgpack:"s"`
	Used    int64  `msgpack:"u"`
	Want    int64  `msgpack:"w,omitempty"`
}

// WorkReply is the reply to a WorkRequest.
type WorkReply struct {
	Classes []ClassWork `msgpack:"c,omitempty"`
	// Shares omits limits of which share, use and demand are all zero.
	Shares []ShareState `msgpack:"s,omitempty"`
}
