package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// sweepGap is the time between two searches for old credits.
const sweepGap = 50 * time.Millisecond

// Grant adds credits. Those of an unknown sidecar incarnation are ignored.
func (m *Machine) Grant(now time.Duration, sidecar ident.Process, grants []wire.Grant) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil || w.pool == nil || w.leaving || len(grants) == 0 {
		return
	}
	w.granted = true
	for _, g := range grants {
		if w.find(g.Credit) >= 0 {
			continue
		}
		w.void(g.Credit.Slot())
		w.credits = append(w.credits, credit{number: g.Credit, at: now, reserved: g.Reserved})
		if g.Class != (wire.Class{}) || g.Reserved {
			w.pool.bound = append(w.pool.bound, boundCredit{worker: w, credit: g.Credit, class: g.Class, reserved: g.Reserved, at: now})
			m.touch(w.pool)
		}
	}
	m.refresh(w)
}

// find returns the position of a credit, -1 if the worker has none such.
func (w *worker) find(number wire.Credit) int {
	for i := len(w.credits) - 1; i >= 0; i-- {
		if w.credits[i].number == number {
			return i
		}
	}
	return -1
}

// void drops the credit of a slot that a new one has replaced.
func (w *worker) void(slot uint64) {
	for i := range w.credits {
		if w.credits[i].number.Slot() == slot {
			w.credits = append(w.credits[:i], w.credits[i+1:]...)
			return
		}
	}
}

// Recall takes up to count idle credits back, the oldest first. Waiting tasks
// that can use them are placed before.
func (m *Machine) Recall(now time.Duration, sidecar ident.Process, count int) []wire.Credit {
	m.now = now
	m.place()
	w := m.workers[sidecar]
	if w == nil {
		m.waste.EmptyRecalls++
		return nil
	}
	n := max(min(count, len(w.credits)), 0)
	back := make([]wire.Credit, n)
	for i := range back {
		back[i] = w.credits[i].number
	}
	m.cut(w, n)
	m.waste.ReturnedCredits += int64(n)
	if n == 0 {
		m.waste.EmptyRecalls++
	}
	return back
}

// cut drops the n oldest credits of a worker.
func (m *Machine) cut(w *worker, n int) {
	if n > 0 {
		w.credits = append(w.credits[:0], w.credits[n:]...)
		m.refresh(w)
	}
}

// SetLoad records the load that a sidecar reported; call it after the Grant of
// the same message. A sidecar that counts fewer credits than are held here has
// voided the oldest by renewing them; young ones may be newer than the report.
func (m *Machine) SetLoad(now time.Duration, sidecar ident.Process, held, free, foreign int) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	void := 0
	for void < len(w.credits)-held && now-w.credits[void].at > m.cfg.CreditTTL/3 {
		void++
	}
	m.cut(w, void)
	if w.told && !w.granted {
		m.waste.DemandMessages++
	}
	w.told = false
	had := w.foreign
	w.foreign = free > 0 || foreign > 0
	if w.foreign && !had {
		m.tell = append(m.tell, w)
	}
}

// dropOld drops credits at two thirds of their lifetime.
func (m *Machine) dropOld() {
	if m.now < m.sweep {
		return
	}
	m.sweep = m.now + sweepGap
	limit := m.cfg.CreditTTL * 2 / 3
	for _, w := range m.workers {
		n := 0
		for n < len(w.credits) && m.now-w.credits[n].at >= limit {
			n++
		}
		m.waste.ExpiredCredits += int64(n)
		m.cut(w, n)
	}
}

// returnIdle gives the credits back that a draining instance has no work for.
func (m *Machine) returnIdle() {
	for _, w := range m.workers {
		if len(w.credits) == 0 || w.pool.queue.Waiting() > 0 {
			continue
		}
		back := make([]wire.Credit, len(w.credits))
		for i := range back {
			back[i] = w.credits[i].number
		}
		m.cut(w, len(back))
		m.waste.ReturnedCredits += int64(len(back))
		m.out = append(m.out, ReturnCredits{Sidecar: w.proc, Credits: back})
	}
}
