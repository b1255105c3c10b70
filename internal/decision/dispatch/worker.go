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
	proc    ident.Process
	zone    bool // in the entry instance's zone
	backend *wire.Backend
	pool    *pool // nil without a backend
	health  *health.Worker
	leaving bool
	gone    bool

	credits []credit // the newest last
	usable  int      // credits counted in pool.idle
	pos     int      // in pool.ready, -1 if not there
	rank    health.Rank
	used    uint64 // number of the last use, 0 if never
	tie     uint32

	inflight []*task
	batch    []wire.Start

	fenced   []*task // tasks whose outcome is asked for
	fenceAt  time.Duration
	fenceGap time.Duration

	foreign bool          // last load showed idle or foreign credits
	told    bool          // of demand since the last load
	granted bool          // since told
	toldAt  time.Duration // of the last demand message
}

// credit is an unspent credit.
type credit struct {
	number wire.Credit
	at     time.Duration
	// reserved credits are for classes below their share only.
	reserved bool
}

// free returns the number of credits that any class may use.
func (w *worker) free() int {
	n := 0
	for _, c := range w.credits {
		if !c.reserved {
			n++
		}
	}
	return n
}

// lastFree returns the position of the newest credit that any class may use.
func (w *worker) lastFree() int {
	for i := len(w.credits) - 1; i >= 0; i-- {
		if !w.credits[i].reserved {
			return i
		}
	}
	return -1
}

// Position implements indexedheap.Element.
func (w *worker) Position() *int { return &w.pos }

// Before orders workers for the next task.
func (w *worker) Before(o *worker) bool {
	switch {
	case w.rank != o.rank:
		return w.rank < o.rank
	case w.zone != o.zone:
		return w.zone
	case w.used != o.used:
		return w.used < o.used
	}
	return w.tie < o.tie
}

// name returns the name of the worker for callers.
func (w *worker) name() string {
	if w.backend != nil {
		return w.backend.Name
	}
	return w.proc.Instance
}

// Attach adds a sidecar incarnation or updates its backend server.
func (m *Machine) Attach(now time.Duration, a Worker) {
	m.now = now
	w := m.workers[a.Sidecar.Process]
	if w == nil {
		w = &worker{proc: a.Sidecar.Process, pos: indexedheap.NotInHeap, toldAt: now - tellGap}
		m.workers[w.proc] = w
	}
	w.zone = a.Sidecar.Zone == m.cfg.Zone
	w.tie = m.rnd.Uint32()
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
	m.refresh(w)
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
	m.refresh(w)
	for i, o := range p.workers {
		if o == w {
			p.workers = append(p.workers[:i], p.workers[i+1:]...)
			break
		}
	}
	p.suspects = slices.DeleteFunc(slices.Clone(p.suspects), func(o *worker) bool { return o == w })
	p.slots -= w.backend.Slots
	p.gone[w.backend.Size] = m.now
	w.health.Leave()
	w.pool, w.health = nil, nil
}

// refresh recomputes a worker's rank and place among the ready workers after
// any change to its credits, health or backend server.
func (m *Machine) refresh(w *worker) {
	p := w.pool
	if p == nil {
		return
	}
	w.rank = w.health.Rank(m.now)
	usable := w.free()
	if w.leaving || w.rank == health.RankEjected {
		usable = 0
	}
	if w.rank == health.RankProbe {
		usable = min(usable, 1)
	}
	if w.health != nil && w.health.Suspect() {
		usable = max(min(usable, 1-len(w.inflight)), 0)
	}
	if usable > w.usable {
		m.touch(p)
	}
	p.idle += usable - w.usable
	w.usable = usable
	switch {
	case usable > 0 && w.pos < 0:
		p.ready.Add(w)
	case usable > 0:
		p.ready.Fix(w)
	case w.pos >= 0:
		p.ready.Remove(w)
	}
}

// Detach removes a sidecar incarnation that is gone: its tasks may have run.
// Tasks whose dispatch has no reply yet are decided by that reply.
func (m *Machine) Detach(now time.Duration, sidecar ident.Process) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	delete(m.workers, sidecar)
	w.gone = true
	if w.pool != nil {
		m.leavePool(w)
	}
	lost := 0
	for _, t := range append([]*task(nil), w.inflight...) {
		// An ended job releases its other tasks, too.
		if t.state == running || t.state == fencing {
			lost++
			m.lose(t)
		}
	}
	w.fenced = nil
	if lost > 0 {
		m.notice(TasksLost{Sidecar: sidecar, Tasks: lost})
	}
}

// SetLeaving says whether the sidecar takes no new work.
func (m *Machine) SetLeaving(now time.Duration, sidecar ident.Process, leaving bool) {
	m.now = now
	if w := m.workers[sidecar]; w != nil && w.leaving != leaving {
		m.setLeaving(w, leaving)
	}
}

// setLeaving drops the credits of a leaving worker: they are recalled.
func (m *Machine) setLeaving(w *worker, leaving bool) {
	w.leaving = leaving
	w.credits = nil
	m.refresh(w)
}

func (m *Machine) notice(e Event) { m.out = append(m.out, Notice{Event: e}) }
