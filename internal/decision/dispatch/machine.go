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

// Machine is the dispatch state machine of an entry instance.
type Machine struct {
	cfg Config
	rnd *rand.Rand
	now time.Duration // of the latest call

	doc       *resource.Document
	window    uint64
	draining  bool
	suspended bool
	abandoned bool

	jobs      map[string]*job
	memory    memory
	deadlines indexedheap.Heap[*job] // the unanswered jobs
	// held is the capacity of tasks that may still be running somewhere.
	held      heldQueue
	classes   map[wire.Class]*class
	stats     []*class // all classes ever used, for counters
	unknown   counters // refusals of jobs without a class
	estimates *estimate.Estimator

	pools   map[string]*pool
	dirty   []*pool
	workers map[ident.Process]*worker
	batched []*worker
	ejected []*worker
	fencing []*worker
	tell    []*worker // may be told of demand
	uses    uint64
	limited bool // a class waits for its limits
	sweep   time.Duration

	demand      []wire.Demand
	demandAt    time.Duration
	demandStale bool

	out   []Action
	waste Waste
}

// New returns a Machine without a document and without workers. The random
// source belongs to the Machine from then on.
func New(cfg Config, rnd *rand.Rand) *Machine {
	cfg.fill()
	return &Machine{
		cfg:       cfg,
		rnd:       rnd,
		jobs:      map[string]*job{},
		memory:    newMemory(cfg.ResultBytes),
		classes:   map[wire.Class]*class{},
		estimates: estimate.New(),
		pools:     map[string]*pool{},
		workers:   map[ident.Process]*worker{},
	}
}

func (c *Config) fill() {
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
	if c.QueueTasks == 0 {
		c.QueueTasks = DefaultQueueTasks
	}
}

// SetDocument puts a validated configuration into force. Jobs that wait keep
// their class even if its kind or team is gone.
func (m *Machine) SetDocument(now time.Duration, doc *resource.Document) {
	m.now = now
	m.doc = doc
	for key, c := range m.classes {
		if !m.configure(c) {
			continue
		}
		if kind := doc.Kinds[key.Kind]; kind.Spec.Service != c.pool.service {
			delete(m.classes, key) // the next job creates it for the new service
		}
	}
	for _, p := range m.pools {
		p.fleet.SetEjectPercent(m.ejectPercent())
		m.touch(p)
	}
}

// SetWindow sets the current submission window, which never decreases, and
// forgets what has become too old.
func (m *Machine) SetWindow(now time.Duration, window uint64) {
	m.now = now
	if window <= m.window {
		return
	}
	m.window = window
	m.expire()
}

// Suspend stops or resumes dispatching. Jobs are still admitted and answered.
func (m *Machine) Suspend(now time.Duration, on bool) {
	m.now = now
	m.suspended = on
	m.demandStale = true
	m.touchAll()
}

// Drain makes the machine refuse new jobs and return credits that it has no
// work for.
func (m *Machine) Drain(on bool) { m.draining = on }

// Wake tries limited classes again after a share has grown.
func (m *Machine) Wake(now time.Duration) {
	m.now = now
	m.touchAll()
}

// Abandon answers all jobs with what is known: what was not dispatched has not
// run, what is in flight may have run. The Machine dispatches nothing more.
func (m *Machine) Abandon(now time.Duration) {
	m.now = now
	m.abandoned = true
	for len(m.deadlines) > 0 {
		j, why := m.deadlines[0], causeAbandoned
		if j.inFlight+j.done == 0 {
			why = causeStopped
		}
		m.end(j, why)
	}
}

// touch makes the next drain of the actions place the pool's waiting tasks.
func (m *Machine) touch(p *pool) {
	if !p.dirty {
		p.dirty = true
		m.dirty = append(m.dirty, p)
	}
}

func (m *Machine) touchAll() {
	for _, p := range m.pools {
		m.touch(p)
	}
}
