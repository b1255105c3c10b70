package sidecar

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// maxBatchBytes is the total size of result bodies above which no further result is
// added to a call. The last body can exceed it by MaxResultBodyBytes, and the frame
// still stays below rpcnet.MaxFrameBytes.
const maxBatchBytes = 2 << 20

// outbox holds the results that an owner has not acknowledged yet.
type outbox struct {
	owner        ident.Process
	queue        []wire.TaskResult
	inFlight     []wire.TaskResult
	lastProgress time.Duration // time of the last acknowledgement, or of the first result
}

// size returns the number of unacknowledged results.
func (o *outbox) size() int { return len(o.queue) + len(o.inFlight) }

// takeBatch moves the next batch from the queue to inFlight and returns it.
func (o *outbox) takeBatch() []wire.TaskResult {
	n, bytes := 0, 0
	for n < len(o.queue) && (n == 0 || bytes < maxBatchBytes) {
		bytes += len(o.queue[n].Body)
		n++
	}
	o.inFlight = o.queue[:n:n]
	o.queue = o.queue[n:]
	return o.inFlight
}

// requeue moves the batch in inFlight back to the front of the queue.
func (o *outbox) requeue() {
	o.queue = append(o.inFlight, o.queue...)
	o.inFlight = nil
}

func (s *Sidecar) sendResults(now time.Duration, l *link, o *outbox) {
	l.resultsInFlight = true
	l.grantsDue = false
	req := &wire.ResultsRequest{Sidecar: s.self.Process, Entry: o.owner, Results: o.takeBatch(), Grants: s.machine.TakeGrants(now, o.owner)}
	reply := &wire.ResultsReply{}
	s.stats.ResultCalls.Add(1)
	s.call(l, "Results", req, reply, func(now time.Duration, err error) {
		l.resultsInFlight = false
		if err != nil {
			s.stats.ResultRetries.Add(int64(len(o.inFlight)))
			o.requeue()
			s.callFailed(now, l, "results", err)
			return
		}
		s.callSucceeded(now, l)
		o.inFlight = nil
		o.lastProgress = now
		if len(o.queue) == 0 {
			delete(s.outboxes, o.owner)
		}
		s.setDemand(now, o.owner, reply.DemandSeq, reply.Demand)
	})
}

// dropUndeliverableResults drops the results for owners that have been fenced, that
// another incarnation has replaced, or that have not acknowledged any result for the
// result timeout. The ledger still holds the results.
func (s *Sidecar) dropUndeliverableResults(now time.Duration) {
	for owner, o := range s.outboxes {
		if len(o.inFlight) > 0 || now-o.lastProgress < s.resultTimeout() && !s.isReplaced(owner) && !s.machine.OwnerFenced(owner) {
			continue
		}
		s.deps.Log("results-dropped", "%d results for %s are not delivered", len(o.queue), owner)
		delete(s.outboxes, owner)
	}
}

// resultTimeout returns how long the sidecar keeps results for an owner that it can't
// reach. During a shutdown, EntryTimeout limits this time.
func (s *Sidecar) resultTimeout() time.Duration {
	if s.shuttingDown {
		return min(s.cfg.ResultTimeout, s.cfg.EntryTimeout)
	}
	return s.cfg.ResultTimeout
}

// isReplaced reports whether the sidecar is attached to another incarnation of the
// owner and not to the owner itself.
func (s *Sidecar) isReplaced(owner ident.Process) bool {
	if s.attachedLink(owner) != nil {
		return false
	}
	for _, l := range s.links {
		p := l.peer.Process
		if l.attached && p.Instance == owner.Instance && p.Incarnation != owner.Incarnation {
			return true
		}
	}
	return false
}
