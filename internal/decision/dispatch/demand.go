package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// demandGap is how long a demand summary is used again although the queues
// have changed.
const demandGap = 500 * time.Microsecond

const (
	// tellGap is the least time between two demand messages to a sidecar
	// without idle credits, about a round trip between zones.
	tellGap = 5 * time.Millisecond
	// tellExtra is the number of sidecars told above that of the waiting
	// tasks; the fastest of them to end a task serve the demand.
	tellExtra = 2
)

// Demand returns the waiting work of at most wire.MaxDemandClasses classes, those
// with the fewest running tasks for their weight. The slice is never changed
// afterwards.
func (m *Machine) Demand(now time.Duration) []wire.Demand {
	m.now = now
	fresh := !m.demandStale || now-m.demandAt < demandGap && len(m.demand) > 0
	if !fresh {
		m.demand = m.summarize()
		m.demandAt, m.demandStale = now, false
	}
	return m.demand
}

func (m *Machine) summarize() []wire.Demand {
	if m.suspended || m.abandoned {
		return nil
	}
	var entitled []*class
	for _, p := range m.pools {
		p.queue.EachWaiting(func(q *fair.Class[*task]) {
			if c := q.Head().Value.job.class; m.canStart(c) {
				entitled = append(entitled, c)
			}
		})
	}
	slices.SortFunc(entitled, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.queue.RunningPerWeight(), b.queue.RunningPerWeight()),
			cmp.Compare(b.queue.Rank(), a.queue.Rank()),
			cmp.Compare(a.key.Team, b.key.Team), cmp.Compare(a.key.Kind, b.key.Kind))
	})
	if len(entitled) > wire.MaxDemandClasses {
		entitled = entitled[:wire.MaxDemandClasses]
	}
	var sum []wire.Demand
	for _, c := range entitled {
		oldest, _ := c.queue.OldestAt()
		sum = append(sum, wire.Demand{
			Class: c.key, Waiting: c.queue.Waiting(), OldestMs: milliseconds(m.now - oldest),
			Rank: c.queue.Rank(), Weight: c.queue.Weight(), RunMs: milliseconds(c.run.P50()), TotalSlots: c.pool.slots,
		})
	}
	return sum
}

// tellDemand queues demand messages to sidecars whose last load showed idle or
// foreign credits, at most one per waiting task and per reported load.
func (m *Machine) tellDemand() {
	if m.suspended || m.abandoned {
		return
	}
	for _, p := range m.pools {
		p.countUntold()
		m.tellOwed(p)
	}
	keep := m.tell[:0]
	for _, w := range m.tell {
		if w.gone || !w.foreign {
			w.foreign = false
			continue
		}
		if w.told || w.pool == nil || w.leaving || w.pool.untold == 0 {
			keep = append(keep, w)
			continue
		}
		w.pool.untold--
		w.told, w.granted, w.foreign, w.toldAt = true, false, false, m.now
		m.out = append(m.out, TellDemand{Sidecar: w.proc})
	}
	clear(m.tell[len(keep):])
	m.tell = keep
}

// tellOwed tells the new demand of classes below their share to sidecars
// without idle credits, too. They would learn of it with the next traffic only,
// and grant the slots that end until then to the demand that they know.
func (m *Machine) tellOwed(p *pool) {
	if p.untold == 0 && p.owed == 0 {
		return
	}
	before, owed := p.owed, 0
	p.queue.EachWaiting(func(q *fair.Class[*task]) {
		if p.queue.BelowShare(q) {
			owed += q.Waiting()
		}
	})
	p.owed = owed
	n := min(owed-before, p.untold)
	if n <= 0 {
		return
	}
	n += tellExtra
	for i := 0; i < len(p.workers) && n > 0; i++ {
		p.toldLast = (p.toldLast + 1) % len(p.workers)
		w := p.workers[p.toldLast]
		if w.leaving || m.now-w.toldAt < tellGap {
			continue
		}
		n--
		w.told, w.granted, w.toldAt = true, false, m.now
		m.out = append(m.out, TellDemand{Sidecar: w.proc})
	}
}

// countUntold counts the waiting tasks that have come since the last drain of
// the actions. Sidecars that report idle credits later learn of older ones from
// the reply to that report.
func (p *pool) countUntold() {
	n := p.queue.Waiting()
	p.untold = max(0, n-p.told)
	p.told = n
}
