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

// reclaim is what is known of a dead holder of limit shares.
type reclaim struct {
	// told is true if the holder, while alive, told this process its sidecars,
	// which are in listed.
	told   bool
	listed []wire.SidecarRef
	// clear are the sidecar incarnations that have fenced the holder and run
	// none of its tasks; they never will.
	clear map[ident.Process]bool
	// asking are the sidecars with a question under way.
	asking map[ident.Process]bool
}

// listing is the address of a sidecar and when a peer still listed it.
type listing struct {
	addr string
	at   time.Duration
}

// unlist remembers the sidecars of a peer's former list. Those that are silent
// are in no list, but may still run tasks.
func (c *core) unlist(now time.Duration, former []wire.SidecarRef) {
	for p, l := range c.unlisted {
		if now-l.at > c.e.cfg.retention() {
			delete(c.unlisted, p)
		}
	}
	for _, s := range former {
		c.unlisted[s.Peer.Process] = listing{addr: s.Peer.Address, at: now}
	}
}

// linked returns the attached sidecars, silent ones included.
func (c *core) linked() []wire.SidecarRef {
	var refs []wire.SidecarRef
	for _, s := range c.links {
		refs = append(refs, wire.SidecarRef{Peer: s.peer})
	}
	return refs
}

func (c *core) reclaimOf(holder ident.Process) *reclaim {
	r := c.reclaims[holder]
	if r == nil {
		r = &reclaim{clear: map[ident.Process]bool{}, asking: map[ident.Process]bool{}}
		c.reclaims[holder] = r
	}
	return r
}

// noteSidecars keeps the last list of sidecars of an entry incarnation that ended.
func (c *core) noteSidecars(holder ident.Process, listed []wire.SidecarRef) {
	r := c.reclaimOf(holder)
	r.told, r.listed = true, listed
}

// ended reports whether all tasks of a dead holder have ended: either every
// sidecar that it could use says so, or the longest deadline has passed.
func (c *core) ended(now time.Duration, holder ident.Process, dead time.Duration) bool {
	return now-dead > c.endBound() || c.accounted(now, holder, dead)
}

// endBound is the time in which all tasks end that were started before.
func (c *core) endBound() time.Duration {
	return c.longestDeadline() + c.e.cfg.CreditTTL + settleMargin
}

// accounted reports whether every sidecar that the holder could have used has
// fenced it and runs none of its tasks, and asks those that have not said so.
// A sidecar that is gone can't tell what its backend server still runs, so
// that its tasks count until their longest deadline.
func (c *core) accounted(now time.Duration, holder ident.Process, dead time.Duration) bool {
	r := c.reclaimOf(holder)
	if !r.told || now-dead < c.e.cfg.SelfLease+recoverMargin {
		return false
	}
	all := true
	for p, addr := range c.usable(now, r) {
		if at, gone := c.gone[p]; gone {
			all = all && now-at > c.endBound()
			continue
		}
		if !r.clear[p] {
			all = false
			c.askFenced(r, holder, p, addr)
		}
	}
	for _, at := range c.gone {
		all = all && now-at > c.endBound()
	}
	return all
}

// usable returns the sidecars that a dead holder may have used, with their
// addresses: those that it listed and those that any live entry instance lists
// or has listed within the longest deadline. A sidecar that only the holder
// knew has granted nothing: it waits for a second entry instance to attach to.
func (c *core) usable(now time.Duration, r *reclaim) map[ident.Process]string {
	all := map[ident.Process]string{}
	for p, l := range c.unlisted {
		if now-l.at <= c.endBound() {
			all[p] = l.addr
		}
	}
	for _, s := range r.listed {
		all[s.Peer.Process] = s.Peer.Address
	}
	for _, ps := range c.peers {
		for _, s := range ps.sidecars {
			all[s.Peer.Process] = s.Peer.Address
		}
	}
	for p, s := range c.links {
		all[p] = s.peer.Address
	}
	return all
}

// askFenced fences the holder at a sidecar and asks whether it runs any of its
// tasks. A failed call is repeated at the next check.
func (c *core) askFenced(r *reclaim, holder, sidecar ident.Process, addr string) {
	if r.asking[sidecar] || c.e.ctx == nil {
		return
	}
	r.asking[sidecar] = true
	c.e.wg.Go(func() {
		client := rpcnet.NewClientWithDialer(addr, c.e.cfg.Dial)
		defer client.Close()
		ctx, cancel := context.WithTimeout(c.e.ctx, callTimeout)
		defer cancel()
		var reply wire.FenceOwnerReply
		req := wire.FenceOwnerRequest{Owners: []ident.Process{holder}}
		err := client.Call(ctx, wire.ServiceSidecar+".FenceOwner", &req, &reply)
		c.post(func(now time.Duration) {
			delete(r.asking, sidecar)
			if err == nil {
				c.fencedAt(now, r, holder, sidecar, &reply)
			}
		})
	})
}

// fencedAt takes the answer of the process at a sidecar's address.
func (c *core) fencedAt(now time.Duration, r *reclaim, holder, sidecar ident.Process, reply *wire.FenceOwnerReply) {
	switch {
	case reply.Sidecar != sidecar:
		// Another incarnation has taken the address, so this one has ended.
		if _, known := c.gone[sidecar]; !known {
			c.gone[sidecar] = now
		}
	case !slices.Contains(reply.StillRunning, holder):
		r.clear[sidecar] = true
	}
}

// forgetReclaims drops what is kept of holders that hold nothing any more.
func (c *core) forgetReclaims(holders map[string]bool) {
	for h := range c.missing {
		if !holders[h] {
			delete(c.missing, h)
		}
	}
	for p := range c.reclaims {
		m, known := c.entries.Get(p)
		if !holders[p.String()] && (!known || m.State == membership.Dead) {
			delete(c.reclaims, p)
		}
	}
}

// longestDeadline returns the longest deadline of any kind that this process
// has had in force.
func (c *core) longestDeadline() time.Duration {
	for _, k := range c.document.Kinds {
		d := time.Duration(k.Spec.DeadlineMs) * time.Millisecond
		if d <= 0 {
			d = dispatch.DefaultDeadline
		}
		c.deadline = max(c.deadline, d)
	}
	return c.deadline
}
