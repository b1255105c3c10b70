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

// reclaimMargin is added to the longest deadline before the share of a dead
// holder is reclaimed without confirmation from its sidecars.
const reclaimMargin = 2 * time.Second

// addLimitFields adds the fields about limit shares to a heartbeat.
func (c *core) addLimitFields(now time.Duration, to ident.Process, b *wire.PeerHeartbeat) {
	b.ShareTotals = c.limiter.UnackedTotals(to)
	if !c.suspended {
		b.ShareDemands = c.limiter.Demand(now)
	}
	b.FinalFlows = c.limiter.Flows()
	if c.allocation != nil {
		b.AllocationSeq = c.allocation.Seq
		b.AllocationRevision = c.allocation.Revision
	}
}

// applyLimitFields applies the fields about limit shares in a peer's heartbeat.
func (c *core) applyLimitFields(now time.Duration, ps *peerState, b *wire.PeerHeartbeat) {
	from := b.Entry.Process
	ps.deadEntries, ps.finalFlows, ps.allocationRevision = b.DeadEntries, b.FinalFlows, b.AllocationRevision
	c.limiter.Receive(from, b.ShareTotals)
	c.limiter.HandleDemand(now, from, b.ShareDemands)
	if c.allocation == nil && b.AllocationSeq > 0 || c.allocation != nil && b.AllocationSeq > c.allocation.Seq {
		c.e.pullAllocation(ps.client)
	}
}

// exchangeShares asks the peers for limit share and notifies the peers that have
// been given some. It transfers idle share once per tick, after the waiting tasks
// have been placed.
func (c *core) exchangeShares(now time.Duration) {
	if c.limiter.RequestDue() {
		c.e.heartbeater.sendNow()
	}
	if c.shareTransferDue {
		c.shareTransferDue = false
		c.limiter.TransferIdle(now)
	}
	for _, holder := range c.limiter.Unnotified() {
		if m, ok := c.entryTable.Get(parseHolder(holder)); ok {
			c.e.heartbeater.sendNowTo(m.Peer.Address)
		}
	}
}

// parseHolder returns the incarnation with the given text form, or the zero value.
// It appends a window and a suffix, because ident parses the text form only as part
// of a submission ID.
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

// ApplyAllocation puts a limit allocation into use if it is newer than the current
// one.
func (e *Entry) ApplyAllocation(a *limit.Allocation) {
	e.core.call(func(time.Duration) {
		if e.core.limiter.Apply(a) {
			e.core.allocation = a
			e.heartbeater.sendNow()
		}
	})
}

// Allocation returns the current limit allocation, or nil.
func (e *Entry) Allocation() *limit.Allocation {
	var a *limit.Allocation
	e.core.call(func(time.Duration) { a = e.core.allocation })
	return a
}

// PlanAllocation returns the limit allocation to be written to the store, or nil
// if the store needs no change. stored is the allocation in the store, or nil.
func (e *Entry) PlanAllocation(stored *limit.Allocation) *limit.Allocation {
	var next *limit.Allocation
	e.core.call(func(now time.Duration) { next = e.core.planAllocation(now, stored) })
	return next
}

func (c *core) planAllocation(now time.Duration, stored *limit.Allocation) *limit.Allocation {
	if c.allocation != nil && (stored == nil || stored.Seq < c.allocation.Seq) {
		// The store returned to an older state, so write the newer allocation back.
		return c.allocation
	}
	if c.document == nil || !c.isAllocationLeader() {
		return nil
	}
	if next := stored.Reallocate(c.document.Revision, c.limiter.Limits(), *c.self.Load()); next != nil {
		return next
	}
	return c.reclaimShares(now, stored)
}

// isAllocationLeader reports whether this process is the first of the live entry
// instances by name. Only the first one writes new allocations. If two processes
// consider themselves the first, compare-and-swap in the store accepts one write.
func (c *core) isAllocationLeader() bool {
	self := c.self.Load().String()
	for _, m := range c.entryTable.InState(membership.Live) {
		if m.Peer.Process.String() < self {
			return false
		}
	}
	return true
}

// reclaimShares returns an allocation without the dead holders that can start no
// more tasks and whose tasks have ended. It returns nil if there are none, if an
// entry instance is silent, or if a peer has not confirmed that these holders are
// dead.
func (c *core) reclaimShares(now time.Duration, stored *limit.Allocation) *limit.Allocation {
	var dead []string
	holders := c.shareHolders(stored)
	c.removeReclaimedHolders(holders)
	for holder := range holders {
		if c.holderTasksEnded(now, holder) {
			dead = append(dead, holder)
		}
	}
	if len(dead) == 0 || len(c.entryTable.InState(membership.Silent)) > 0 {
		return nil
	}
	slices.Sort(dead)
	flows := map[string][]wire.ShareFlow{c.self.Load().String(): c.limiter.Flows()}
	for p, ps := range c.peers {
		for _, d := range dead {
			if !slices.ContainsFunc(ps.deadEntries, func(q ident.Process) bool { return q.String() == d }) {
				return nil
			}
		}
		flows[p.String()] = ps.finalFlows
	}
	c.e.log(event.ShareReclaimed, "holders", dead)
	return stored.Reclaim(dead, flows, *c.self.Load())
}

// shareHolders returns the incarnations that may hold share and have not been
// reclaimed: those that have a base share, and the dead ones that have exchanged
// share with a live incarnation. A silent incarnation may have exchanged share too,
// so all silent ones are included.
func (c *core) shareHolders(stored *limit.Allocation) map[string]bool {
	all := stored.Holders()
	for _, f := range c.limiter.Flows() {
		all[f.Dead] = true
	}
	for _, ps := range c.peers {
		for _, f := range ps.finalFlows {
			all[f.Dead] = true
		}
	}
	for _, m := range c.entryTable.InState(membership.Silent) {
		all[m.Peer.Process.String()] = true
	}
	if stored != nil {
		for _, x := range stored.Reclaimed {
			delete(all, x)
		}
	}
	return all
}

// holderTasksEnded reports whether a holder is dead and its tasks have ended. It
// declares a holder dead that a live incarnation has replaced or that has been
// missing for longer than missingTimeout.
func (c *core) holderTasksEnded(now time.Duration, holder string) bool {
	p := parseHolder(holder)
	if p.IsZero() || p == *c.self.Load() {
		return false
	}
	m, known := c.entryTable.Get(p)
	if known && m.State == membership.Live {
		delete(c.missingSince, holder)
		return false
	}
	since, ok := c.missingSince[holder]
	if !ok {
		since = now
		c.missingSince[holder] = now
		c.e.log(event.ShareHeld, "holder", holder)
	}
	if !known || m.State != membership.Dead {
		if c.replacedByLive(p) || now-since > c.missingTimeout(m, known) {
			c.markEntryDead(now, p)
		}
		return false
	}
	return c.tasksEnded(now, p, max(since, m.StateSince))
}

// replacedByLive reports whether another live incarnation has the instance name
// of p.
func (c *core) replacedByLive(p ident.Process) bool {
	if p.Instance == c.e.cfg.Instance {
		return true
	}
	for _, m := range c.entryTable.InState(membership.Live) {
		if m.Peer.Process.Instance == p.Instance {
			return true
		}
	}
	return false
}

// missingTimeout returns the time after which a missing holder is declared dead.
// A holder in another region may be alive behind a network partition. A holder
// in the same region that no other entry instance lists as live is declared dead
// early.
func (c *core) missingTimeout(m membership.Member, known bool) time.Duration {
	if known && m.Peer.Region == c.e.cfg.Region {
		if c.notLiveAtPeers(m.Peer.Process) {
			return c.e.cfg.SilentAfter
		}
		return c.e.cfg.DeadAfter
	}
	return c.e.cfg.ReclaimAfter
}

// notLiveAtPeers reports whether there are other live entry instances and none of
// them lists p as live.
func (c *core) notLiveAtPeers(p ident.Process) bool {
	for _, ps := range c.peers {
		if ps.entries[p] {
			return false
		}
	}
	return len(c.entryTable.InState(membership.Live)) > 0
}

// transferSharesToPeer transfers the limit shares to a peer during a shutdown. It
// may be called only when no task is left. If the peer does not answer, the
// shares stay unused until this incarnation has been declared dead and the leader
// of the allocation has reclaimed them.
func (e *Entry) transferSharesToPeer() {
	var to ident.Process
	e.core.call(func(now time.Duration) { to = e.core.transferIdleShares(now) })
	if client := e.core.view.Load().peers[to]; client != nil {
		e.exchangeHeartbeat(e.ctx, to, client)
	}
}

// transferIdleShares transfers the idle limit shares to a live peer that is not
// draining. It returns the peer, or the zero value if there is none.
func (c *core) transferIdleShares(now time.Duration) ident.Process {
	for _, m := range c.entryTable.InState(membership.Live) {
		if ps := c.peers[m.Peer.Process]; ps != nil && !ps.draining {
			c.limiter.TransferAll(now, m.Peer.Process)
			return m.Peer.Process
		}
	}
	return ident.Process{}
}
