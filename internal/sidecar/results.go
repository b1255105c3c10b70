package sidecar

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// batchBytes bounds the result bodies of one call, so that its frame stays
// below rpcnet.MaxFrameBytes with one body of the largest size above it.
const batchBytes = 2 << 20

// outbox holds the results that an owner has not acknowledged.
type outbox struct {
	owner    ident.Process
	queue    []wire.TaskResult
	inFlight []wire.TaskResult
	since    time.Duration // last progress
}

func (b *outbox) size() int { return len(b.queue) + len(b.inFlight) }

// take moves the next batch from the queue into flight.
func (b *outbox) take() []wire.TaskResult {
	n, bytes := 0, 0
	for n < len(b.queue) && (n == 0 || bytes < batchBytes) {
		bytes += len(b.queue[n].Body)
		n++
	}
	b.inFlight = b.queue[:n:n]
	b.queue = b.queue[n:]
	return b.inFlight
}

// restore queues the batch in flight again, before later results.
func (b *outbox) restore() {
	b.queue = append(b.inFlight, b.queue...)
	b.inFlight = nil
}

func (s *Sidecar) sendResults(now time.Duration, l *link, b *outbox) {
	l.sending = true
	l.grants = false
	req := &wire.ResultsRequest{Sidecar: s.self.Process, Entry: b.owner, Results: b.take(), Grants: s.m.TakeGrants(now, b.owner)}
	reply := &wire.ResultsReply{}
	s.stats.ResultCalls.Add(1)
	s.call(l, "Results", req, reply, func(now time.Duration, err error) {
		l.sending = false
		if err != nil {
			s.stats.Repeats.Add(int64(len(b.inFlight)))
			b.restore()
			s.failed(now, l, "results", err)
			return
		}
		s.heard(now, l)
		b.inFlight = nil
		b.since = now
		if len(b.queue) == 0 {
			delete(s.outboxes, b.owner)
		}
		s.demand(now, b.owner, reply.Demand)
	})
}

// dropResults drops the results of owners that are dead or that could not be
// reached for long. The ledger still has them.
func (s *Sidecar) dropResults(now time.Duration) {
	for owner, b := range s.outboxes {
		if len(b.inFlight) > 0 || now-b.since < s.resultWait() && !s.replaced(owner) && !s.m.OwnerFenced(owner) {
			continue
		}
		s.deps.Log("results-dropped", "%d results for %s are not delivered", len(b.queue), owner)
		delete(s.outboxes, owner)
	}
}

// resultWait is how long results wait for an owner that can't be reached. A
// sidecar that shuts down waits only as long as a live owner may be silent.
func (s *Sidecar) resultWait() time.Duration {
	if s.closing {
		return min(s.cfg.ResultWait, s.cfg.SilentAfter)
	}
	return s.cfg.ResultWait
}

// replaced reports whether another incarnation of the owner has answered.
func (s *Sidecar) replaced(owner ident.Process) bool {
	for _, l := range s.links {
		p := l.peer.Process
		if l.attached && p.Instance == owner.Instance && p.Incarnation != owner.Incarnation {
			return true
		}
	}
	return false
}
