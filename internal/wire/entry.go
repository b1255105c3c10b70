package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
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
	// Gone are sidecar incarnations that are gone, and GoneMs the times since
	// they were found gone, in milliseconds.
	Gone   []ident.Process `msgpack:"k,omitempty"`
	GoneMs []int64         `msgpack:"j,omitempty"`
	// Entries are the entry instances that the sender knows as live, itself
	// included, and EntriesHash identifies them; the list is left out if the
	// HaveEntries last heard from the receiver shows that it holds the same list.
	Entries     []Peer `msgpack:"l,omitempty"`
	EntriesHash uint64 `msgpack:"n,omitempty"`
	// HaveEntries is the hash of the receiver's Entries that the sender holds.
	HaveEntries uint64          `msgpack:"y,omitempty"`
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

// ShareState is the share of one entry incarnation in a limit.
type ShareState struct {
	Limit   string `msgpack:"l"`
	Process string `msgpack:"p"`
	Share   int64  `msgpack:"s"`
	Used    int64  `msgpack:"u"`
	Want    int64  `msgpack:"w,omitempty"`
}

// WorkReply answers a WorkRequest.
type WorkReply struct {
	Classes []ClassWork `msgpack:"c,omitempty"`
	// Shares are those with a share, a use or a demand other than zero.
	Shares []ShareState `msgpack:"s,omitempty"`
}
