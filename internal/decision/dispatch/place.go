package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxDispatchStarts is the maximum number of starts in a Dispatch.
	// maxDispatchBytes is the maximum size of their payloads; a single larger
	// payload is dispatched alone.
	maxDispatchStarts = 256
	maxDispatchBytes  = 1 << 20
)

// Actions places waiting tasks, and returns and clears the queued actions. It
// combines the starts for a sidecar in one Dispatch unless they exceed the size
// limits.
func (m *Machine) Actions() []Action {
	m.place()
	m.queueDispatches()
	m.queueFences()
	m.sendDemand()
	if m.draining {
		m.returnIdleCredits()
	}
	actions := m.actions
	m.actions = nil
	return actions
}

// place starts waiting tasks on the credits of all dirty pools.
func (m *Machine) place() {
	if m.suspended || m.abandoned {
		return
	}
	for _, p := range m.dirtyPools {
		p.dirty = false
		m.placeAssigned(p)
		m.placePool(p)
	}
	m.dirtyPools = m.dirtyPools[:0]
}

// reservedCreditTimeout is the time for which a reserved credit waits for a task
// that may use it before it is returned.
const reservedCreditTimeout = 50 * time.Millisecond

// placeAssigned spends each assigned credit on the class that it was granted for.
// If that is not possible, any class may use the credit, unless it is reserved. A
// reserved credit is spent on a class below its share, or is returned if that is
// not possible within reservedCreditTimeout.
func (m *Machine) placeAssigned(p *pool) {
	remaining := p.assigned[:0]
	for _, a := range p.assigned {
		i := a.worker.findCredit(a.credit)
		if i < 0 || a.worker.pool != p {
			continue
		}
		if c := m.classes[a.class]; c != nil && c.pool == p && m.startAssigned(c, a, i) || !a.reserved || m.startReserved(p, a, i) {
			continue
		}
		if m.now-a.grantedAt < reservedCreditTimeout {
			remaining = append(remaining, a)
			continue
		}
		m.returnCredit(a.worker, i)
	}
	clear(p.assigned[len(remaining):])
	p.assigned = remaining
}

// startAssigned spends an assigned credit on the first task of a class and
// reports whether it could. credit is the index of the credit at the worker.
func (m *Machine) startAssigned(c *class, a assignedCredit, credit int) bool {
	w := a.worker
	if w.leaving || w.rank == health.RankProbe || w.rank == health.RankEjected || !a.reserved && w.pos < 0 ||
		c.queue.Waiting() == 0 || !m.canStart(c) {
		return false
	}
	t := c.queue.Head().Value
	if !fits(t.size, w.backend.Size) || t.failedToStartAt(w.process) {
		return false
	}
	m.start(c, w, credit)
	return true
}

// startReserved spends a reserved credit on the class with the highest rank among
// the classes below their share.
func (m *Machine) startReserved(p *pool, a assignedCredit, credit int) bool {
	var below *class
	p.queue.EachWaiting(func(q *fair.Class[*task]) {
		if p.queue.BelowShare(q) && (below == nil || q.Rank() > below.queue.Rank()) {
			below = q.Head().Value.job.class
		}
	})
	return below != nil && m.startAssigned(below, a, credit)
}

// returnCredit returns the credit at the given index to the sidecar.
func (m *Machine) returnCredit(w *worker, credit int) {
	number := w.credits[credit].number
	w.credits = append(w.credits[:credit], w.credits[credit+1:]...)
	m.refreshWorker(w)
	m.waste.ReturnedCredits++
	m.actions = append(m.actions, ReturnCredits{Sidecar: w.process, Credits: []wire.Credit{number}})
}

// placePool starts waiting tasks of a service in the order of fair queueing. It
// parks classes that can't start now, and unparks them at the end.
func (m *Machine) placePool(p *pool) {
	for len(p.ready) > 0 {
		p.queue.SetIdleCredits(p.idleCredits)
		q := p.queue.Pick()
		if q == nil {
			break
		}
		t := q.Head().Value
		c := t.job.class
		if !m.canStart(c) {
			m.classLimited = true
			p.queue.Park(q)
			continue
		}
		w := p.chooseWorker(t)
		if w == nil {
			p.queue.Park(q)
			continue
		}
		m.start(c, w, w.lastUnreserved())
	}
	p.queue.SetIdleCredits(p.idleCredits)
	p.queue.UnparkAll()
}

func (m *Machine) canStart(c *class) bool {
	return m.cfg.Limiter == nil || m.cfg.Limiter.CanStart(m.now, c.key)
}

// start spends the worker's credit at the given index on the first task of the
// class.
func (m *Machine) start(c *class, w *worker, credit int) {
	_, next := c.pool.queue.Take(c.queue)
	t := next.Value
	t.state, t.worker, t.dispatchedAt = dispatched, w, m.now
	t.credit = w.credits[credit].number
	t.probe = w.rank == health.RankProbe
	if t.probe {
		w.health.StartProbe()
	}
	t.pos = len(w.inflight)
	w.inflight = append(w.inflight, t)
	w.credits = append(w.credits[:credit], w.credits[credit+1:]...)
	m.useSeq++
	w.lastUse = m.useSeq
	m.refreshWorker(w)

	t.job.inFlight++
	c.counters.starts++
	c.retryBudget.RecordStart(m.now)
	m.addQueued(c, -1)
	if m.cfg.Limiter != nil {
		m.cfg.Limiter.Started(m.now, c.key)
	}
	if m.cfg.ObserveWait != nil {
		m.cfg.ObserveWait(c.key, m.now-t.job.submittedAt)
	}
	if len(w.batch) == 0 {
		m.batchedWorkers = append(m.batchedWorkers, w)
	}
	w.batch = append(w.batch, wire.Start{
		Credit: t.credit, Task: t.key(), Class: c.key, Payload: t.body,
		TimeLeftMs: max(1, int64((t.job.deadline-m.now)/time.Millisecond)),
		JobTasks:   len(t.job.tasks),
	})
}

// queueDispatches queues Dispatch actions for the batched starts.
func (m *Machine) queueDispatches() {
	for _, w := range m.batchedWorkers {
		from, size := 0, 0
		for i := range w.batch {
			size += len(w.batch[i].Payload)
			if i+1 < len(w.batch) && i+1-from < maxDispatchStarts && size+len(w.batch[i+1].Payload) <= maxDispatchBytes {
				continue
			}
			m.actions = append(m.actions, Dispatch{Sidecar: w.process, Starts: w.batch[from : i+1 : i+1]})
			from, size = i+1, 0
		}
		w.batch = nil
	}
	m.batchedWorkers = m.batchedWorkers[:0]
}
