package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// demandMaxAge is the time for which a demand summary is reused although the
// queues have changed.
const demandMaxAge = 500 * time.Microsecond

const (
	// demandMessageInterval is the minimum time from a demand message to the next
	// one that sendDemandBelowShare sends to the same sidecar. It is about a round
	// trip between zones.
	demandMessageInterval = 5 * time.Millisecond
	// extraDemandMessages is the number of demand messages that
	// sendDemandBelowShare sends in addition to one per new waiting task. The more
	// sidecars know of the demand, the sooner a slot becomes free at one of them.
	extraDemandMessages = 2
)

// Demand returns a summary of the waiting tasks of at most wire.MaxDemandClasses
// classes that the limits allow to start tasks. Classes with the fewest running
// tasks per weight come first. The returned slice is never modified.
func (m *Machine) Demand(now time.Duration) []wire.Demand {
	m.now = now
	fresh := !m.demandStale || now-m.demandAt < demandMaxAge && len(m.demand) > 0
	if !fresh {
		m.demand = m.summarizeDemand()
		m.demandAt, m.demandStale = now, false
	}
	return m.demand
}

func (m *Machine) summarizeDemand() []wire.Demand {
	if m.suspended || m.abandoned {
		return nil
	}
	var eligible []*class
	for _, p := range m.pools {
		p.queue.EachWaiting(func(q *fair.Class[*task]) {
			if c := q.Head().Value.job.class; m.canStart(c) {
				eligible = append(eligible, c)
			}
		})
	}
	slices.SortFunc(eligible, func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.queue.RunningPerWeight(), b.queue.RunningPerWeight()),
			cmp.Compare(b.queue.Rank(), a.queue.Rank()),
			cmp.Compare(a.key.Team, b.key.Team), cmp.Compare(a.key.Kind, b.key.Kind))
	})
	if len(eligible) > wire.MaxDemandClasses {
		eligible = eligible[:wire.MaxDemandClasses]
	}
	var summary []wire.Demand
	for _, c := range eligible {
		oldestAt, _ := c.queue.OldestAt()
		summary = append(summary, wire.Demand{
			Class: c.key, Waiting: c.queue.Waiting(), OldestMs: milliseconds(m.now - oldestAt),
			Rank: c.queue.Rank(), Weight: c.queue.Weight(), RunMs: milliseconds(c.runTime.P50()), TotalSlots: c.pool.slots,
		})
	}
	return summary
}

// sendDemand queues demand messages. Sidecars whose last reported load showed
// free slots, or unspent credits of other entry instances, together get at most
// one message per new waiting task, and each of them at most one per reported load.
// These bounds exclude the messages of sendDemandBelowShare.
func (m *Machine) sendDemand() {
	if m.suspended || m.abandoned {
		return
	}
	for _, p := range m.pools {
		p.countUnannounced()
		m.sendDemandBelowShare(p)
	}
	remaining := m.demandCandidates[:0]
	for _, w := range m.demandCandidates {
		if w.detached || !w.slotsAvailable {
			w.slotsAvailable = false
			continue
		}
		if w.demandSent || w.pool == nil || w.leaving || w.pool.unannounced == 0 {
			remaining = append(remaining, w)
			continue
		}
		w.pool.unannounced--
		w.demandSent, w.grantedSinceDemand, w.slotsAvailable, w.demandSentAt = true, false, false, m.now
		m.actions = append(m.actions, SendDemand{Sidecar: w.process})
	}
	clear(m.demandCandidates[len(remaining):])
	m.demandCandidates = remaining
}

// sendDemandBelowShare queues demand messages for new tasks of classes below
// their share, also to sidecars without free slots. Without the message, such a
// sidecar learns of the demand only with the next request or reply, and until
// then grants the slots that become free to the demand that it already knows.
func (m *Machine) sendDemandBelowShare(p *pool) {
	if p.unannounced == 0 && p.waitingBelowShare == 0 {
		return
	}
	previous, waiting := p.waitingBelowShare, 0
	p.queue.EachWaiting(func(q *fair.Class[*task]) {
		if p.queue.BelowShare(q) {
			waiting += q.Waiting()
		}
	})
	p.waitingBelowShare = waiting
	n := min(waiting-previous, p.unannounced)
	if n <= 0 {
		return
	}
	n += extraDemandMessages
	for i := 0; i < len(p.workers) && n > 0; i++ {
		p.lastDemandIndex = (p.lastDemandIndex + 1) % len(p.workers)
		w := p.workers[p.lastDemandIndex]
		if w.leaving || m.now-w.demandSentAt < demandMessageInterval {
			continue
		}
		n--
		w.demandSent, w.grantedSinceDemand, w.demandSentAt = true, false, m.now
		m.actions = append(m.actions, SendDemand{Sidecar: w.process})
	}
}

// countUnannounced sets unannounced to the increase of waiting tasks since the
// last call of Actions. Older waiting tasks need no demand message: a sidecar
// that reports free slots later learns of them from the reply to its report.
func (p *pool) countUnannounced() {
	n := p.queue.Waiting()
	p.unannounced = max(0, n-p.lastWaiting)
	p.lastWaiting = n
}
