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

// sentTimesKept is the number of heartbeat replies whose send times are kept.
const sentTimesKept = 16

// attachedSidecar holds what the core knows about an attached sidecar incarnation.
type attachedSidecar struct {
	peer    wire.Peer
	backend *wire.Backend
	client  *sidecarClient
	// replySeq is the sequence number of the last heartbeat reply. replySentAt
	// holds the send times of the last replies, indexed by the sequence number
	// modulo sentTimesKept.
	replySeq    uint64
	replySentAt [sentTimesKept]time.Duration
	// ackedSentAt is when the newest acknowledged message was sent, or when the
	// sidecar attached if none was acknowledged.
	ackedSentAt time.Duration
	inForce     uint64
	leaving     bool
}

// handleAttach handles the RPC Entry.Attach.
func (c *core) handleAttach(now time.Duration, req *wire.AttachRequest, reply *wire.AttachReply) {
	c.fillAttachReply(reply)
	p := req.Sidecar.Process
	rack := ""
	if req.Backend != nil {
		rack = req.Backend.Rack
	}
	if !c.sidecarTable.RecordContact(now, req.Sidecar, rack, 0) {
		return
	}
	c.applyTransitions(now)
	s := c.attachedSidecars[p]
	if s == nil || s.peer.Address != req.Sidecar.Address {
		if s != nil {
			s.client.close()
		}
		s = &attachedSidecar{peer: req.Sidecar, client: newSidecarClient(c, req.Sidecar), ackedSentAt: now}
		c.attachedSidecars[p] = s
		c.e.log(event.SidecarAttached, "sidecar", p.String(), "address", req.Sidecar.Address)
	}
	s.peer, s.backend, s.inForce = req.Sidecar, req.Backend, req.Revisions.InForce
	c.e.configSource.ObserveRevision(req.Revisions.Known)
	c.e.pullConfigFromSidecar(s.client, req.Revisions)
	for _, e := range req.Entries {
		c.addPeer(e)
	}
	c.machine.Attach(now, dispatch.Worker{Sidecar: req.Sidecar, Backend: req.Backend})
	c.publishView()
}

func (c *core) fillAttachReply(reply *wire.AttachReply) {
	v := c.view.Load()
	reply.Entry = v.self
	reply.Window = c.window.Load()
	reply.Revisions = c.e.configSource.Revisions()
	reply.Entries, reply.EntriesHash = v.entries, v.entriesHash
	reply.DeadEntries = v.deadEntries
	reply.Draining = c.draining.Load()
}

// handleHeartbeat handles the RPC Entry.Beat.
func (c *core) handleHeartbeat(now time.Duration, req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) {
	s := c.attachedSidecars[req.Sidecar]
	if s == nil || req.Entry != *c.self.Load() || !c.sidecarTable.RecordContact(now, s.peer, rackOf(s.backend), 0) {
		reply.Unattached = true
		return
	}
	if req.Fenced {
		c.e.log(event.EntryFenced, "sidecar", req.Sidecar.String())
		c.restartIncarnation(now)
		reply.Unattached = true
		return
	}
	if at := s.replySentAt[req.AckedSeq%sentTimesKept]; req.AckedSeq > 0 && req.AckedSeq <= s.replySeq && req.AckedSeq+sentTimesKept > s.replySeq {
		c.recordAck(now, s, at)
	}
	s.replySeq++
	s.replySentAt[s.replySeq%sentTimesKept] = now
	s.inForce = req.Revisions.InForce
	c.e.configSource.ObserveRevision(req.Revisions.Known)
	c.e.pullConfigFromSidecar(s.client, req.Revisions)
	if req.Leaving != s.leaving {
		s.leaving = req.Leaving
		c.machine.SetLeaving(now, req.Sidecar, req.Leaving)
		c.e.log(event.BackendLeaving, "sidecar", req.Sidecar.String(), "leaving", req.Leaving)
	}
	c.machine.SetLoad(now, req.Sidecar, req.HeldCredits, req.FreeSlots, req.CreditsElsewhere)
	c.machine.Grant(now, req.Sidecar, req.Grants)
	v := c.view.Load()
	reply.Seq = s.replySeq
	reply.Window = c.window.Load()
	reply.Revisions = c.e.configSource.Revisions()
	reply.EntriesHash = v.entriesHash
	reply.Draining = c.draining.Load()
}

// recordAck records that the sidecar acknowledged a message sent at sentAt.
func (c *core) recordAck(now time.Duration, s *attachedSidecar, sentAt time.Duration) {
	s.ackedSentAt = max(s.ackedSentAt, sentAt)
	c.sidecarTable.RecordContact(now, s.peer, rackOf(s.backend), 0)
}

// handleCallError handles a failed call to a sidecar. err is nil if another
// incarnation answered. A refused connection also means that the sidecar process
// has ended.
func (c *core) handleCallError(now time.Duration, s *attachedSidecar, err error) {
	if err != nil {
		c.e.log(event.RPCConnectionLost, "err", err)
	}
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		c.markSidecarDead(now, s.peer.Process)
	}
}

// markSidecarDead declares a sidecar incarnation dead.
func (c *core) markSidecarDead(now time.Duration, p ident.Process) {
	c.sidecarTable.MarkDead(now, p)
	c.applyTransitions(now)
}

// applyTransitions handles the state changes in the membership tables.
func (c *core) applyTransitions(now time.Duration) {
	changed := false
	for _, t := range c.sidecarTable.TakeTransitions() {
		changed = true
		p := t.Member.Peer.Process
		switch t.Member.State {
		case membership.Live:
			delete(c.goneSidecars, p)
			c.machine.SetLeaving(now, p, c.attachedSidecars[p] != nil && c.attachedSidecars[p].leaving)
		case membership.Silent:
			c.machine.SetLeaving(now, p, true)
			c.e.log(event.SidecarLost, "sidecar", p.String())
		case membership.Dead:
			c.goneSidecars[p] = now
			c.lossGrouper.Add(now, t.Member)
			c.machine.Detach(now, p)
			c.removeSidecar(p)
		}
	}
	for _, t := range c.entryTable.TakeTransitions() {
		changed = true
		c.handleEntryTransition(now, t)
	}
	if changed {
		c.publishView()
	}
}

func (c *core) removeSidecar(p ident.Process) {
	if s := c.attachedSidecars[p]; s != nil {
		s.client.close()
		delete(c.attachedSidecars, p)
	}
}

func rackOf(b *wire.Backend) string {
	if b == nil {
		return ""
	}
	return b.Rack
}
