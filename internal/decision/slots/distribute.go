package slots

import (
	"slices"
	"time"
)

// idleSlotsPerIdleCredit limits the idle credits during and shortly after demand: one
// credit is granted in advance for that many idle slots. The more credits are granted in
// advance, the more have to be recalled when jobs of many tasks arrive at one entry
// instance.
const idleSlotsPerIdleCredit = 4

// distribute grants the free slots. It grants credits on demand first. If no demand is
// left, it grants idle credits evenly to the entry instances; otherwise it recalls idle
// credits.
func (m *Machine) distribute(now time.Duration) {
	for m.takenSlots() < m.slots {
		e, d := m.chooseDemand(now, m.freeSlots())
		if d == nil {
			break
		}
		m.grantOnDemand(now, e, d)
	}
	if m.hasUngrantedDemand(now) {
		m.recallForDemand(now)
		return
	}
	for m.mayGrantIdle(now) {
		e := m.entryWithFewestCredits(now)
		if e == nil {
			return
		}
		m.issueCredit(now, e, nil)
	}
}

// mayGrantIdle reports whether another idle credit may be granted. During and shortly
// after demand, most idle slots stay free, so that any entry instance can get them with
// one message and without a recall. All slots are granted if there has been no demand
// for ClassIdleTimeout or if there is only one entry instance.
func (m *Machine) mayGrantIdle(now time.Duration) bool {
	if m.takenSlots() >= m.slots {
		return false
	}
	if len(m.entryOrder) <= 1 || now-m.lastDemand > m.cfg.ClassIdleTimeout {
		return true
	}
	idleSlots := m.slots - m.running
	return len(m.credits)*idleSlotsPerIdleCredit < idleSlots
}

// regrantFreedSlot grants the slot that a task of e has freed to e again, as an idle
// credit. It does so only if there is no ungranted demand, another idle credit may be
// granted, and e holds at most one credit more than the entry instance with the fewest
// credits.
func (m *Machine) regrantFreedSlot(now time.Duration, e *entry) {
	if m.hasUngrantedDemand(now) || !m.mayGrant(now, e) || !m.mayGrantIdle(now) {
		return
	}
	if least := m.entryWithFewestCredits(now); least != nil && len(e.credits) <= len(least.credits)+1 {
		m.issueCredit(now, e, nil)
	}
}

// hasUngrantedDemand reports whether any entry instance that may get credits on demand
// has ungranted tasks.
func (m *Machine) hasUngrantedDemand(now time.Duration) bool {
	for _, e := range m.entryOrder {
		if !m.mayGrantOnDemand(now, e) {
			continue
		}
		for i := range e.demand {
			if e.demand[i].ungranted > 0 {
				return true
			}
		}
	}
	return false
}

// entryWithFewestCredits returns the entry instance with the fewest credits among those
// that may get credits, or nil if there is none.
func (m *Machine) entryWithFewestCredits(now time.Duration) *entry {
	var least *entry
	for _, e := range m.entryOrder {
		if m.mayGrant(now, e) && (least == nil || len(e.credits) < len(least.credits)) {
			least = e
		}
	}
	return least
}

// recallForDemand recalls credits that their holders don't need, as many as the
// ungranted demand could use.
func (m *Machine) recallForDemand(now time.Duration) {
	recallable, wanted := 0, 0
	for _, e := range m.entryOrder {
		recallable += e.recallable()
		if !m.mayGrantOnDemand(now, e) {
			continue
		}
		for i := range e.demand {
			wanted += e.demand[i].ungranted
		}
	}
	if recallable == 0 {
		return
	}
	free := m.freeSlots()
	if _, d := m.chooseDemand(now, free+recallable); d == nil {
		return
	}
	reserve := min(m.reserve, max(m.slots-1, 0))
	wanted = min(wanted, max(free+recallable-reserve, 1))
	for _, e := range m.entryOrder {
		if wanted <= 0 {
			return
		}
		if n := min(wanted, e.recallable()); n > 0 {
			m.recall(now, e, n)
			wanted -= n
		}
	}
}

// recallable returns the number of credits that may be recalled: all credits of an entry
// instance without demand, and the unused credits of one with demand.
func (e *entry) recallable() int {
	if e.hasDemand() {
		return e.unusedCredits()
	}
	return len(e.credits)
}

// rebalance recalls half of the credits of the entry instance with the most credits if
// another entry instance holds none. It does so at most once in a third of CreditTTL,
// because each recall costs a message that starts no task.
func (m *Machine) rebalance(now time.Duration) {
	least := m.entryWithFewestCredits(now)
	if now-m.lastRebalance < m.cfg.CreditTTL/3 || least == nil || len(least.credits) > 0 || m.hasUngrantedDemand(now) {
		return
	}
	m.lastRebalance = now
	most := slices.MaxFunc(m.entryOrder, func(a, b *entry) int { return len(a.credits) - len(b.credits) })
	if n := len(most.credits); n >= 2 && !most.hasDemand() {
		m.recall(now, most, n/2)
	}
}

// recall queues a Recall, unless the reply to an earlier one is pending or the recall
// interval has not passed. A reply counts as pending for CreditTTL at most.
func (m *Machine) recall(now time.Duration, e *entry, count int) {
	if e.recallPending && now-e.lastRecall < m.cfg.CreditTTL || now-e.lastRecall < e.recallInterval {
		return
	}
	e.recallPending = true
	e.lastRecall = now
	m.actions = append(m.actions, Recall{Entry: e.peer.Process, Count: count})
}
