// Package cluster is what the experiments need of a running system: control
// over its processes and its store, callers, operators and backend servers.
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

// Options describe a cluster to start.
type Options struct {
	Deployment load.Deployment
	// Document is in the store from the start.
	Document *resource.Document
	Recorder *history.Recorder
}

// Factory starts a cluster and returns when every entry instance accepts jobs
// and has credits of every sidecar.
type Factory func(Options) (Cluster, error)

// Cluster is a running system. Processes are numbered from zero within their
// role; sidecar i and backend server i belong to worker i. All methods may be
// called at any time, also concurrently.
type Cluster interface {
	// Start starts a process that was stopped or killed, as a new incarnation
	// at the same addresses.
	Start(r Role, i int) error
	// Stop shuts a process down gracefully and returns when it has ended. A
	// backend server announces that it leaves first.
	Stop(r Role, i int) error
	// Kill ends a process at once and resets its connections.
	Kill(r Role, i int) error
	// Pause stops a process's core loop and its network traffic in both
	// directions; connections stay open. Resume ends that.
	Pause(r Role, i int) error
	Resume(r Role, i int) error
	// Cut holds back the traffic between two entry instances; connections stay
	// open. Join ends that.
	Cut(i, j int)
	Join(i, j int)
	// CallerAddress is the "ip:port" of an entry instance's caller port
	// through the client delay. It stays the same over restarts.
	CallerAddress(i int) string
	// OperatorAddress is the "ip:port" of an entry instance's operator port.
	OperatorAddress(i int) string
	// Backend returns the backend server of worker i.
	Backend(i int) *BackendServer
	// Processes lists the live entry instances and sidecars.
	Processes() []Process
	// SetStore sets the store's faults, replacing the earlier ones.
	SetStore(f StoreFault)
	// SaveStore keeps the store's present state; restore goes back to it.
	SaveStore() (restore func())
	// StoreCalls returns the calls of the store so far.
	StoreCalls() StoreCalls
	// Counters returns the totals over all processes since the start,
	// including those that have ended.
	Counters() Counters
	// Close ends everything.
	Close() error
}

// CoreRater is implemented by a cluster that can measure an entry instance's
// own cost.
type CoreRater interface {
	// StartsPerCore returns the task starts per second and core of one entry
	// instance with batched jobs, against sidecars that answer at once.
	StartsPerCore(d time.Duration) (float64, error)
}

// Process is a live process.
type Process struct {
	Role  Role
	Index int
	// Incarnation identifies this run of the process.
	Incarnation string
	// Revision is the configuration revision in force, zero if none.
	Revision uint64
}

// StoreFault is a state of the store. The zero value is a healthy one.
type StoreFault struct {
	// Down makes every call fail without effect.
	Down bool
	// Slow delays every call.
	Slow time.Duration
	// LoseAnswers drops this share of the answers after the write took effect.
	LoseAnswers float64
}

// StoreCalls counts calls of the store, failed ones included.
type StoreCalls struct {
	// Reads include each start of a watch.
	Reads, Writes int
	// Watches is the number of watches pending now.
	Watches int
}

// Counters count messages as design section 5 defines them.
type Counters struct {
	Starts  int64
	Wasted  int64
	Control int64
	// Waste divides Wasted by cause.
	Waste dispatch.Waste
}

// Plus returns the sum of two counts.
func (a Counters) Plus(b Counters) Counters { return a.combine(b, 1) }

// Minus returns the difference of two counts.
func (a Counters) Minus(b Counters) Counters { return a.combine(b, -1) }

func (a Counters) combine(b Counters, sign int64) Counters {
	v, w := a.Waste, b.Waste
	return Counters{
		Starts: a.Starts + sign*b.Starts, Wasted: a.Wasted + sign*b.Wasted, Control: a.Control + sign*b.Control,
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
