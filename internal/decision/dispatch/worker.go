package dispatch

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// worker is an attached sidecar incarnation with its backend server.
type worker struct {
	process  ident.Process
	sameZone bool // in the entry instance's zone
	backend  *wire.Backend
	pool     *pool // nil without a backend server
	health   *health.Worker
	leaving  bool
	detached bool

	credits       []credit // the newest last
	usableCredits int      // credits counted in pool.idleCredits
	pos           int      // in pool.ready, -1 if not in it
	rank          health.Rank
	lastUse       uint64 // sequence number of the last start, 0 if none
	tieBreaker    uint32

	inflight []*task
	batch    []wire.Start

	fencingTasks  []*task // tasks whose outcome the sidecar is asked for
	nextFenceAt   time.Duration
	fenceInterval time.Duration

	// slotsAvailable is true if the last load showed free slots or unspent credits
	// of other entry instances, and sendDemand has queued no message since then.
	slotsAvailable     bool
	demandSent         bool          // a demand message was queued since the last load
	grantedSinceDemand bool          // credits were granted since the last demand message
	demandSentAt       time.Duration // time of the last demand message
}

// credit is an unspent credit.
type credit struct {
	number    wire.Credit
	grantedAt time.Duration
	// reserved is true if only the class that the credit was granted for and
	// classes below their share may use the credit.
	reserved bool
}

// unreserved returns the number of credits that any class may use.
func (w *worker) unreserved() int {
	n := 0
	for _, c := range w.credits {
		if !c.reserved {
			n++
		}
	}
	return n
}

// lastUnreserved returns the index of the newest credit that any class may use,
// or -1 if there is none.
func (w *worker) lastUnreserved() int {
	for i := len(w.credits) - 1; i >= 0; i-- {
		if !w.credits[i].reserved {
			return i
		}
	}
	return -1
}

// Position implements indexedheap.Element.
func (w *worker) Position() *int { return &w.pos }

// Before implements indexedheap.Element. The first worker gets the next task:
// workers are ordered by health rank, then workers in the entry instance's zone
// come first, then the least recently used ones; a random number breaks ties.
func (w *worker) Before(o *worker) bool {
	switch {
	case w.rank != o.rank:
		return w.rank < o.rank
	case w.sameZone != o.sameZone:
		return w.sameZone
	case w.lastUse != o.lastUse:
		return w.lastUse < o.lastUse
	}
	return w.tieBreaker < o.tieBreaker
}

// name returns the name of the worker in answers to callers.
func (w *worker) name() string {
	if w.backend != nil {
		return w.backend.Name
	}
	return w.process.Instance
}

// Attach adds a sidecar incarnation, or updates its zone and backend server.
func (m *Machine) Attach(now time.Duration, a Worker) {
	m.now = now
	w := m.workers[a.Sidecar.Process]
	if w == nil {
		w = &worker{process: a.Sidecar.Process, pos: indexedheap.NotInHeap, demandSentAt: now - demandMessageInterval}
		m.workers[w.process] = w
	}
	w.sameZone = a.Sidecar.Zone == m.cfg.Zone
	w.tieBreaker = m.rnd.Uint32()
	if w.pool != nil && (a.Backend == nil || a.Backend.Service != w.pool.service) {
		m.leavePool(w)
	}
	switch {
	case a.Backend == nil:
	case w.pool == nil:
		w.backend = a.Backend
		m.joinPool(w)
	default:
		w.pool.slots += a.Backend.Slots - w.backend.Slots
		w.backend = a.Backend
	}
	m.refreshWorker(w)
}

func (m *Machine) joinPool(w *worker) {
	w.pool = m.pool(w.backend.Service)
	w.pool.workers = append(w.pool.workers, w)
	w.pool.slots += w.backend.Slots
	w.health = w.pool.fleet.Join()
}

func (m *Machine) leavePool(w *worker) {
	p := w.pool
	w.credits = nil
	m.refreshWorker(w)
	for i, o := range p.workers {
		if o == w {
			p.workers = append(p.workers[:i], p.workers[i+1:]...)
			break
		}
	}
	p.suspects = slices.DeleteFunc(slices.Clone(p.suspects), func(o *worker) bool { return o == w })
	p.slots -= w.backend.Slots
	p.departedSizes[w.backend.Size] = m.now
	w.health.Leave()
	w.pool, w.health = nil, nil
}

// refreshWorker recomputes the rank, the usable credits and the position in the
// ready heap of a worker. It must be called after any change to the worker's
// credits, health or backend server.
func (m *Machine) refreshWorker(w *worker) {
	p := w.pool
	if p == nil {
		return
	}
	w.rank = w.health.Rank(m.now)
	usable := w.unreserved()
	if w.leaving || w.rank == health.RankEjected {
		usable = 0
	}
	if w.rank == health.RankProbe {
		usable = min(usable, 1)
	}
	if w.health != nil && w.health.Suspect() {
		usable = max(min(usable, 1-len(w.inflight)), 0)
	}
	if usable > w.usableCredits {
		m.markDirty(p)
	}
	p.idleCredits += usable - w.usableCredits
	w.usableCredits = usable
	switch {
	case usable > 0 && w.pos < 0:
		p.ready.Add(w)
	case usable > 0:
		p.ready.Fix(w)
	case w.pos >= 0:
		p.ready.Remove(w)
	}
}

// Detach removes a sidecar incarnation that has ended. Its running and fencing
// tasks may have run. The outcome of a task whose dispatch has no reply yet is
// decided by DispatchReply or DispatchFailed.
func (m *Machine) Detach(now time.Duration, sidecar ident.Process) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	delete(m.workers, sidecar)
	w.detached = true
	if w.pool != nil {
		m.leavePool(w)
	}
	lost := 0
	// The loop uses a copy, because endUnknown removes the task from w.inflight.
	for _, t := range append([]*task(nil), w.inflight...) {
		if t.state == running || t.state == fencing {
			lost++
			m.endUnknown(t)
		}
	}
	w.fencingTasks = nil
	if lost > 0 {
		m.notice(TasksLost{Sidecar: sidecar, Tasks: lost})
	}
}

// SetLeaving sets whether the sidecar is leaving. A leaving sidecar gets no new
// tasks.
func (m *Machine) SetLeaving(now time.Duration, sidecar ident.Process, leaving bool) {
	m.now = now
	if w := m.workers[sidecar]; w != nil && w.leaving != leaving {
		m.changeLeaving(w, leaving)
	}
}

// changeLeaving sets leaving and drops the worker's credits, because a leaving
// sidecar voids them.
func (m *Machine) changeLeaving(w *worker, leaving bool) {
	w.leaving = leaving
	w.credits = nil
	m.refreshWorker(w)
}

func (m *Machine) notice(e Event) { m.actions = append(m.actions, Notice{Event: e}) }
