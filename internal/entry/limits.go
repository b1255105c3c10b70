package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// settleMargin is added to the longest deadline before the share of a dead
// holder is taken back without an answer of its sidecars.
const settleMargin = 2 * time.Second

// limitsTold adds the limit shares to a heartbeat.
func (c *core) limitsTold(now time.Duration, to ident.Process, b *wire.PeerHeartbeat) {
	b.ShareTotals = c.ledger.UnackedTotals(to)
	if !c.suspended {
		b.ShareDemands = c.ledger.Demand(now)
	}
	b.FinalFlows = c.ledger.Flows()
	if c.allocation != nil {
		b.AllocationSeq = c.allocation.Seq
		b.AllocationRevision = c.allocation.Revision
	}
}

// limitsHeard takes the limit shares of a peer's heartbeat.
func (c *core) limitsHeard(now time.Duration, ps *peerState, b *wire.PeerHeartbeat) {
	from := b.Entry.Process
	ps.dead, ps.flows, ps.limits = b.DeadEntries, b.FinalFlows, b.AllocationRevision
	c.ledger.Receive(from, b.ShareTotals)
	c.ledger.HandleDemand(now, from, b.ShareDemands)
	if c.allocation == nil && b.AllocationSeq > 0 || c.allocation != nil && b.AllocationSeq > c.allocation.Seq {
		c.e.pullAllocation(ps.client)
	}
}

// moveShares asks the peers for limit share and tells those that were given
// some. Share is offered after waiting tasks were placed, once per tick.
func (c *core) moveShares(now time.Duration) {
	if c.ledger.RequestDue() {
		c.e.beats.poke()
	}
	if c.offer {
		c.offer = false
		c.ledger.TransferIdle(now)
	}
	for _, holder := range c.ledger.Unnotified() {
		if m, ok := c.entries.Get(parseHolder(holder)); ok {
			c.e.beats.pokeOne(m.Peer.Address)
		}
	}
}

// parseHolder returns the incarnation with the given text form, or the zero
// value.
func parseHolder(holder string) ident.Process {
	id, err := ident.ParseSubmissionID(holder + ".0.x")
	if err != nil {
		return ident.Process{}
	}
	return id.Owner
}

// pullAllocation reads the limit allocation from a peer.
func (e *Entry) pullAllocation(peer *rpcnet.Client) {
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, pullTimeout)
		defer cancel()
		var reply wire.PullAllocationReply
		if peer.Call(ctx, wire.ServiceEntry+".PullAllocation", &wire.PullRequest{}, &reply) != nil || len(reply.Allocation) == 0 {
			return
		}
		var a limit.Allocation
		if json.Unmarshal(reply.Allocation, &a) == nil {
			e.ApplyAllocation(&a)
		}
	})
}

// ApplyAllocation takes a limit allocation if it is newer than the one held.
func (e *Entry) ApplyAllocation(a *limit.Allocation) {
	e.core.call(func(time.Duration) {
		if e.core.ledger.Apply(a) {
			e.core.allocation = a
			e.beats.poke()
		}
	})
}

// Allocation returns the limit allocation held, or nil.
func (e *Entry) Allocation() *limit.Allocation {
	var a *limit.Allocation
	e.core.call(func(time.Duration) { a = e.core.allocation })
	return a
}

// PlanAllocation returns the next limit allocation to be written to the
// store, or nil. from is the allocation that the store holds, nil if none.
func (e *Entry) PlanAllocation(from *limit.Allocation) *limit.Allocation {
	var next *limit.Allocation
	e.core.call(func(now time.Duration) { next = e.core.planAllocation(now, from) })
	return next
}

func (c *core) planAllocation(now time.Duration, from *limit.Allocation) *limit.Allocation {
	if c.allocation != nil && (from == nil || from.Seq < c.allocation.Seq) {
		// The store went back to an older state: write the newer one back.
		return c.allocation
	}
	if c.document == nil || !c.leads() {
		return nil
	}
	if next := from.Reallocate(c.document.Revision, c.ledger.Limits(), *c.self.Load()); next != nil {
		return next
	}
	return c.settle(now, from)
}

// leads reports whether this process is the first of the live entry
// instances, which writes allocations; compare-and-swap decides if two
// processes think so.
func (c *core) leads() bool {
	self := c.self.Load().String()
	for _, m := range c.entries.InState(membership.Live) {
		if m.Peer.Process.String() < self {
			return false
		}
	}
	return true
}

// settle takes back the shares of dead holders, once they can start nothing
// more and their tasks have ended.
func (c *core) settle(now time.Duration, from *limit.Allocation) *limit.Allocation {
	var dead []string
	holders := c.holders(from)
	c.forgetReclaims(holders)
	for holder := range holders {
		if c.settled(now, holder) {
			dead = append(dead, holder)
		}
	}
	if len(dead) == 0 || len(c.entries.InState(membership.Silent)) > 0 {
		return nil
	}
	slices.Sort(dead)
	flows := map[string][]wire.ShareFlow{c.self.Load().String(): c.ledger.Flows()}
	for p, ps := range c.peers {
		for _, d := range dead {
			if !slices.ContainsFunc(ps.dead, func(q ident.Process) bool { return q.String() == d }) {
				return nil
			}
		}
		flows[p.String()] = ps.flows
	}
	c.e.log(event.ShareReclaimed, "holders", dead)
	return from.Reclaim(dead, flows, *c.self.Load())
}

// holders returns the incarnations that may hold share and have not been
// settled: those with a base share, and those that live ones have exchanged
// share with. Silent ones may be among the latter.
func (c *core) holders(from *limit.Allocation) map[string]bool {
	all := from.Holders()
	for _, f := range c.ledger.Flows() {
		all[f.Dead] = true
	}
	for _, ps := range c.peers {
		for _, f := range ps.flows {
			all[f.Dead] = true
		}
	}
	for _, m := range c.entries.InState(membership.Silent) {
		all[m.Peer.Process.String()] = true
	}
	if from != nil {
		for _, x := range from.Reclaimed {
			delete(all, x)
		}
	}
	return all
}

// settled reports whether a holder is dead and its tasks have ended. It
// declares a holder dead that is missing for long enough.
func (c *core) settled(now time.Duration, holder string) bool {
	p := parseHolder(holder)
	if p.IsZero() || p == *c.self.Load() {
		return false
	}
	m, known := c.entries.Get(p)
	if known && m.State == membership.Live {
		delete(c.missing, holder)
		return false
	}
	since, ok := c.missing[holder]
	if !ok {
		since = now
		c.missing[holder] = now
		c.e.log(event.ShareHeld, "holder", holder)
	}
	if !known || m.State != membership.Dead {
		if c.replaced(p) || now-since > c.missingBound(m, known) {
			c.killEntry(now, p)
		}
		return false
	}
	return c.ended(now, p, max(since, m.StateSince))
}

// replaced reports whether a live process has taken the instance's name.
func (c *core) replaced(p ident.Process) bool {
	if p.Instance == c.e.cfg.Instance {
		return true
	}
	for _, m := range c.entries.InState(membership.Live) {
		if m.Peer.Process.Instance == p.Instance {
			return true
		}
	}
	return false
}

// missingBound is the time after which a missing holder is declared dead. A
// holder of another region may only be cut off. One of the own region that no
// other entry instance hears either is declared dead early.
func (c *core) missingBound(m membership.Member, known bool) time.Duration {
	if known && m.Peer.Region == c.e.cfg.Region {
		if c.unheard(m.Peer.Process) {
			return c.e.cfg.SilentAfter
		}
		return c.e.cfg.GoneAfter
	}
	return c.e.cfg.ReclaimAfter
}

// unheard reports whether there are other live entry instances and none of
// them lists an incarnation as live.
func (c *core) unheard(p ident.Process) bool {
	for _, ps := range c.peers {
		if ps.entries[p] {
			return false
		}
	}
	return len(c.entries.InState(membership.Live)) > 0
}

// handOver gives the limit shares to a peer, so that they don't stay unused
// until this incarnation counts as dead and its longest deadline has passed. It
// may be called only when no task is left. A peer that doesn't answer leaves
// the shares to that.
func (e *Entry) handOver() {
	var to ident.Process
	e.core.call(func(now time.Duration) { to = e.core.giveAway(now) })
	if client := e.core.view.Load().peers[to]; client != nil {
		e.tellPeer(e.ctx, to, client)
	}
}

// giveAway gives idle limit shares to a peer, because this instance drains. It
// returns the peer, which is zero if there is none.
func (c *core) giveAway(now time.Duration) ident.Process {
	for _, m := range c.entries.InState(membership.Live) {
		if ps := c.peers[m.Peer.Process]; ps != nil && !ps.draining {
			c.ledger.TransferAll(now, m.Peer.Process)
			return m.Peer.Process
		}
	}
	return ident.Process{}
}
