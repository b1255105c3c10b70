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

// Demand returns the waiting work of at most wire.MaxDemand classes, those
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
		p.queue.Each(func(q *fair.Class[*task]) {
			if c := q.Head().Value.job.class; m.canStart(c) {
				entitled = append(entitled, c)
			}
		})
	}
	slices.SortFunc(entitled, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.queue.Ratio(), b.queue.Ratio()),
			cmp.Compare(b.queue.Rank(), a.queue.Rank()),
			cmp.Compare(a.key.Team, b.key.Team), cmp.Compare(a.key.Kind, b.key.Kind))
	})
	if len(entitled) > wire.MaxDemand {
		entitled = entitled[:wire.MaxDemand]
	}
	var sum []wire.Demand
	for _, c := range entitled {
		oldest, _ := c.queue.Oldest()
		sum = append(sum, wire.Demand{
			Class: c.key, Waiting: c.queue.Waiting(), OldestMs: milliseconds(m.now - oldest),
			Rank: c.queue.Rank(), Weight: c.queue.Weight(), RunMs: milliseconds(c.run.P50()), Slots: c.pool.slots,
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
		w.told, w.granted, w.foreign = true, false, false
		m.out = append(m.out, TellDemand{Sidecar: w.proc})
	}
	clear(m.tell[len(keep):])
	m.tell = keep
}

// countUntold counts the waiting tasks that have come since the last drain of
// the actions. Sidecars that report idle credits later learn of older ones from
// the reply to that report.
func (p *pool) countUntold() {
	n := p.queue.Waiting()
	p.untold = max(0, n-p.told)
	p.told = n
}
