// Package placement is the state machine of an entry instance for jobs whose
// tasks run under leases: it admits or refuses whole jobs, chooses a worker for
// each task, starts tasks again after a known end, and answers jobs. A Machine
// does no I/O and belongs to one goroutine; now is the monotonic time since
// process start and never decreases.
//
// Its load is the overload by one queue: long, least urgent tasks that would
// hold the room for which urgent ones arrive. Whole jobs are refused at once
// when their last task could not start in time.
package placement

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Defaults of Config.
const (
	// DefaultSilence is the time without a heartbeat after which a worker gets
	// no more work and its sidecar has stopped what it runs for this owner.
	DefaultSilence = 900 * time.Millisecond
	// DefaultLapse is the time after the last heartbeat after which nothing runs
	// for this owner at the worker, whatever became of its sidecar.
	DefaultLapse = 2 * time.Second
)

// Config sets up a Machine. Zero values select the defaults above.
type Config struct {
	Zone string
	// Silence and Lapse bound what a worker may still run after its last heartbeat.
	Silence, Lapse time.Duration
}

// Action is something that the runtime has to do.
type Action interface{ action() }

// Send hands starts and stops to a sidecar. Sequence tells whether a load
// summary includes them.
type Send struct {
	Sidecar  ident.Process
	Session  uint64
	Sequence uint64
	Runs     []wire.RunRequest
	Stops    []work.RunID
}

// Answered is the final answer to an admitted job, once per job.
type Answered struct {
	ID     string
	Answer work.Answer
	Facts  Facts
}

// Facts are what an answer was decided on, for logs.
type Facts struct {
	Queue  string
	Tasks  int
	Ended  int
	Starts int
	// Returns counts the runs that found no room at once.
	Returns int
	Elapsed time.Duration
	// LastOutcome and LastReason are of the newest end other than done.
	LastOutcome work.Outcome
	LastReason  string
	LastWorker  string
}

func (Send) action() {}

func (Answered) action() {}

// Machine is the placement state machine of one entry instance.
type Machine struct {
	cfg     Config
	rnd     *rand.Rand
	workers map[ident.Process]*worker
	pools   map[string]*pool
	jobs    map[string]*job
	// learned calibrates the declared run times of each queue.
	learned map[string]*estimate.Calibration
	// deadlines are the unanswered jobs.
	deadlines indexedheap.Heap[*job]
	waiting   []*job // with tasks that found no worker
	batched   []*worker
	sequence  uint64 // of the newest batch to any sidecar
	out       []Action
	draining  bool
}

// New returns a Machine without workers. The random source belongs to the
// Machine from then on.
func New(cfg Config, rnd *rand.Rand) *Machine {
	if cfg.Silence == 0 {
		cfg.Silence = DefaultSilence
	}
	if cfg.Lapse == 0 {
		cfg.Lapse = DefaultLapse
	}
	return &Machine{cfg: cfg, rnd: rnd, workers: map[ident.Process]*worker{}, pools: map[string]*pool{}, jobs: map[string]*job{}, learned: map[string]*estimate.Calibration{}}
}

// pool holds the workers of a service.
type pool struct {
	workers []*worker
	// largest bounds the capacities of the workers ever heard of.
	largest work.Resources
}

// Actions drains the queued actions, with at most one Send per sidecar.
func (m *Machine) Actions() []Action {
	for _, w := range m.batched {
		m.sequence++
		m.out = append(m.out, Send{Sidecar: w.info.Sidecar.Process, Session: w.session, Sequence: m.sequence, Runs: w.runs, Stops: w.stops})
		for i := range w.runs {
			w.pending = append(w.pending, reserved{m.sequence, w.runs[i].Need, w.runs[i].Rank, w.runs[i].EstimateMs})
		}
		w.runs, w.stops = nil, nil
	}
	m.batched = m.batched[:0]
	out := m.out
	m.out = nil
	return out
}

// Drain makes the machine refuse new jobs.
func (m *Machine) Drain() { m.draining = true }

// Jobs returns the number of jobs without an answer.
func (m *Machine) Jobs() int { return len(m.deadlines) }
