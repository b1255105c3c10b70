// Package cluster defines how the experiments control and observe a running
// system, and implements the callers, operators and backend servers that use it.
package cluster

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// Role is the role of a process.
type Role string

// Roles.
const (
	Entry   Role = "entry"
	Sidecar Role = "sidecar"
	Backend Role = "backend"
)

// Options describes a cluster to start.
type Options struct {
	Deployment load.Deployment
	// Document is the configuration that the store holds at the start.
	Document *resource.Document
	Recorder *history.Recorder
}

// Factory starts a cluster. It returns when every entry instance accepts jobs, is
// connected to all sidecars and all other entry instances, and holds credits.
type Factory func(Options) (Cluster, error)

// Cluster is a running system. The processes of each role are numbered from zero;
// sidecar i and backend server i belong to worker i. All methods may be called at
// any time, also concurrently.
type Cluster interface {
	// Start starts a process that was stopped or killed, as a new incarnation
	// at the same addresses.
	Start(r Role, i int) error
	// Stop shuts a process down gracefully and returns when it has ended. For a
	// backend server, Stop only announces that the server leaves; the server is
	// closed later.
	Stop(r Role, i int) error
	// Kill ends a process at once and resets its connections.
	Kill(r Role, i int) error
	// Pause stops the core loop of a process and its network traffic in both
	// directions. Its connections stay open. A backend server can't be paused.
	Pause(r Role, i int) error
	// Resume ends a pause.
	Resume(r Role, i int) error
	// Partition holds back the traffic between two entry instances. Their
	// connections stay open.
	Partition(i, j int)
	// HealPartition ends a partition.
	HealPartition(i, j int)
	// CallerAddress returns the "ip:port" at which callers reach an entry instance
	// with the client delay. It stays the same when the instance restarts.
	CallerAddress(i int) string
	// OperatorAddress returns the "ip:port" of an entry instance's operator port.
	OperatorAddress(i int) string
	// Backend returns the backend server of worker i.
	Backend(i int) *BackendServer
	// Processes returns the live entry instances and sidecars.
	Processes() []Process
	// SetStoreFault replaces the fault of the store.
	SetStoreFault(f StoreFault)
	// SnapshotStore copies the content of the store; restore writes that copy back.
	SnapshotStore() (restore func())
	// StoreCalls returns the number of calls of the store so far.
	StoreCalls() StoreCalls
	// Counters returns the totals over all processes since the start of the
	// cluster, including the processes that have ended.
	Counters() Counters
	// Close ends all processes and the store.
	Close() error
}

// CoreRateMeter is implemented by a cluster that can measure the task starts of an
// entry instance per second of its processor time.
type CoreRateMeter interface {
	// StartsPerCore measures for the duration d and returns the task starts per
	// second and core of one entry instance. Each job has the maximum number of
	// tasks, and the backend servers end each task at once.
	StartsPerCore(d time.Duration) (float64, error)
}

// Process is a live process.
type Process struct {
	Role  Role
	Index int
	// Incarnation identifies the process between one start and its end.
	Incarnation string
	// Revision is the configuration revision in force, zero if none.
	Revision uint64
}

// StoreFault is an injected fault of the store. The zero value is a healthy store.
type StoreFault struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LostAnswerShare is the share of the compare-and-swap calls whose answers are
	// dropped. A call takes effect, or fails, before its answer is dropped.
	LostAnswerShare float64
}

// StoreCalls counts the calls of the store, including the failed ones.
type StoreCalls struct {
	// Reads includes each start of a watch.
	Reads, Writes int
	// Watches is the number of watches that are pending now.
	Watches int
}

// Counters counts task starts and messages as design section 5 defines them.
type Counters struct {
	Starts          int64
	WastedMessages  int64
	ControlMessages int64
	// Waste holds the wasted messages by cause. Its ExpiredCredits are not part of
	// WastedMessages, because an expired credit costs no message.
	Waste dispatch.Waste
}

// Plus returns the sum of two Counters.
func (a Counters) Plus(b Counters) Counters { return a.combine(b, 1) }

// Minus returns the difference of two Counters.
func (a Counters) Minus(b Counters) Counters { return a.combine(b, -1) }

// combine returns a plus sign times b.
func (a Counters) combine(b Counters, sign int64) Counters {
	v, w := a.Waste, b.Waste
	return Counters{
		Starts:          a.Starts + sign*b.Starts,
		WastedMessages:  a.WastedMessages + sign*b.WastedMessages,
		ControlMessages: a.ControlMessages + sign*b.ControlMessages,
		Waste: dispatch.Waste{
			RefusedStarts:   v.RefusedStarts + sign*w.RefusedStarts,
			EmptyRecalls:    v.EmptyRecalls + sign*w.EmptyRecalls,
			ReturnedCredits: v.ReturnedCredits + sign*w.ReturnedCredits,
			DemandMessages:  v.DemandMessages + sign*w.DemandMessages,
			Fences:          v.Fences + sign*w.Fences,
			Duplicates:      v.Duplicates + sign*w.Duplicates,
			ExpiredCredits:  v.ExpiredCredits + sign*w.ExpiredCredits,
		},
	}
}
