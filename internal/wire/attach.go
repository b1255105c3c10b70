package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

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
