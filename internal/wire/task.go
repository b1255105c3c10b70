package wire

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

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
