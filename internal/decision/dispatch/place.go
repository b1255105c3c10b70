package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxBatch is the number of starts, and maxBatchBytes the bytes of their
	// payloads, after which a Dispatch is split.
	maxBatch      = 256
	maxBatchBytes = 1 << 20
)

// Actions places waiting tasks and drains the queued actions, with at most one
// Dispatch per sidecar unless it grew too large.
func (m *Machine) Actions() []Action {
	m.place()
	m.flush()
	m.fence()
	m.tellDemand()
	if m.draining {
		m.returnIdle()
	}
	out := m.out
	m.out = nil
	return out
}

// place starts waiting tasks on the credits of all pools that have changed.
func (m *Machine) place() {
	if m.suspended || m.abandoned {
		return
	}
	for _, p := range m.dirty {
		p.dirty = false
		m.placeBound(p)
		m.placePool(p)
	}
	m.dirty = m.dirty[:0]
}

// reserveHold is how long an unused credit of the reserve waits for work of a
// class below its share before it is given back.
const reserveHold = 50 * time.Millisecond

// placeBound spends the credits that were granted for a class on that class.
// One that can't be is a credit like any other, unless it belongs to the
// reserve: that one waits for other classes below their share.
func (m *Machine) placeBound(p *pool) {
	keep := p.bound[:0]
	for _, b := range p.bound {
		i := b.worker.find(b.credit)
		if i < 0 || b.worker.pool != p {
			continue
		}
		if c := m.classes[b.class]; c != nil && c.pool == p && m.startBound(c, b, i) || !b.reserved || m.startReserved(p, b, i) {
			continue
		}
		if m.now-b.at < reserveHold {
			keep = append(keep, b)
			continue
		}
		m.giveBack(b.worker, i)
	}
	clear(p.bound[len(keep):])
	p.bound = keep
}

// startBound spends a bound credit on the first task of a class.
func (m *Machine) startBound(c *class, b boundCredit, credit int) bool {
	w := b.worker
	if w.leaving || w.rank == health.RankProbe || w.rank == health.RankEjected || !b.reserved && w.pos < 0 ||
		c.queue.Waiting() == 0 || !m.canStart(c) {
		return false
	}
	t := c.queue.Head().Value
	if !fits(t.size, w.backend.Size) || t.avoids(w.proc) {
		return false
	}
	m.start(c, w, credit)
	return true
}

// startReserved spends a credit of the reserve on a class below its share.
func (m *Machine) startReserved(p *pool, b boundCredit, credit int) bool {
	var below *class
	p.queue.EachWaiting(func(q *fair.Class[*task]) {
		if p.queue.BelowShare(q) && (below == nil || q.Rank() > below.queue.Rank()) {
			below = q.Head().Value.job.class
		}
	})
	return below != nil && m.startBound(below, b, credit)
}

// giveBack returns one credit to its sidecar.
func (m *Machine) giveBack(w *worker, credit int) {
	number := w.credits[credit].number
	w.credits = append(w.credits[:credit], w.credits[credit+1:]...)
	m.refresh(w)
	m.waste.ReturnedCredits++
	m.out = append(m.out, ReturnCredits{Sidecar: w.proc, Credits: []wire.Credit{number}})
}

func (m *Machine) placePool(p *pool) {
	for len(p.ready) > 0 {
		p.queue.SetIdleCredits(p.idle)
		q := p.queue.Pick()
		if q == nil {
			break
		}
		t := q.Head().Value
		c := t.job.class
		if !m.canStart(c) {
			m.limited = true
			p.queue.Park(q)
			continue
		}
		w := p.choose(t)
		if w == nil {
			p.queue.Park(q)
			continue
		}
		m.start(c, w, w.lastFree())
	}
	p.queue.SetIdleCredits(p.idle)
	p.queue.UnparkAll()
}

func (m *Machine) canStart(c *class) bool {
	return m.cfg.Limiter == nil || m.cfg.Limiter.CanStart(m.now, c.key)
}

// start spends a credit of the worker on the class's first task.
func (m *Machine) start(c *class, w *worker, credit int) {
	_, next := c.pool.queue.Take(c.queue)
	t := next.Value
	t.state, t.worker, t.sent = dispatched, w, m.now
	t.credit = w.credits[credit].number
	t.probe = w.rank == health.RankProbe
	if t.probe {
		w.health.StartProbe()
	}
	t.pos = len(w.inflight)
	w.inflight = append(w.inflight, t)
	w.credits = append(w.credits[:credit], w.credits[credit+1:]...)
	m.uses++
	w.used = m.uses
	m.refresh(w)

	t.job.inFlight++
	c.count.starts++
	c.budget.RecordStart(m.now)
	m.queued(c, -1)
	if m.cfg.Limiter != nil {
		m.cfg.Limiter.Started(m.now, c.key)
	}
	if m.cfg.Waited != nil {
		m.cfg.Waited(c.key, m.now-t.job.at)
	}
	if len(w.batch) == 0 {
		m.batched = append(m.batched, w)
	}
	w.batch = append(w.batch, wire.Start{
		Credit: t.credit, Task: t.key(), Class: c.key, Payload: t.body,
		TimeLeftMs: max(1, int64((t.job.deadline-m.now)/time.Millisecond)),
		JobTasks:   len(t.job.tasks),
	})
}

// flush queues a Dispatch per worker with new starts.
func (m *Machine) flush() {
	for _, w := range m.batched {
		from, size := 0, 0
		for i := range w.batch {
			size += len(w.batch[i].Payload)
			if i+1 < len(w.batch) && i+1-from < maxBatch && size+len(w.batch[i+1].Payload) <= maxBatchBytes {
				continue
			}
			m.out = append(m.out, Dispatch{Sidecar: w.proc, Starts: w.batch[from : i+1 : i+1]})
			from, size = i+1, 0
		}
		w.batch = nil
	}
	m.batched = m.batched[:0]
}
