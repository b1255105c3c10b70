package dispatch

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Machine is the scheduling state machine of an entry instance.
type Machine struct {
	cfg Config
	rnd *rand.Rand
	now time.Duration // time of the latest call

	doc       *resource.Document
	window    uint64
	draining  bool
	suspended bool
	abandoned bool

	jobs      map[string]*job
	history   history
	deadlines indexedheap.Heap[*job] // unanswered jobs
	// payloadBytes is the size of the payloads of all unanswered jobs.
	payloadBytes int64
	// heldCapacity is the limit capacity of tasks whose outcome is unknown and
	// that may still be running.
	heldCapacity heldCapacityHeap
	classes      map[wire.Class]*class
	allClasses   []*class // all classes ever used, in order of first use
	unknownClass counters // refusals of jobs of unknown teams or kinds
	estimates    *estimate.Estimator

	pools            map[string]*pool
	dirtyPools       []*pool // to be placed by the next call of place
	workers          map[ident.Process]*worker
	batchedWorkers   []*worker // with starts in their batch
	awaitingProbe    []*worker // ejected; refreshed by Tick when their probe is due
	fencingWorkers   []*worker // with tasks in state fencing
	demandCandidates []*worker // may get a demand message; see worker.slotsAvailable
	useSeq           uint64    // last sequence number of worker.lastUse
	classLimited     bool      // a task was not started because of a limit
	nextCreditExpiry time.Duration

	demand      []wire.Demand
	demandAt    time.Duration
	demandStale bool

	actions []Action
	waste   Waste
}

// New returns a Machine without a document and without workers. The Machine
// takes ownership of the random source.
func New(cfg Config, rnd *rand.Rand) *Machine {
	cfg.setDefaults()
	return &Machine{
		cfg:       cfg,
		rnd:       rnd,
		jobs:      map[string]*job{},
		history:   newHistory(cfg.ResultBytes),
		classes:   map[wire.Class]*class{},
		estimates: estimate.New(),
		pools:     map[string]*pool{},
		workers:   map[ident.Process]*worker{},
	}
}

func (c *Config) setDefaults() {
	if c.AcceptWindows == 0 {
		c.AcceptWindows = DefaultAcceptWindows
	}
	if c.RetainWindows == 0 {
		c.RetainWindows = DefaultRetainWindows
	}
	if c.CreditTTL == 0 {
		c.CreditTTL = DefaultCreditTTL
	}
	if c.ResultBytes == 0 {
		c.ResultBytes = DefaultResultBytes
	}
	if c.PayloadBytes == 0 {
		c.PayloadBytes = DefaultPayloadBytes
	}
	if c.QueueTasks == 0 {
		c.QueueTasks = DefaultQueueTasks
	}
}

// SetDocument puts a validated configuration into force. Waiting jobs keep their
// class even if the configuration no longer has its kind or team.
func (m *Machine) SetDocument(now time.Duration, doc *resource.Document) {
	m.now = now
	m.doc = doc
	for key, c := range m.classes {
		if !m.configure(c) {
			continue
		}
		if kind := doc.Kinds[key.Kind]; kind.Spec.Service != c.pool.service {
			delete(m.classes, key) // the next job creates the class for the new service
		}
	}
	for _, p := range m.pools {
		p.fleet.SetEjectPercent(m.ejectPercent())
		m.markDirty(p)
	}
}

// SetWindow sets the current submission window and forgets submissions of
// windows that have become too old. It ignores a window that is not newer than
// the current one.
func (m *Machine) SetWindow(now time.Duration, window uint64) {
	m.now = now
	if window <= m.window {
		return
	}
	m.window = window
	m.forgetOldWindows()
}

// SetSuspended stops or resumes dispatching. Jobs are still admitted and
// answered while dispatching is stopped.
func (m *Machine) SetSuspended(now time.Duration, suspended bool) {
	m.now = now
	m.suspended = suspended
	m.demandStale = true
	m.markAllDirty()
}

// SetDraining starts or stops draining. While it drains, the Machine refuses new
// jobs and returns the credits of services without waiting tasks.
func (m *Machine) SetDraining(draining bool) { m.draining = draining }

// RetryLimited makes the next call of Actions try again to start tasks of classes
// that were limited. Call it after a share of a limit has grown.
func (m *Machine) RetryLimited(now time.Duration) {
	m.now = now
	m.markAllDirty()
}

// Abandon answers all unanswered jobs immediately. Tasks that were not dispatched
// have not run; tasks in flight may have run. The Machine dispatches no tasks
// after the call.
func (m *Machine) Abandon(now time.Duration) {
	m.now = now
	m.abandoned = true
	for len(m.deadlines) > 0 {
		j, cause := m.deadlines[0], causeAbandoned
		if j.inFlight+j.ended == 0 {
			cause = causeStopped
		}
		m.endJob(j, cause)
	}
}

// markDirty makes the next call of place try to start the pool's waiting tasks.
func (m *Machine) markDirty(p *pool) {
	if !p.dirty {
		p.dirty = true
		m.dirtyPools = append(m.dirtyPools, p)
	}
}

func (m *Machine) markAllDirty() {
	for _, p := range m.pools {
		m.markDirty(p)
	}
}
