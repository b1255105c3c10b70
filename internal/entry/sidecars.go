package entry

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// sentRing is the number of beat replies whose send times are remembered.
const sentRing = 16

// attached is what the core knows of an attached sidecar incarnation.
type attached struct {
	peer    wire.Peer
	backend *wire.Backend
	link    *link
	// seq numbers the replies to beats; sentAt holds their times by seq.
	seq    uint64
	sentAt [sentRing]time.Duration
	// acked is when the newest acknowledged message was sent; negative if none.
	acked   time.Duration
	inForce uint64
	leaving bool
}

// attach handles Entry.Attach.
func (c *core) attach(now time.Duration, req *wire.AttachRequest, reply *wire.AttachReply) {
	c.fillAttach(reply)
	p := req.Sidecar.Process
	rack := ""
	if req.Backend != nil {
		rack = req.Backend.Rack
	}
	if !c.sidecars.RecordContact(now, req.Sidecar, rack, 0) {
		return
	}
	c.follow(now)
	s := c.links[p]
	if s == nil || s.peer.Address != req.Sidecar.Address {
		if s != nil {
			s.link.close()
		}
		s = &attached{peer: req.Sidecar, link: newLink(c, req.Sidecar), acked: now}
		c.links[p] = s
		c.e.log(event.SidecarAttached, "sidecar", p.String(), "address", req.Sidecar.Address)
	}
	s.peer, s.backend, s.inForce = req.Sidecar, req.Backend, req.Revisions.InForce
	c.e.config.ObserveRevision(req.Revisions.Known)
	c.e.pullFromSidecar(s.link, req.Revisions)
	for _, e := range req.Entries {
		c.hearOf(e)
	}
	c.machine.Attach(now, dispatch.Worker{Sidecar: req.Sidecar, Backend: req.Backend})
	c.publish()
}

func (c *core) fillAttach(reply *wire.AttachReply) {
	v := c.view.Load()
	reply.Entry = v.self
	reply.Window = c.window.Load()
	reply.Revisions = c.e.config.Revisions()
	reply.Entries, reply.EntriesHash = v.entries, v.entriesHash
	reply.DeadEntries = v.dead
	reply.Draining = c.draining.Load()
}

// beat handles Entry.Beat.
func (c *core) beat(now time.Duration, req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) {
	s := c.links[req.Sidecar]
	if s == nil || req.Entry != *c.self.Load() || !c.sidecars.RecordContact(now, s.peer, rackOf(s.backend), 0) {
		reply.Unattached = true
		return
	}
	if req.Fenced {
		c.e.log(event.EntryFenced, "sidecar", req.Sidecar.String())
		c.restart(now)
		reply.Unattached = true
		return
	}
	if at := s.sentAt[req.AckedSeq%sentRing]; req.AckedSeq > 0 && req.AckedSeq <= s.seq && req.AckedSeq+sentRing > s.seq {
		c.alive(now, s, at)
	}
	s.seq++
	s.sentAt[s.seq%sentRing] = now
	s.inForce = req.Revisions.InForce
	c.e.config.ObserveRevision(req.Revisions.Known)
	c.e.pullFromSidecar(s.link, req.Revisions)
	if req.Leaving != s.leaving {
		s.leaving = req.Leaving
		c.machine.SetLeaving(now, req.Sidecar, req.Leaving)
		c.e.log(event.BackendLeaving, "sidecar", req.Sidecar.String(), "leaving", req.Leaving)
	}
	c.machine.SetLoad(now, req.Sidecar, req.HeldCredits, req.FreeSlots, req.CreditsElsewhere)
	c.machine.Grant(now, req.Sidecar, req.Grants)
	v := c.view.Load()
	reply.Seq = s.seq
	reply.Window = c.window.Load()
	reply.Revisions = c.e.config.Revisions()
	reply.EntriesHash = v.entriesHash
	reply.Draining = c.draining.Load()
}

// alive notes that the sidecar acknowledged a message sent at sentAt.
func (c *core) alive(now time.Duration, s *attached, sentAt time.Duration) {
	s.acked = max(s.acked, sentAt)
	c.sidecars.RecordContact(now, s.peer, rackOf(s.backend), 0)
}

// callFailed notes a failed call; err is nil if another incarnation answered.
// A refused connection also means that the process has ended.
func (c *core) callFailed(now time.Duration, s *attached, err error) {
	if err != nil {
		c.e.log(event.RPCConnectionLost, "err", err)
	}
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		c.loseSidecar(now, s.peer.Process)
	}
}

// loseSidecar declares a sidecar incarnation gone.
func (c *core) loseSidecar(now time.Duration, p ident.Process) {
	c.sidecars.MarkDead(now, p)
	c.follow(now)
}

// follow acts on the state changes of the membership tables.
func (c *core) follow(now time.Duration) {
	changed := false
	for _, t := range c.sidecars.TakeTransitions() {
		changed = true
		p := t.Member.Peer.Process
		switch t.Member.State {
		case membership.Live:
			delete(c.gone, p)
			c.machine.SetLeaving(now, p, c.links[p] != nil && c.links[p].leaving)
		case membership.Silent:
			c.machine.SetLeaving(now, p, true)
			c.e.log(event.SidecarLost, "sidecar", p.String())
		case membership.Dead:
			c.gone[p] = now
			c.losses.Add(now, t.Member)
			c.machine.Detach(now, p)
			c.dropSidecar(p)
		}
	}
	for _, t := range c.entries.TakeTransitions() {
		changed = true
		c.entryChanged(now, t)
	}
	if changed {
		c.publish()
	}
}

func (c *core) dropSidecar(p ident.Process) {
	if s := c.links[p]; s != nil {
		s.link.close()
		delete(c.links, p)
	}
}

func rackOf(b *wire.Backend) string {
	if b == nil {
		return ""
	}
	return b.Rack
}
