package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TaskResult is the result of a task that the sidecar accepted.
type TaskResult struct {
	Task TaskKey `msgpack:"t"`
	// Credit is the credit that the task was started with. It distinguishes a
	// late result from the result of a later start of the same task.
	Credit Credit `msgpack:"c"`
	// State is completed, failed, mayHaveRun, or notRun. The sidecar reports
	// notRun only if the backend server provably did not start the task.
	State jobapi.TaskState `msgpack:"s"`
	Body  []byte           `msgpack:"b,omitempty"`
	Error string           `msgpack:"e,omitempty"`
	RunMs int64            `msgpack:"r"`
}

// ResultsRequest reports the results of tasks to their owner and grants it new
// credits.
type ResultsRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	Entry   ident.Process `msgpack:"t"`
	Results []TaskResult  `msgpack:"r"`
	Grants  []Grant       `msgpack:"g,omitempty"`
}

// ResultsReply acknowledges all results of the request. The sidecar sends
// results again until the owner acknowledges them.
type ResultsReply struct {
	Demand []Demand `msgpack:"d,omitempty"`
	// DemandSeq is as in HeartbeatReply.
	DemandSeq uint64 `msgpack:"n,omitempty"`
}

// RecallRequest asks an entry instance to return up to Count idle credits. An
// entry instance with waiting tasks may keep them.
type RecallRequest struct {
	Sidecar ident.Process `msgpack:"s"`
	Entry   ident.Process `msgpack:"t"`
	Count   int           `msgpack:"c"`
}

// RecallReply lists the credits that the entry instance returns.
type RecallReply struct {
	Returned []Credit `msgpack:"r,omitempty"`
	Demand   []Demand `msgpack:"d,omitempty"`
	// DemandSeq is as in HeartbeatReply.
	DemandSeq uint64 `msgpack:"n,omitempty"`
}

// DispatchRequest asks a sidecar to start tasks. A request without Starts only
// returns credits and reports the demand.
type DispatchRequest struct {
	Entry ident.Process `msgpack:"e"`
	// Sidecar is the incarnation that issued the credits.
	Sidecar ident.Process `msgpack:"s"`
	Starts  []Start       `msgpack:"t,omitempty"`
	// Returned are unspent credits that the entry instance returns.
	Returned []Credit `msgpack:"r,omitempty"`
	Demand   []Demand `msgpack:"d,omitempty"`
	// DemandSeq is as in HeartbeatReply.
	DemandSeq uint64 `msgpack:"n,omitempty"`
}

// DispatchReply is the reply to a DispatchRequest.
type DispatchReply struct {
	// WrongIncarnation is true if the replying sidecar is not the incarnation
	// that the request names. It has started nothing then.
	WrongIncarnation bool `msgpack:"o,omitempty"`
	// Codes has one element per start, in the order of the request.
	Codes  []StartCode `msgpack:"c,omitempty"`
	Grants []Grant     `msgpack:"g,omitempty"`
}

// FenceRequest voids the credits of starts and asks whether the sidecar has
// started their tasks.
type FenceRequest struct {
	Entry   ident.Process `msgpack:"e"`
	Sidecar ident.Process `msgpack:"s"`
	Starts  []FencedStart `msgpack:"c"`
}

// FencedStart is a start whose outcome the entry instance does not know, for
// example because the reply to the dispatch was lost.
type FencedStart struct {
	Credit Credit  `msgpack:"c"`
	Task   TaskKey `msgpack:"t"`
}

// FenceReply is the reply to a FenceRequest.
type FenceReply struct {
	// WrongIncarnation is true if the replying sidecar is not the incarnation
	// that the request names. It knows nothing of the starts then.
	WrongIncarnation bool `msgpack:"g,omitempty"`
	// Outcomes has one element per start, in the order of the request.
	Outcomes []LedgerEntry `msgpack:"o,omitempty"`
}

// LedgerEntry is the state of a task in a sidecar's ledger. State notRun occurs
// only in a FenceReply. It means that the ledger has no record of the task, so the
// fenced start has not run the task and never will. Any other state means that the
// sidecar has started the task.
type LedgerEntry struct {
	Task   TaskKey          `msgpack:"t"`
	State  jobapi.TaskState `msgpack:"s"`
	Result *TaskResult      `msgpack:"r,omitempty"`
}

// FenceOwnerRequest makes a sidecar refuse all further starts of dead entry
// incarnations.
type FenceOwnerRequest struct {
	Owners []ident.Process `msgpack:"o"`
}

// FenceOwnerReply is the reply to a FenceOwnerRequest.
type FenceOwnerReply struct {
	// Sidecar is the incarnation that has fenced the owners.
	Sidecar ident.Process `msgpack:"s"`
	// StillRunning are the owners with tasks that still run at the sidecar.
	StillRunning []ident.Process `msgpack:"b,omitempty"`
}

// LedgerRequest asks a sidecar for the ledger entries of a submission.
type LedgerRequest struct {
	Submission string `msgpack:"s"`
}

// LedgerReply is the reply to a LedgerRequest.
type LedgerReply struct {
	Sidecar     ident.Process `msgpack:"p"`
	OwnerFenced bool          `msgpack:"f"`
	// OwnerKnown is true if this sidecar incarnation has been attached to the
	// owner; OwnerFirstWindow is the owner's window at the first attach.
	OwnerKnown       bool          `msgpack:"k"`
	OwnerFirstWindow uint64        `msgpack:"w"`
	Entries          []LedgerEntry `msgpack:"e,omitempty"`
	// JobTasks is the number of tasks of the job; zero if the ledger has none of
	// them.
	JobTasks int `msgpack:"n,omitempty"`
}
