// Package slots is the state machine of a sidecar: the slots of its backend
// server, the credits issued for them, the start ledger, and fences. It does
// no I/O and reads no clock; a Machine belongs to one goroutine.
package slots

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Defaults of Config.
const (
	DefaultCreditTTL   = 3 * time.Second
	DefaultJoinDelay   = 6 * time.Second
	DefaultRetain      = 16 * time.Minute
	DefaultResultBytes = 64 << 20
	DefaultClassMemory = time.Second
	DefaultRecallEvery = 20 * time.Millisecond
)

const (
	// recallGrowth is the growth of the time between recalls that return
	// nothing, and maxRecallWait its bound.
	recallGrowth  = 4
	maxRecallWait = time.Second
)

// Config tunes a Machine. Zero values select the defaults.
type Config struct {
	// Self is the sidecar incarnation, reported by Ledger.
	Self ident.Process
	// Zone is the sidecar's availability zone.
	Zone string
	// CreditTTL is the life of a credit.
	CreditTTL time.Duration
	// JoinDelay is the time for which a sidecar has to be attached to an entry
	// instance before it grants credits while too few others know it.
	JoinDelay time.Duration
	// Retain is how long ledger entries are kept after their end, and fences.
	Retain time.Duration
	// ResultBytes bounds the result bodies kept in the ledger.
	ResultBytes int64
	// ClassMemory is how long a class without demand and running tasks still
	// counts in the shares, so that the reserve outlives short gaps.
	ClassMemory time.Duration
	// RecallEvery is the shortest time between two recalls from one entry
	// instance; it grows while recalls return nothing.
	RecallEvery time.Duration
}

type entry struct {
	peer       wire.Peer
	prefix     string // of the submission IDs that the entry issues
	attachedAt time.Duration
	heard      time.Duration // last sign of life
	joined     bool          // the join delay rule is satisfied
	credits    []*credit     // valid ones, oldest first
	unsent     []*credit
	sendQueued bool
	demand     []demand
	recalling  bool
	recallAt   time.Duration
	recallWait time.Duration // to the next recall
	// tie orders entry instances of equal rank, so that the sidecars of a
	// fleet don't all prefer the same one.
	tie float64
}

type firstWindow struct {
	window uint64
	seen   time.Duration
}

// Machine holds the state of one sidecar incarnation.
type Machine struct {
	cfg     Config
	rnd     *rand.Rand
	slots   int
	reserve int
	running int
	listed  int

	entries map[ident.Process]*entry
	order   []*entry
	credits map[wire.Credit]*credit
	labels  []uint64 // free slot numbers
	label   uint64   // slot numbers in use or free
	seq     uint64
	voided  int
	// balancedAt is the time of the last recall to even out idle credits.
	balancedAt time.Duration

	// wantedAt is the time of the last summary with waiting tasks.
	wantedAt time.Duration

	classes map[wire.Class]*class
	list    []*class
	virtual float64

	ledger ledger
	fenced map[ident.Process]time.Duration
	first  map[ident.Process]*firstWindow
	// owners counts the running tasks of each owner.
	owners map[ident.Process]int

	actions []Action
}

// New returns a machine without a backend server.
func New(cfg Config, rnd *rand.Rand) *Machine {
	setDefault(&cfg.CreditTTL, DefaultCreditTTL)
	setDefault(&cfg.JoinDelay, DefaultJoinDelay)
	setDefault(&cfg.Retain, DefaultRetain)
	setDefault(&cfg.ResultBytes, DefaultResultBytes)
	setDefault(&cfg.ClassMemory, DefaultClassMemory)
	setDefault(&cfg.RecallEvery, DefaultRecallEvery)
	return &Machine{
		cfg: cfg, rnd: rnd, reserve: 1, listed: 1, wantedAt: -cfg.ClassMemory - 1,
		entries: map[ident.Process]*entry{},
		credits: map[wire.Credit]*credit{},
		classes: map[wire.Class]*class{},
		ledger:  newLedger(cfg.ResultBytes),
		fenced:  map[ident.Process]time.Duration{},
		first:   map[ident.Process]*firstWindow{},
		owners:  map[ident.Process]int{},
	}
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// SetBackend sets the backend server. With nil, all credits become void and
// no start is accepted; running tasks continue.
func (m *Machine) SetBackend(now time.Duration, b *wire.Backend) {
	m.slots = 0
	if b != nil {
		m.slots = max(b.Slots, 0)
	}
	for i := len(m.order) - 1; i >= 0 && m.busy() > m.slots; i-- {
		e := m.order[i]
		for len(e.credits) > 0 && m.busy() > m.slots {
			m.void(now, e.credits[len(e.credits)-1])
		}
	}
	m.distribute(now)
}

// SetReserve sets the slots that classes above their share leave free.
func (m *Machine) SetReserve(slots int) { m.reserve = max(slots, 0) }

// Attach adds an entry instance, or updates it. Listed is the number of live
// entry instances known.
func (m *Machine) Attach(now time.Duration, peer wire.Peer, window uint64, listed int) {
	m.listed = max(listed, 1)
	e := m.entries[peer.Process]
	if e == nil {
		e = &entry{peer: peer, prefix: peer.Process.String() + ".", attachedAt: now,
			heard: now, recallAt: now - m.cfg.RecallEvery, recallWait: m.cfg.RecallEvery, tie: m.rnd.Float64()}
		m.entries[peer.Process] = e
		m.order = append(m.order, e)
		m.sortEntries()
	}
	e.peer = peer
	if f := m.first[peer.Process]; f != nil {
		f.seen = now
	} else {
		m.first[peer.Process] = &firstWindow{window: window, seen: now}
	}
	m.join(now)
	m.distribute(now)
}

// sortEntries puts the entry instances of the own zone first.
func (m *Machine) sortEntries() {
	slices.SortStableFunc(m.order, func(a, b *entry) int {
		return cmp.Or(m.zoneRank(a)-m.zoneRank(b), cmp.Compare(a.tie, b.tie))
	})
}

func (m *Machine) zoneRank(e *entry) int {
	if e.peer.Zone == m.cfg.Zone {
		return 0
	}
	return 1
}

// join applies the join delay rule: an entry instance gets credits once at
// least one other one knows the sidecar too. It stays joined when the other
// one fails.
func (m *Machine) join(now time.Duration) {
	enough := len(m.order) >= min(2, m.listed)
	for _, e := range m.order {
		if enough || now-e.attachedAt >= m.cfg.JoinDelay {
			e.joined = true
		}
	}
}

// Detach removes an entry instance. Its credits become void.
func (m *Machine) Detach(now time.Duration, process ident.Process) {
	e := m.entries[process]
	if e == nil {
		return
	}
	m.voidAll(now, e)
	m.setDemand(now, e, nil)
	delete(m.entries, process)
	m.order = slices.DeleteFunc(m.order, func(o *entry) bool { return o == e })
	if f := m.first[process]; f != nil {
		f.seen = now
	}
	m.distribute(now)
}

// Returned takes back credits, as the end of a Recall or unasked.
func (m *Machine) Returned(now time.Duration, process ident.Process, credits []wire.Credit) {
	e := m.entries[process]
	if e == nil {
		return
	}
	e.heard = now
	if e.recalling && len(credits) == 0 {
		e.recallWait = min(e.recallWait*recallGrowth, maxRecallWait)
	} else {
		e.recallWait = m.cfg.RecallEvery
	}
	e.recalling = false
	for _, id := range credits {
		if c := m.credits[id]; c != nil && c.entry == e {
			m.void(now, c)
		}
	}
	m.distribute(now)
}

// Load returns the unspent credits of an entry instance, the free slots, and
// the credits that other entry instances hold.
func (m *Machine) Load(process ident.Process) (held, free, foreign int) {
	if e := m.entries[process]; e != nil {
		held = len(e.credits)
	}
	return held, m.free(), len(m.credits) - held
}

// Unsent returns the number of grants that wait to be sent.
func (m *Machine) Unsent(process ident.Process) int {
	if e := m.entries[process]; e != nil {
		return len(e.unsent)
	}
	return 0
}

// Running returns the number of running tasks.
func (m *Machine) Running() int { return m.running }

// LedgerSize returns the number of started tasks in the ledger.
func (m *Machine) LedgerSize() int { return len(m.ledger.tasks) }

// Owns reports whether a task of the owner is running.
func (m *Machine) Owns(owner ident.Process) bool { return m.owners[owner] > 0 }

// Slots returns the number of slots of the backend server.
func (m *Machine) Slots() int { return m.slots }

// Voided returns how many credits became void without a start so far.
func (m *Machine) Voided() int { return m.voided }

func (m *Machine) busy() int { return m.running + len(m.credits) }

func (m *Machine) free() int { return max(m.slots-m.busy(), 0) }

// Tick expires credits, issues new ones for those that grow old, and drops
// old ledger entries and fences.
func (m *Machine) Tick(now time.Duration) {
	m.join(now)
	for _, e := range m.order {
		m.renew(now, e)
	}
	m.ledger.expire(now - m.cfg.Retain)
	for p, at := range m.fenced {
		if now-at > m.cfg.Retain && m.entries[p] == nil {
			delete(m.fenced, p)
		}
	}
	for p, f := range m.first {
		if now-f.seen > m.cfg.Retain && m.entries[p] == nil {
			delete(m.first, p)
		}
	}
	m.forgetClasses(now)
	m.distribute(now)
	m.rebalance(now)
}
