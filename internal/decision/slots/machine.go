// Package slots is the state machine of a sidecar. It manages the slots of the backend
// server, the credits issued for them, the ledger of started tasks, and the fences
// against entry incarnations. A credit permits an entry instance to start one task in
// one slot; a fence makes the sidecar refuse all starts of an entry incarnation, that is
// one process of an entry instance. The package does no I/O and reads no clock. A
// Machine must be used by one goroutine at a time.
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
	DefaultCreditTTL         = 3 * time.Second
	DefaultJoinDelay         = 6 * time.Second
	DefaultRetention         = 16 * time.Minute
	DefaultMaxResultBytes    = 64 << 20
	DefaultClassIdleTimeout  = time.Second
	DefaultMinRecallInterval = 20 * time.Millisecond
)

const (
	// recallBackoffFactor is the factor by which the recall interval grows after a
	// recall that returned no credit. maxRecallInterval is the upper bound of the
	// interval.
	recallBackoffFactor = 4
	maxRecallInterval   = time.Second
)

// Config holds the settings of a Machine. Zero values select the defaults, except for
// Self and Zone.
type Config struct {
	// Self is the sidecar incarnation. Ledger includes it in its reply.
	Self ident.Process
	// Zone is the sidecar's availability zone.
	Zone string
	// CreditTTL is the time after which an unspent credit expires.
	CreditTTL time.Duration
	// JoinDelay is how long an entry instance must be attached before it gets credits
	// if it is the only one attached although other live ones are known; see
	// applyJoinRule.
	JoinDelay time.Duration
	// Retention is how long ledger entries are kept after the end of their tasks, and
	// how long fences and the first windows of detached owners are kept.
	Retention time.Duration
	// MaxResultBytes bounds the total size of the result bodies in the ledger.
	MaxResultBytes int64
	// ClassIdleTimeout is how long a class without demand and running tasks still
	// counts when shares are computed. It keeps the reserve in effect during short
	// gaps in the demand.
	ClassIdleTimeout time.Duration
	// MinRecallInterval is the shortest time between two recalls from one entry
	// instance. The interval grows while recalls return no credit.
	MinRecallInterval time.Duration
}

// entry is the state of an attached entry instance.
type entry struct {
	peer             wire.Peer
	submissionPrefix string // prefix of the submission IDs that it issues
	attachedAt       time.Duration
	// lastContact is the time of the attach, or of the last SetDemand, ReturnCredits
	// or Start.
	lastContact time.Duration
	joined      bool      // the join rule is satisfied; see applyJoinRule
	credits     []*credit // unspent credits, oldest first
	unsent      []*credit // credits not yet returned by TakeGrants
	sendQueued  bool      // a SendGrants is queued or not yet carried out
	demand      []demand
	// demandSeq is the number of the newest summary set by SetNumberedDemand.
	demandSeq      uint64
	recallPending  bool // the last recall is unanswered
	lastRecall     time.Duration
	recallInterval time.Duration // shortest time from the last recall to the next
	// tieBreaker is a random number that orders the entry instances of equal zone
	// rank, so that the sidecars of a fleet don't all prefer the same one.
	tieBreaker float64
}

// ownerRecord records an entry incarnation that has been attached.
type ownerRecord struct {
	firstWindow uint64        // submission window at the first attach
	lastSeen    time.Duration // time of the last attach or detach
}

// Machine holds the state of one sidecar incarnation.
type Machine struct {
	cfg         Config
	rnd         *rand.Rand
	slots       int
	reserve     int
	running     int
	liveEntries int // live entry instances, attached or not

	entries           map[ident.Process]*entry
	entryOrder        []*entry // sorted by zone rank and tie breaker
	credits           map[wire.Credit]*credit
	freeSlotNumbers   []uint64 // numbers that can be used again
	highestSlotNumber uint64   // highest number used so far
	lastCreditSeq     uint64
	voidedCredits     int
	// lastRebalance is the time at which rebalance last looked for an entry instance
	// to recall credits from.
	lastRebalance time.Duration

	// lastDemand is the time of the last summary with waiting tasks.
	lastDemand time.Duration

	classes     map[wire.Class]*class
	classList   []*class
	virtualTime float64

	ledger       ledger
	fencedAt     map[ident.Process]time.Duration
	ownerRecords map[ident.Process]*ownerRecord
	// runningByOwner holds the number of running tasks of each owner.
	runningByOwner map[ident.Process]int

	actions []Action
}

// New returns a machine without a backend server.
func New(cfg Config, rnd *rand.Rand) *Machine {
	setDefault(&cfg.CreditTTL, DefaultCreditTTL)
	setDefault(&cfg.JoinDelay, DefaultJoinDelay)
	setDefault(&cfg.Retention, DefaultRetention)
	setDefault(&cfg.MaxResultBytes, DefaultMaxResultBytes)
	setDefault(&cfg.ClassIdleTimeout, DefaultClassIdleTimeout)
	setDefault(&cfg.MinRecallInterval, DefaultMinRecallInterval)
	return &Machine{
		cfg: cfg, rnd: rnd, reserve: 1, liveEntries: 1, lastDemand: -cfg.ClassIdleTimeout - 1,
		entries:        map[ident.Process]*entry{},
		credits:        map[wire.Credit]*credit{},
		classes:        map[wire.Class]*class{},
		ledger:         newLedger(cfg.MaxResultBytes),
		fencedAt:       map[ident.Process]time.Duration{},
		ownerRecords:   map[ident.Process]*ownerRecord{},
		runningByOwner: map[ident.Process]int{},
	}
}

func setDefault[T comparable](v *T, defaultValue T) {
	var zero T
	if *v == zero {
		*v = defaultValue
	}
}

// SetBackend sets the backend server, or removes it if b is nil. It voids credits until
// running tasks and credits fit into the slots. Without a backend server, all credits
// are void and no start is accepted; running tasks continue.
func (m *Machine) SetBackend(now time.Duration, b *wire.Backend) {
	m.slots = 0
	if b != nil {
		m.slots = max(b.Slots, 0)
	}
	for i := len(m.entryOrder) - 1; i >= 0 && m.takenSlots() > m.slots; i-- {
		e := m.entryOrder[i]
		for len(e.credits) > 0 && m.takenSlots() > m.slots {
			m.voidCredit(now, e.credits[len(e.credits)-1])
		}
	}
	m.distribute(now)
}

// SetReserve sets the number of slots that classes above their share have to leave
// free; see chooseDemand.
func (m *Machine) SetReserve(slots int) { m.reserve = max(slots, 0) }

// Attach adds or updates an entry instance. liveEntries is the number of live entry
// instances that the sidecar knows of.
func (m *Machine) Attach(now time.Duration, peer wire.Peer, window uint64, liveEntries int) {
	m.liveEntries = max(liveEntries, 1)
	e := m.entries[peer.Process]
	if e == nil {
		e = &entry{peer: peer, submissionPrefix: peer.Process.String() + ".", attachedAt: now,
			lastContact: now, lastRecall: now - m.cfg.MinRecallInterval, recallInterval: m.cfg.MinRecallInterval, tieBreaker: m.rnd.Float64()}
		m.entries[peer.Process] = e
		m.entryOrder = append(m.entryOrder, e)
		m.sortEntries()
	}
	e.peer = peer
	if record := m.ownerRecords[peer.Process]; record != nil {
		record.lastSeen = now
	} else {
		m.ownerRecords[peer.Process] = &ownerRecord{firstWindow: window, lastSeen: now}
	}
	m.applyJoinRule(now)
	m.distribute(now)
}

// sortEntries sorts the entry instances so that those of the sidecar's availability zone
// come first.
func (m *Machine) sortEntries() {
	slices.SortStableFunc(m.entryOrder, func(a, b *entry) int {
		return cmp.Or(m.zoneRank(a)-m.zoneRank(b), cmp.Compare(a.tieBreaker, b.tieBreaker))
	})
}

func (m *Machine) zoneRank(e *entry) int {
	if e.peer.Zone == m.cfg.Zone {
		return 0
	}
	return 1
}

// applyJoinRule marks the entry instances that may get credits as joined. An entry
// instance joins at once if it is the only live one. Otherwise it joins once another one
// is attached too, or once JoinDelay has passed since its own attach. It stays joined
// when the other one fails.
func (m *Machine) applyJoinRule(now time.Duration) {
	enough := len(m.entryOrder) >= min(2, m.liveEntries)
	for _, e := range m.entryOrder {
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
	m.voidAllCredits(now, e)
	m.replaceDemand(now, e, nil)
	delete(m.entries, process)
	m.entryOrder = slices.DeleteFunc(m.entryOrder, func(other *entry) bool { return other == e })
	if record := m.ownerRecords[process]; record != nil {
		record.lastSeen = now
	}
	m.distribute(now)
}

// ReturnCredits voids credits that an entry instance returns, with or without a Recall.
func (m *Machine) ReturnCredits(now time.Duration, process ident.Process, credits []wire.Credit) {
	e := m.entries[process]
	if e == nil {
		return
	}
	e.lastContact = now
	if e.recallPending && len(credits) == 0 {
		e.recallInterval = min(e.recallInterval*recallBackoffFactor, maxRecallInterval)
	} else {
		e.recallInterval = m.cfg.MinRecallInterval
	}
	e.recallPending = false
	for _, id := range credits {
		if c := m.credits[id]; c != nil && c.entry == e {
			m.voidCredit(now, c)
		}
	}
	m.distribute(now)
}

// CreditCounts returns the number of unspent credits of an entry instance, the number
// of free slots, and the number of unspent credits that other entry instances hold.
func (m *Machine) CreditCounts(process ident.Process) (held, free, elsewhere int) {
	if e := m.entries[process]; e != nil {
		held = len(e.credits)
	}
	return held, m.freeSlots(), len(m.credits) - held
}

// UnsentGrants returns the number of grants that TakeGrants has not returned yet.
func (m *Machine) UnsentGrants(process ident.Process) int {
	if e := m.entries[process]; e != nil {
		return len(e.unsent)
	}
	return 0
}

// Running returns the number of running tasks.
func (m *Machine) Running() int { return m.running }

// HasRunningTasks reports whether any task of the owner is running.
func (m *Machine) HasRunningTasks(owner ident.Process) bool { return m.runningByOwner[owner] > 0 }

// Slots returns the number of slots of the backend server.
func (m *Machine) Slots() int { return m.slots }

// VoidedCredits returns the number of credits that have become void without an
// accepted start. It does not count credits that were replaced when they were renewed.
func (m *Machine) VoidedCredits() int { return m.voidedCredits }

// takenSlots returns the number of slots that a task or a credit takes.
func (m *Machine) takenSlots() int { return m.running + len(m.credits) }

// freeSlots returns the number of slots that neither a task nor a credit takes.
func (m *Machine) freeSlots() int { return max(m.slots-m.takenSlots(), 0) }

// Tick voids expired credits, renews aging ones, and removes old ledger entries, fences,
// owner records and idle classes. Then it grants the free slots.
func (m *Machine) Tick(now time.Duration) {
	m.applyJoinRule(now)
	for _, e := range m.entryOrder {
		m.renewCredits(now, e)
	}
	m.ledger.expire(now - m.cfg.Retention)
	for p, at := range m.fencedAt {
		if now-at > m.cfg.Retention && m.entries[p] == nil {
			delete(m.fencedAt, p)
		}
	}
	for p, record := range m.ownerRecords {
		if now-record.lastSeen > m.cfg.Retention && m.entries[p] == nil {
			delete(m.ownerRecords, p)
		}
	}
	m.removeIdleClasses(now)
	m.distribute(now)
	m.rebalance(now)
}
