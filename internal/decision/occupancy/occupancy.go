// Package occupancy is the state machine of a sidecar that runs tasks under
// leases: it guards the capacity of its worker exactly, queues runs in the
// order of their ranks until there is room, and knows of each run whether it
// may be at work. A Machine does no I/O and belongs to one goroutine; now is
// the monotonic time since process start.
//
// It answers for two promises: what may be at work never exceeds the worker's
// capacity, and a run is reported as ended only if it can't be at work any more.
package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Defaults of Config.
const (
	// DefaultStallAfter is the time without progress after which a run is stopped.
	DefaultStallAfter = 450 * time.Millisecond
	// DefaultStopEvery is the time between two stops of one run.
	DefaultStopEvery = 80 * time.Millisecond
)

// Config sets up a Machine. Zero values select the defaults above.
type Config struct {
	StallAfter time.Duration
	StopEvery  time.Duration
}

// Worker is one life of the worker.
type Worker struct {
	// ID and Born tell the lives of workers apart.
	ID   string
	Born int64
	// Capacity bounds the sum of all that may be at work.
	Capacity work.Resources
}

// phase is what is known of a run.
type phase uint8

// Phases of a run. All but queued hold room.
const (
	queued phase = iota
	// starting: the order is under way.
	starting
	// doubtful: the order was not answered; the run may start at any time.
	doubtful
	// running: the worker has it.
	running
	// stopping: a stop is ordered; it holds room until its end is known.
	stopping
)

// run is one run that is queued or may be at work.
type run struct {
	wire.RunRequest
	owner ident.Process
	phase phase
	// reported is true if the owner has been told of the end already, or is
	// gone; the room is still held.
	reported bool
	// as is the outcome to report when the end is known, unless the worker says
	// that the run is done.
	as     work.Outcome
	reason string

	// expires is the latest start of a queued run.
	expires time.Duration
	// started is when the order was sent, and confirmed when the worker
	// confirmed it.
	started   time.Duration
	confirmed time.Duration
	// calling is true until the order's call has ended.
	calling bool
	// percent is the highest progress seen, and moved when it rose.
	percent int
	moved   time.Duration
	// stopAt is when the next stop is due; stopAck when the worker has
	// confirmed one, zero if it has not.
	stopAt  time.Duration
	stopped bool
	stopAck time.Duration
	// absentAfter: a look asked for later than this and without the run proves
	// that the order had no effect so far.
	absentAfter time.Duration
	order       uint64
}

// Machine is the state machine of one sidecar.
type Machine struct {
	cfg    Config
	worker Worker
	open   bool
	// closed is true while the sidecar takes no new runs.
	closed bool
	// strangers are runs at the worker that this process has not ordered, with
	// the time of the next stop.
	strangers map[work.RunID]time.Duration
	looked    bool

	runs   map[work.RunID]*run
	byTask map[work.TaskID][]*run
	queue  runQueue
	used   work.Resources
	orders uint64
	out    []Action
	health health
	load   loadCounter
}

// Action is something that the runtime has to do.
type Action interface{ action() }

// Order starts a run at the worker. The runtime answers each Order with one
// call of Ordered.
type Order struct {
	Run     work.RunID
	Payload string
}

// Report tells the owner of a run how it has ended.
type Report struct {
	Owner ident.Process
	End   wire.RunEnd
}

func (Order) action() {}

func (Stop) action() {}

func (Report) action() {}

// New returns a Machine without a worker.
func New(cfg Config) *Machine {
	if cfg.StallAfter == 0 {
		cfg.StallAfter = DefaultStallAfter
	}
	if cfg.StopEvery == 0 {
		cfg.StopEvery = DefaultStopEvery
	}
	return &Machine{cfg: cfg, runs: map[work.RunID]*run{}, byTask: map[work.TaskID][]*run{}, strangers: map[work.RunID]time.Duration{}}
}

// Actions drains the queued actions.
func (m *Machine) Actions() []Action {
	out := m.out
	m.out = nil
	return out
}

// ordered returns the runs that hold room, in the order of their arrival.
func (m *Machine) ordered() []*run {
	var list []*run
	for _, r := range m.runs {
		if r.phase != queued {
			list = append(list, r)
		}
	}
	sortRuns(list)
	return list
}

func (m *Machine) runsInOrder() []*run {
	list := make([]*run, 0, len(m.runs))
	for _, r := range m.runs {
		list = append(list, r)
	}
	sortRuns(list)
	return list
}

// Running returns the number of runs that may be at work, strangers included.
func (m *Machine) Running() int { return len(m.runs) - m.queue.Len() + len(m.strangers) }

// Holds reports whether any run of an owner may be at work, also of one that is
// gone.
func (m *Machine) Holds(owner ident.Process) bool {
	for _, r := range m.runs {
		if r.owner == owner {
			return true
		}
	}
	return false
}

// Used returns the room that is held.
func (m *Machine) Used() work.Resources { return m.used }
