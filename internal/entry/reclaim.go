package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// deadHolder holds what this process knows about a dead holder of limit shares.
type deadHolder struct {
	// sidecarsKnown is true if the holder reported its sidecars to this process
	// while it was live; sidecars is its last list.
	sidecarsKnown bool
	sidecars      []wire.SidecarRef
	// tasksEnded are the sidecar incarnations that have fenced the holder and run
	// none of its tasks. They accept no further task of the holder.
	tasksEnded map[ident.Process]bool
	// fencing are the sidecars with a FenceOwner call in flight.
	fencing map[ident.Process]bool
}

// formerSidecar is the address of a sidecar and the time when a peer last replaced a
// list that contained it.
type formerSidecar struct {
	address    string
	lastListed time.Duration
}

// recordFormerSidecars records the sidecars of the list that a peer has replaced.
// A silent sidecar is in no list but may still run tasks.
func (c *core) recordFormerSidecars(now time.Duration, former []wire.SidecarRef) {
	for p, s := range c.formerSidecars {
		if now-s.lastListed > c.e.cfg.retention() {
			delete(c.formerSidecars, p)
		}
	}
	for _, s := range former {
		c.formerSidecars[s.Peer.Process] = formerSidecar{address: s.Peer.Address, lastListed: now}
	}
}

// attachedSidecarRefs returns the attached sidecars, including silent ones.
func (c *core) attachedSidecarRefs() []wire.SidecarRef {
	var refs []wire.SidecarRef
	for _, s := range c.attachedSidecars {
		refs = append(refs, wire.SidecarRef{Peer: s.peer})
	}
	return refs
}

// deadHolderState returns the state of a dead holder and creates it if needed.
func (c *core) deadHolderState(holder ident.Process) *deadHolder {
	state := c.deadHolders[holder]
	if state == nil {
		state = &deadHolder{tasksEnded: map[ident.Process]bool{}, fencing: map[ident.Process]bool{}}
		c.deadHolders[holder] = state
	}
	return state
}

// recordHolderSidecars records the last list of sidecars of an entry incarnation
// that has ended.
func (c *core) recordHolderSidecars(holder ident.Process, listed []wire.SidecarRef) {
	state := c.deadHolderState(holder)
	state.sidecarsKnown, state.sidecars = true, listed
}

// tasksEnded reports whether all tasks of a dead holder have ended: either all
// sidecars that it could have used have confirmed it, or the longest deadline has
// passed.
func (c *core) tasksEnded(now time.Duration, holder ident.Process, deadSince time.Duration) bool {
	return now-deadSince > c.maxTaskLifetime() || c.tasksEndedAtSidecars(now, holder, deadSince)
}

// maxTaskLifetime returns the time within which all tasks end that a dead holder
// has started.
func (c *core) maxTaskLifetime() time.Duration {
	return c.updateLongestDeadline() + c.e.cfg.CreditTTL + reclaimMargin
}

// tasksEndedAtSidecars reports whether every sidecar that the holder could have
// used has fenced it and runs none of its tasks. It calls the sidecars that have
// not confirmed this. A sidecar that has ended cannot report what its backend
// server still runs, so its tasks count as running until the longest deadline.
func (c *core) tasksEndedAtSidecars(now time.Duration, holder ident.Process, deadSince time.Duration) bool {
	state := c.deadHolderState(holder)
	if !state.sidecarsKnown || now-deadSince < c.e.cfg.SelfLease+selfLeaseMargin {
		return false
	}
	all := true
	for p, addr := range c.possibleSidecars(now, state) {
		if at, gone := c.goneSidecars[p]; gone {
			all = all && now-at > c.maxTaskLifetime()
			continue
		}
		if !state.tasksEnded[p] {
			all = false
			c.fenceHolder(state, holder, p, addr)
		}
	}
	for _, at := range c.goneSidecars {
		all = all && now-at > c.maxTaskLifetime()
	}
	return all
}

// possibleSidecars returns the sidecars that a dead holder may have used, with
// their addresses: those that the holder listed and those that any live entry
// instance lists or has listed within maxTaskLifetime. A sidecar that attached to
// the holder after the holder's last list, and to no other entry instance, is not
// included. Such a sidecar, if it knows of another live entry instance, grants the
// holder no credit until it is attached to a second entry instance or its JoinDelay
// has passed.
func (c *core) possibleSidecars(now time.Duration, state *deadHolder) map[ident.Process]string {
	all := map[ident.Process]string{}
	for p, s := range c.formerSidecars {
		if now-s.lastListed <= c.maxTaskLifetime() {
			all[p] = s.address
		}
	}
	for _, s := range state.sidecars {
		all[s.Peer.Process] = s.Peer.Address
	}
	for _, ps := range c.peers {
		for _, s := range ps.sidecars {
			all[s.Peer.Process] = s.Peer.Address
		}
	}
	for p, s := range c.attachedSidecars {
		all[p] = s.peer.Address
	}
	return all
}

// fenceHolder fences the holder at a sidecar and asks whether the sidecar runs any
// of the holder's tasks. The next check repeats a failed call.
func (c *core) fenceHolder(state *deadHolder, holder, sidecar ident.Process, addr string) {
	if state.fencing[sidecar] || c.e.ctx == nil {
		return
	}
	state.fencing[sidecar] = true
	c.e.wg.Go(func() {
		client := rpcnet.NewClientWithDialer(addr, c.e.cfg.Dial)
		defer client.Close()
		ctx, cancel := context.WithTimeout(c.e.ctx, callTimeout)
		defer cancel()
		var reply wire.FenceOwnerReply
		req := wire.FenceOwnerRequest{Owners: []ident.Process{holder}}
		err := client.Call(ctx, wire.ServiceSidecar+".FenceOwner", &req, &reply)
		c.post(func(now time.Duration) {
			delete(state.fencing, sidecar)
			if err == nil {
				c.applyFenceOwnerReply(now, state, holder, sidecar, &reply)
			}
		})
	})
}

// applyFenceOwnerReply applies the reply of the process at a sidecar's address.
func (c *core) applyFenceOwnerReply(now time.Duration, state *deadHolder, holder, sidecar ident.Process, reply *wire.FenceOwnerReply) {
	switch {
	case reply.Sidecar != sidecar:
		// Another incarnation uses the address, so this one has ended.
		if _, known := c.goneSidecars[sidecar]; !known {
			c.goneSidecars[sidecar] = now
		}
	case !slices.Contains(reply.StillRunning, holder):
		state.tasksEnded[sidecar] = true
	}
}

// removeReclaimedHolders removes the state of holders that hold no share any more.
func (c *core) removeReclaimedHolders(holders map[string]bool) {
	for h := range c.missingSince {
		if !holders[h] {
			delete(c.missingSince, h)
		}
	}
	for p := range c.deadHolders {
		m, known := c.entryTable.Get(p)
		if !holders[p.String()] && (!known || m.State == membership.Dead) {
			delete(c.deadHolders, p)
		}
	}
}

// updateLongestDeadline returns the longest deadline of any kind in the document in
// force and in the documents that were in force at earlier calls.
func (c *core) updateLongestDeadline() time.Duration {
	for _, k := range c.document.Kinds {
		d := time.Duration(k.Spec.DeadlineMs) * time.Millisecond
		if d <= 0 {
			d = dispatch.DefaultDeadline
		}
		c.longestKindDeadline = max(c.longestKindDeadline, d)
	}
	return c.longestKindDeadline
}
