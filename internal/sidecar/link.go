package sidecar

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// link is the connection to one entry instance. It belongs to the core
// goroutine; calls run in goroutines of their own, at most one of each kind.
type link struct {
	addr   string
	client *rpcnet.Client
	// peer is the entry incarnation at the last attach.
	peer     wire.Peer
	attached bool
	window   uint64
	// granting is true while the state machine knows the entry instance.
	granting bool
	// unwanted links stay until all tasks of the owner have been reported.
	unwanted bool
	// entries is the list of live entry instances that the peer told, and
	// listHash the hash that the last beat reply showed of it.
	entries  []wire.Peer
	listHash uint64
	seq      uint64
	draining bool

	attaching, beating, sending bool
	// reattach asks for another Attach, beat and grants for a heartbeat.
	reattach, beat, grants bool
	lastBeat, lastHeard    time.Duration
	failures               int
	retryAt                time.Duration
}

// send starts the calls that are due on a link.
func (s *Sidecar) send(now time.Duration, l *link) {
	if now < l.retryAt {
		return
	}
	if (!l.attached || l.reattach) && !l.attaching {
		s.attach(now, l)
	}
	if !l.attached {
		return
	}
	if b := s.outboxes[l.peer.Process]; b != nil && len(b.queue) > 0 && !l.sending {
		s.sendResults(now, l, b)
	}
	due := now-l.lastBeat >= s.cfg.BeatInterval
	if !l.beating && (l.beat || l.grants || due) {
		s.sendBeat(now, l)
	}
}

// call runs a call outside of the core goroutine and handles its end on it.
func (s *Sidecar) call(l *link, method string, args, reply any, done func(now time.Duration, err error)) {
	client := l.client
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		err := client.Call(ctx, wire.ServiceEntry+"."+method, args, reply)
		s.post(func() { done(s.deps.Clock(), err) })
	}()
}

func (s *Sidecar) attach(now time.Duration, l *link) {
	l.attaching = true
	l.reattach = false
	req := &wire.AttachRequest{Sidecar: s.self, Backend: s.backend.announced(), Revisions: s.config.revisions(), Entries: s.known()}
	reply := &wire.AttachReply{}
	s.call(l, "Attach", req, reply, func(now time.Duration, err error) {
		l.attaching = false
		if err != nil {
			l.reattach = true
			s.failed(now, l, "attach", err)
			return
		}
		s.attachedTo(now, l, reply)
	})
}

func (s *Sidecar) attachedTo(now time.Duration, l *link, reply *wire.AttachReply) {
	s.heard(now, l)
	if l.peer.Process != reply.Entry.Process {
		s.forget(now, l)
		s.deps.Log("entry-attached", "attached to %s at %s", reply.Entry.Process, reply.Entry.Address)
	}
	l.peer = reply.Entry
	l.window = reply.Window
	l.entries = reply.Entries
	l.draining = reply.Draining
	l.attached = true
	l.beat = true
	for _, dead := range reply.DeadEntries {
		s.fenceOwner(now, dead)
	}
	s.config.heard(reply.Revisions)
	s.pullConfig(l, reply.Revisions)
	s.reconcile(now)
}

// forget ends the relation to the entry incarnation of a link.
func (s *Sidecar) forget(now time.Duration, l *link) {
	if l.granting {
		s.m.Detach(now, l.peer.Process)
		l.granting = false
	}
	l.attached = false
	l.listHash = 0
	l.seq = 0
}

func (s *Sidecar) heard(now time.Duration, l *link) {
	l.failures = 0
	l.retryAt = 0
	l.lastHeard = now
}

// failed delays the next call after a failed one, with exponential backoff
// and full jitter.
func (s *Sidecar) failed(now time.Duration, l *link, step string, err error) {
	limit := s.cfg.BackoffBase << min(l.failures, 16)
	if limit <= 0 || limit > s.cfg.BackoffCap {
		limit = s.cfg.BackoffCap
	}
	if errors.Is(err, syscall.ECONNREFUSED) && l.attached {
		// The process is gone; its credits go to others without a delay.
		s.forget(now, l)
		s.reconcile(now)
	}
	l.failures++
	l.retryAt = now + time.Duration(s.deps.Rand.Int63n(int64(limit)+1))
	if l.failures == 1 {
		s.deps.Log("entry-unreachable", "%s to entry instance %s: %v", step, l.addr, err)
		if !slices.ContainsFunc(s.links, func(o *link) bool { return o.attached }) {
			s.deps.Log("no-entry", "%d addresses known", len(s.links))
		}
	}
}

func (s *Sidecar) sendBeat(now time.Duration, l *link) {
	l.beating, l.beat, l.grants = true, false, false
	l.lastBeat = now
	process := l.peer.Process
	req := &wire.HeartbeatRequest{Sidecar: s.self.Process, Entry: process, AckedSeq: l.seq,
		Grants: s.m.TakeGrants(now, process), Revisions: s.config.revisions(),
		Leaving: s.leaving() || l.unwanted, Fenced: s.m.OwnerFenced(process)}
	req.HeldCredits, req.FreeSlots, req.CreditsElsewhere = s.m.CreditCounts(process)
	reply := &wire.HeartbeatReply{}
	s.stats.Beats.Add(1)
	s.call(l, "Beat", req, reply, func(now time.Duration, err error) {
		l.beating = false
		if err != nil {
			s.failed(now, l, "beat", err)
			return
		}
		if l.peer.Process == process {
			s.beatReply(now, l, reply)
		}
	})
}

func (s *Sidecar) beatReply(now time.Duration, l *link, reply *wire.HeartbeatReply) {
	s.heard(now, l)
	if reply.Unattached {
		s.forget(now, l)
		return
	}
	l.seq = max(l.seq, reply.Seq)
	l.draining = reply.Draining
	if reply.EntriesHash != l.listHash {
		// The list read by the last Attach is current only if the hash was
		// the same before and after it.
		l.listHash = reply.EntriesHash
		l.reattach = true
	}
	s.demand(now, l.peer.Process, reply.Demand)
	s.config.heard(reply.Revisions)
	s.pullConfig(l, reply.Revisions)
}

func (s *Sidecar) recall(a slots.Recall) {
	l := s.linkOf(a.Entry)
	if l == nil {
		return
	}
	s.stats.Recalls.Add(1)
	req := &wire.RecallRequest{Sidecar: s.self.Process, Entry: a.Entry, Count: a.Count}
	reply := &wire.RecallReply{}
	s.call(l, "Recall", req, reply, func(now time.Duration, err error) {
		if err != nil {
			s.m.ReturnCredits(now, a.Entry, nil)
			s.failed(now, l, "recall", err)
			return
		}
		if len(reply.Returned) == 0 {
			s.stats.RecallsEmpty.Add(1)
		}
		s.m.ReturnCredits(now, a.Entry, reply.Returned)
		s.demand(now, a.Entry, reply.Demand)
	})
}

// linkOf returns the attached link of an entry incarnation, or nil.
func (s *Sidecar) linkOf(process ident.Process) *link {
	for _, l := range s.links {
		if l.attached && l.peer.Process == process {
			return l
		}
	}
	return nil
}

func (s *Sidecar) fenceOwner(now time.Duration, owner ident.Process) {
	if !s.m.OwnerFenced(owner) {
		s.deps.Log("owner-fenced", "no further start for %s", owner)
	}
	s.m.FenceOwner(now, owner)
	if l := s.linkOf(owner); l != nil {
		l.beat = true
	}
}
