package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// creditExpiryInterval is the time between two searches for expired credits.
const creditExpiryInterval = 50 * time.Millisecond

// Grant adds credits of a sidecar. It ignores the credits if the sidecar
// incarnation is unknown, has no backend server or is leaving.
func (m *Machine) Grant(now time.Duration, sidecar ident.Process, grants []wire.Grant) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil || w.pool == nil || w.leaving || len(grants) == 0 {
		return
	}
	w.grantedSinceDemand = true
	for _, g := range grants {
		if w.findCredit(g.Credit) >= 0 {
			continue
		}
		w.dropSlot(g.Credit.Slot())
		w.credits = append(w.credits, credit{number: g.Credit, grantedAt: now, reserved: g.Reserved})
		if g.Class != (wire.Class{}) || g.Reserved {
			w.pool.assigned = append(w.pool.assigned, assignedCredit{worker: w, credit: g.Credit, class: g.Class, reserved: g.Reserved, grantedAt: now})
			m.markDirty(w.pool)
		}
	}
	m.refreshWorker(w)
}

// findCredit returns the index of a credit, or -1 if the worker does not have
// it.
func (w *worker) findCredit(number wire.Credit) int {
	for i := len(w.credits) - 1; i >= 0; i-- {
		if w.credits[i].number == number {
			return i
		}
	}
	return -1
}

// dropSlot drops the credit of a slot. A new credit for a slot voids the earlier
// one.
func (w *worker) dropSlot(slot uint64) {
	for i := range w.credits {
		if w.credits[i].number.Slot() == slot {
			w.credits = append(w.credits[:i], w.credits[i+1:]...)
			return
		}
	}
}

// Recall handles a sidecar's request to return up to count unspent credits, and
// returns the oldest ones. Waiting tasks that can use the credits are placed
// first.
func (m *Machine) Recall(now time.Duration, sidecar ident.Process, count int) []wire.Credit {
	m.now = now
	m.place()
	w := m.workers[sidecar]
	if w == nil {
		m.waste.EmptyRecalls++
		return nil
	}
	n := max(min(count, len(w.credits)), 0)
	returned := make([]wire.Credit, n)
	for i := range returned {
		returned[i] = w.credits[i].number
	}
	m.dropOldest(w, n)
	m.waste.ReturnedCredits += int64(n)
	if n == 0 {
		m.waste.EmptyRecalls++
	}
	return returned
}

// dropOldest drops the n oldest credits of a worker.
func (m *Machine) dropOldest(w *worker, n int) {
	if n > 0 {
		w.credits = append(w.credits[:0], w.credits[n:]...)
		m.refreshWorker(w)
	}
}

// SetLoad records the load that a sidecar reported; call it after the Grant of
// the same message. The parameters are the fields of wire.HeartbeatRequest of the
// same names. If the Machine holds more credits than heldCredits, the sidecar has
// voided the oldest ones, because it replaces credits older than a third of the
// TTL by new ones. Younger credits are kept, because they may be newer than the
// report.
func (m *Machine) SetLoad(now time.Duration, sidecar ident.Process, heldCredits, freeSlots, creditsElsewhere int) {
	m.now = now
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	voided := 0
	for voided < len(w.credits)-heldCredits && now-w.credits[voided].grantedAt > m.cfg.CreditTTL/3 {
		voided++
	}
	m.dropOldest(w, voided)
	if w.demandSent && !w.grantedSinceDemand {
		m.waste.DemandMessages++
	}
	w.demandSent = false
	hadSlots := w.slotsAvailable
	w.slotsAvailable = freeSlots > 0 || creditsElsewhere > 0
	if w.slotsAvailable && !hadSlots {
		m.demandCandidates = append(m.demandCandidates, w)
	}
}

// expireCredits drops credits at two thirds of their TTL.
func (m *Machine) expireCredits() {
	if m.now < m.nextCreditExpiry {
		return
	}
	m.nextCreditExpiry = m.now + creditExpiryInterval
	maxAge := m.cfg.CreditTTL * 2 / 3
	for _, w := range m.workers {
		n := 0
		for n < len(w.credits) && m.now-w.credits[n].grantedAt >= maxAge {
			n++
		}
		m.waste.ExpiredCredits += int64(n)
		m.dropOldest(w, n)
	}
}

// returnIdleCredits returns the credits of services without waiting tasks to the
// sidecars. It is called while the entry instance drains.
func (m *Machine) returnIdleCredits() {
	for _, w := range m.workers {
		if len(w.credits) == 0 || w.pool.queue.Waiting() > 0 {
			continue
		}
		returned := make([]wire.Credit, len(w.credits))
		for i := range returned {
			returned[i] = w.credits[i].number
		}
		m.dropOldest(w, len(returned))
		m.waste.ReturnedCredits += int64(len(returned))
		m.actions = append(m.actions, ReturnCredits{Sidecar: w.process, Credits: returned})
	}
}
