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

// link is the connection to one entry instance. Only the core goroutine uses it. Each
// call runs in a goroutine of its own. At most one Attach, one Beat and one Results run
// on a link at a time.
type link struct {
	addr   string
	client *rpcnet.Client
	// peer is the entry incarnation that replied to the last Attach.
	peer             wire.Peer
	attached         bool
	submissionWindow uint64
	// granting is true while the entry instance is attached to the state machine,
	// which grants it credits.
	granting bool
	// unwanted is true if the sidecar should not be attached to the entry instance.
	// The link stays open until all results of its tasks are acknowledged or dropped.
	unwanted bool
	// entries is the list of live entry instances in the last Attach reply, and
	// entriesHash the EntriesHash of the last heartbeat reply.
	entries     []wire.Peer
	entriesHash uint64
	replySeq    uint64
	draining    bool

	attachInFlight, heartbeatInFlight, resultsInFlight bool
	// attachDue requests another Attach. heartbeatDue and grantsDue request a
	// heartbeat; a Results call also sends the grants.
	attachDue, heartbeatDue, grantsDue bool
	lastHeartbeat, lastReply           time.Duration
	failures                           int
	retryAt                            time.Duration
}

// startDueCalls starts the calls that are due on a link.
func (s *Sidecar) startDueCalls(now time.Duration, l *link) {
	if now < l.retryAt {
		return
	}
	if (!l.attached || l.attachDue) && !l.attachInFlight {
		s.sendAttach(now, l)
	}
	if !l.attached {
		return
	}
	if o := s.outboxes[l.peer.Process]; o != nil && len(o.queue) > 0 && !l.resultsInFlight {
		s.sendResults(now, l, o)
	}
	intervalElapsed := now-l.lastHeartbeat >= s.cfg.HeartbeatInterval
	if !l.heartbeatInFlight && (l.heartbeatDue || l.grantsDue || intervalElapsed) {
		s.sendHeartbeat(now, l)
	}
}

// call makes an RPC call in a new goroutine and runs done with its result on the core
// goroutine.
func (s *Sidecar) call(l *link, method string, args, reply any, done func(now time.Duration, err error)) {
	client := l.client
	s.pendingCalls.Add(1)
	go func() {
		defer s.pendingCalls.Done()
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
		defer cancel()
		err := client.Call(ctx, wire.ServiceEntry+"."+method, args, reply)
		s.post(func() { done(s.deps.Clock(), err) })
	}()
}

func (s *Sidecar) sendAttach(now time.Duration, l *link) {
	l.attachInFlight = true
	l.attachDue = false
	described := s.backend.described
	req := &wire.AttachRequest{Sidecar: s.self, Backend: s.backend.announced(), Revisions: s.config.revisions(), Entries: s.liveEntries()}
	reply := &wire.AttachReply{}
	s.call(l, "Attach", req, reply, func(now time.Duration, err error) {
		l.attachInFlight = false
		if err != nil {
			l.attachDue = true
			s.callFailed(now, l, "attach", err)
			return
		}
		if described != s.backend.described && (described == nil || !sameBackend(described, s.backend.described)) {
			l.attachDue = true // the entry instance has heard of an earlier backend server
			return
		}
		s.handleAttachReply(now, l, reply)
	})
}

// handleAttachReply stores the data of an Attach reply and fences the entry
// incarnations that it lists as dead.
func (s *Sidecar) handleAttachReply(now time.Duration, l *link, reply *wire.AttachReply) {
	s.callSucceeded(now, l)
	if l.peer.Process != reply.Entry.Process {
		s.detach(now, l)
		s.deps.Log("entry-attached", "attached to %s at %s", reply.Entry.Process, reply.Entry.Address)
	}
	l.peer = reply.Entry
	l.submissionWindow = reply.Window
	l.entries = reply.Entries
	l.draining = reply.Draining
	l.attached = true
	l.heartbeatDue = true
	for _, dead := range reply.DeadEntries {
		s.fenceOwner(now, dead)
	}
	s.config.noteRevisions(reply.Revisions)
	s.pullConfig(l, reply.Revisions)
	s.reconcile(now)
}

// detach marks a link as not attached and detaches the entry incarnation from the state
// machine, which voids the credits of that incarnation.
func (s *Sidecar) detach(now time.Duration, l *link) {
	if l.granting {
		s.machine.Detach(now, l.peer.Process)
		l.granting = false
	}
	l.attached = false
	l.entriesHash = 0
	l.replySeq = 0
}

// callSucceeded resets the backoff of a link and records the time of the reply.
func (s *Sidecar) callSucceeded(now time.Duration, l *link) {
	l.failures = 0
	l.retryAt = 0
	l.lastReply = now
}

// callFailed delays the next calls of startDueCalls on a link, with exponential backoff
// and full jitter. If the connection was refused, it detaches the entry instance.
func (s *Sidecar) callFailed(now time.Duration, l *link, operation string, err error) {
	maxDelay := s.cfg.BackoffBase << min(l.failures, 16)
	if maxDelay <= 0 || maxDelay > s.cfg.BackoffCap {
		maxDelay = s.cfg.BackoffCap
	}
	if errors.Is(err, syscall.ECONNREFUSED) && l.attached {
		// The process has ended. The slots of its credits can be granted to other
		// entry instances at once.
		s.detach(now, l)
		s.reconcile(now)
	}
	l.failures++
	l.retryAt = now + time.Duration(s.deps.Rand.Int63n(int64(maxDelay)+1))
	if l.failures == 1 {
		s.deps.Log("entry-unreachable", "%s call to entry instance %s: %v", operation, l.addr, err)
		if !slices.ContainsFunc(s.links, func(o *link) bool { return o.attached }) {
			s.deps.Log("no-entry", "no entry instance is attached; addresses known: %d", len(s.links))
		}
	}
}

func (s *Sidecar) sendHeartbeat(now time.Duration, l *link) {
	l.heartbeatInFlight, l.heartbeatDue, l.grantsDue = true, false, false
	l.lastHeartbeat = now
	process := l.peer.Process
	req := &wire.HeartbeatRequest{Sidecar: s.self.Process, Entry: process, AckedSeq: l.replySeq,
		Grants: s.machine.TakeGrants(now, process), Revisions: s.config.revisions(),
		Leaving: s.leaving() || l.unwanted, Fenced: s.machine.OwnerFenced(process)}
	req.HeldCredits, req.FreeSlots, req.CreditsElsewhere = s.machine.CreditCounts(process)
	reply := &wire.HeartbeatReply{}
	s.stats.Heartbeats.Add(1)
	s.call(l, "Beat", req, reply, func(now time.Duration, err error) {
		l.heartbeatInFlight = false
		if err != nil {
			s.callFailed(now, l, "beat", err)
			return
		}
		if l.peer.Process == process {
			s.handleHeartbeatReply(now, l, reply)
		}
	})
}

// handleHeartbeatReply applies the demand in a heartbeat reply and requests another
// Attach if the list of entry instances has changed.
func (s *Sidecar) handleHeartbeatReply(now time.Duration, l *link, reply *wire.HeartbeatReply) {
	s.callSucceeded(now, l)
	if reply.Unattached {
		s.detach(now, l)
		return
	}
	l.replySeq = max(l.replySeq, reply.Seq)
	l.draining = reply.Draining
	if reply.EntriesHash != l.entriesHash {
		// The list of the last Attach is known to be current only if the hash was the
		// same before and after that Attach.
		l.entriesHash = reply.EntriesHash
		l.attachDue = true
	}
	s.setDemand(now, l.peer.Process, reply.DemandSeq, reply.Demand)
	s.config.noteRevisions(reply.Revisions)
	s.pullConfig(l, reply.Revisions)
}

// sendRecall requests unspent credits back from an entry instance.
func (s *Sidecar) sendRecall(a slots.Recall) {
	l := s.attachedLink(a.Entry)
	if l == nil {
		return
	}
	s.stats.Recalls.Add(1)
	req := &wire.RecallRequest{Sidecar: s.self.Process, Entry: a.Entry, Count: a.Count}
	reply := &wire.RecallReply{}
	s.call(l, "Recall", req, reply, func(now time.Duration, err error) {
		if err != nil {
			s.machine.ReturnCredits(now, a.Entry, nil)
			s.callFailed(now, l, "recall", err)
			return
		}
		if len(reply.Returned) == 0 {
			s.stats.EmptyRecalls.Add(1)
		}
		s.machine.ReturnCredits(now, a.Entry, reply.Returned)
		s.setDemand(now, a.Entry, reply.DemandSeq, reply.Demand)
	})
}

// attachedLink returns the link that is attached to an entry incarnation, or nil.
func (s *Sidecar) attachedLink(process ident.Process) *link {
	for _, l := range s.links {
		if l.attached && l.peer.Process == process {
			return l
		}
	}
	return nil
}

// fenceOwner forbids all further starts for an entry incarnation and requests a
// heartbeat, which reports the fence.
func (s *Sidecar) fenceOwner(now time.Duration, owner ident.Process) {
	if !s.machine.OwnerFenced(owner) {
		s.deps.Log("owner-fenced", "further starts for %s are refused", owner)
	}
	s.machine.FenceOwner(now, owner)
	if l := s.attachedLink(owner); l != nil {
		l.heartbeatDue = true
	}
}
