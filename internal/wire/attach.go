package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// AttachRequest attaches a sidecar to an entry instance. The sidecar sends it at
// its start, after it has lost contact, when the list of entry instances has
// changed, and when its backend server has announced itself or changed its data.
type AttachRequest struct {
	Sidecar Peer `msgpack:"s"`
	// Backend is nil while no backend server has announced itself.
	Backend   *Backend  `msgpack:"b,omitempty"`
	Revisions Revisions `msgpack:"v"`
	// Entries are the live entry instances that the sidecar knows of.
	Entries []Peer `msgpack:"e,omitempty"`
}

// AttachReply is the reply to an AttachRequest.
type AttachReply struct {
	Entry Peer `msgpack:"e"`
	// Window is the entry instance's current submission window.
	Window    uint64    `msgpack:"w"`
	Revisions Revisions `msgpack:"v"`
	// Entries are the entry instances that the replying one considers live,
	// itself included.
	Entries []Peer `msgpack:"l"`
	// EntriesHash is the hash of Entries, as in HeartbeatReply.
	EntriesHash uint64 `msgpack:"h"`
	// DeadEntries are the entry incarnations that have been declared dead.
	DeadEntries []ident.Process `msgpack:"d,omitempty"`
	// Draining is true while the entry instance accepts no new jobs.
	Draining bool `msgpack:"g,omitempty"`
}

// HeartbeatRequest is the heartbeat of a sidecar to an entry instance. An entry
// instance to which the sidecar incarnation is not attached sets Unattached in
// its reply.
type HeartbeatRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	// Entry is the entry incarnation that the sidecar attached to.
	Entry ident.Process `msgpack:"t"`
	// AckedSeq is the highest Seq of the replies that the sidecar has received.
	AckedSeq uint64 `msgpack:"a"`
	// Grants are the credits issued since the last message with grants; earlier
	// grants remain valid.
	Grants []Grant `msgpack:"g,omitempty"`
	// HeldCredits is the number of unspent credits of the entry instance, by the
	// sidecar's count, including Grants.
	HeldCredits int `msgpack:"h"`
	// FreeSlots is the number of slots that neither a task nor a credit takes.
	// CreditsElsewhere is the number of unspent credits that other entry
	// instances hold.
	FreeSlots        int       `msgpack:"f"`
	CreditsElsewhere int       `msgpack:"o,omitempty"`
	Revisions        Revisions `msgpack:"v"`
	// Leaving is true while the sidecar has no backend server or can't connect to
	// it, while either of them drains, and while the sidecar detaches from this
	// entry instance: no start is to be sent.
	Leaving bool `msgpack:"l,omitempty"`
	// Fenced is true if the sidecar has fenced the entry incarnation.
	Fenced bool `msgpack:"x,omitempty"`
}

// HeartbeatReply is the reply to a HeartbeatRequest.
type HeartbeatReply struct {
	// Unattached is true if the sidecar has to attach again.
	Unattached bool `msgpack:"u,omitempty"`
	// Seq numbers the replies to one sidecar incarnation.
	Seq    uint64   `msgpack:"q"`
	Window uint64   `msgpack:"w"`
	Demand []Demand `msgpack:"d,omitempty"`
	// DemandSeq numbers the summaries that an entry instance has built. A reply may
	// arrive after another message with a newer summary.
	DemandSeq uint64    `msgpack:"n,omitempty"`
	Revisions Revisions `msgpack:"v"`
	// EntriesHash is the hash of the list of live entry instances. A sidecar
	// whose list has another hash attaches again to read the current list.
	EntriesHash uint64 `msgpack:"e"`
	Draining    bool   `msgpack:"g,omitempty"`
}
