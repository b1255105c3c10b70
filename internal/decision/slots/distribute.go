package slots

import (
	"slices"
	"time"
)

// pregrantedOf is the number of idle slots of which one is granted before there
// is demand for it, at times of demand. The more are granted, the more have to be recalled when
// jobs of many tasks arrive at one entry instance.
const pregrantedOf = 4

// distribute grants the free slots: first on demand, and when no demand is
// left, evenly as idle credits.
func (m *Machine) distribute(now time.Duration) {
	for m.busy() < m.slots {
		e, d := m.choose(now, m.free())
		if d == nil {
			break
		}
		m.serve(now, e, d)
	}
	if m.waiting(now) {
		m.recallForDemand(now)
		return
	}
	for m.spare(now) {
		e := m.least(now)
		if e == nil {
			return
		}
		m.issue(now, e, nil)
	}
}

// spare reports whether another idle credit may be granted. At times of demand
// most idle slots stay free, so that any entry instance gets them with one
// message and no recall. Without demand, or to a lone entry instance, all are
// granted.
func (m *Machine) spare(now time.Duration) bool {
	if m.busy() >= m.slots {
		return false
	}
	if len(m.order) <= 1 || now-m.wantedAt > m.cfg.ClassMemory {
		return true
	}
	idle := m.slots - m.running
	return len(m.credits)*pregrantedOf < idle
}

// grantAfter gives a slot freed by a task of e to e again if nobody has
// demand and e holds no more than its even part.
func (m *Machine) grantAfter(now time.Duration, e *entry) {
	if m.waiting(now) || !m.eligible(now, e) || !m.spare(now) {
		return
	}
	if l := m.least(now); l != nil && len(e.credits) <= len(l.credits)+1 {
		m.issue(now, e, nil)
	}
}

func (m *Machine) waiting(now time.Duration) bool {
	for _, e := range m.order {
		if !m.serveable(now, e) {
			continue
		}
		for i := range e.demand {
			if e.demand[i].left > 0 {
				return true
			}
		}
	}
	return false
}

// least returns the eligible entry instance with the fewest credits.
func (m *Machine) least(now time.Duration) *entry {
	var least *entry
	for _, e := range m.order {
		if m.eligible(now, e) && (least == nil || len(e.credits) < len(least.credits)) {
			least = e
		}
	}
	return least
}

// recallForDemand asks entry instances without demand for idle credits that
// the waiting work could use.
func (m *Machine) recallForDemand(now time.Duration) {
	idle, want := 0, 0
	for _, e := range m.order {
		idle += e.idle()
		if !m.serveable(now, e) {
			continue
		}
		for i := range e.demand {
			want += e.demand[i].left
		}
	}
	if idle == 0 {
		return
	}
	free := m.free()
	if _, d := m.choose(now, free+idle); d == nil {
		return
	}
	reserve := min(m.reserve, max(m.slots-1, 0))
	want = min(want, max(free+idle-reserve, 1))
	for _, e := range m.order {
		if want <= 0 {
			return
		}
		if n := min(want, e.idle()); n > 0 {
			m.recall(now, e, n)
			want -= n
		}
	}
}

// idle counts the credits that may be recalled.
func (e *entry) idle() int {
	if e.hungry() {
		return e.unused()
	}
	return len(e.credits)
}

// rebalance asks for a credit when an entry instance holds none and another
// one holds several. It is rate limited because each recall is a message that
// starts no task.
func (m *Machine) rebalance(now time.Duration) {
	least := m.least(now)
	if now-m.balancedAt < m.cfg.CreditTTL/3 || least == nil || len(least.credits) > 0 || m.waiting(now) {
		return
	}
	m.balancedAt = now
	most := slices.MaxFunc(m.order, func(a, b *entry) int { return len(a.credits) - len(b.credits) })
	if n := len(most.credits); n >= 2 && !most.hungry() {
		m.recall(now, most, n/2)
	}
}

func (m *Machine) recall(now time.Duration, e *entry, count int) {
	if e.recalling && now-e.recallAt < m.cfg.CreditTTL || now-e.recallAt < e.recallWait {
		return
	}
	e.recalling = true
	e.recallAt = now
	m.actions = append(m.actions, Recall{Entry: e.peer.Process, Count: count})
}
