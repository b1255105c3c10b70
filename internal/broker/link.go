package broker

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// callTimeout bounds a call to a sidecar or peer.
	callTimeout = 350 * time.Millisecond
	// resendPause is the pause before a batch is sent again.
	resendPause = 20 * time.Millisecond
	// unusedAfter is the silence after which a link to a sidecar is closed.
	unusedAfter = 10 * time.Second
)

// errStale means that the sidecar found a batch too old; it is sent again.
const errStale = errors.ConstError("the batch was held up on its way")

// errInDoubt means that a batch was refused after an attempt without an answer,
// which may still be carried out. It is sent again until it is answered, or the
// sidecar's heartbeat tells that it has dropped the session, or that it is gone.
const errInDoubt = errors.ConstError("the batch was refused after an attempt without an answer")

// link sends to one sidecar incarnation. Batches go out one at a time and in
// order, each until the sidecar has answered it; a batch that arrives twice has
// no further effect. The fields are guarded by Broker.mu.
type link struct {
	b       *Broker
	sidecar ident.Process
	client  *rpcnet.Client
	queue   []placement.Batch
	sending bool
	heard   time.Duration
	// clockMs is the sidecar's clock in its newest heartbeat.
	clockMs int64
}

// link returns the link to a sidecar; mu is held.
func (b *Broker) link(p wire.Peer) *link {
	l := b.links[p.Process]
	if l == nil {
		l = &link{b: b, sidecar: p.Process, client: rpcnet.NewClient(p.Address)}
		b.links[p.Process] = l
		event.LogRateLimited(event.RunnerInContact, "sidecar", p.Process.String(), "address", p.Address, "zone", p.Zone)
	}
	return l
}

// dropLinks closes the links to sidecars that are not heard of; mu is held.
func (b *Broker) dropLinks(now time.Duration) {
	for id, l := range b.links {
		if now-l.heard > unusedAfter {
			delete(b.links, id)
			l.client.Close()
		}
	}
}

// send queues a batch; mu is held.
func (b *Broker) send(now time.Duration, s placement.Batch) {
	l := b.links[s.Sidecar]
	if l == nil {
		b.m.BatchRejected(now, s)
		return
	}
	l.queue = append(l.queue, s)
	if !l.sending {
		l.sending = true
		go l.run()
	}
}

// run sends what is queued.
func (l *link) run() {
	b := l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	maybe := false // an earlier attempt may have arrived
	for len(l.queue) > 0 && b.ctx.Err() == nil {
		s := b.m.Prune(l.queue[0])
		if len(s.Runs)+len(s.Stops) == 0 {
			// The next batch finds out whether the sidecar answers.
			b.m.SetUnresponsive(l.sidecar, false)
			b.m.ReleaseReservations(s)
			l.queue, maybe = l.queue[1:], false
			continue
		}
		batch := wire.RunBatch{Entry: b.self.Process, Sidecar: s.Sidecar, Session: s.Session, SidecarClockMs: l.clockMs, Sequence: s.Sequence, Runs: s.Runs, Stops: s.Stops}
		b.mu.Unlock()
		var reply wire.RunReply
		err := l.client.CallWithTimeout(b.ctx, callTimeout, wire.ServiceRunner+".Run", &batch, &reply)
		switch {
		case err != nil:
		case reply.Stale:
			err = errStale
		case reply.Rejected && maybe:
			err = errInDoubt
		}
		if err != nil {
			time.Sleep(resendPause)
		}
		b.mu.Lock()
		now := clock.SinceBoot()
		if err != nil {
			maybe = maybe || !errors.Is(err, rpcnet.ErrNotSent) && !errors.Is(err, errStale)
			if !l.failed(now, s, err, maybe) {
				continue
			}
		} else {
			l.carriedOut(now, s, &reply)
		}
		if len(l.queue) > 0 {
			l.queue = l.queue[1:]
		}
		maybe = false
		b.step(now)
	}
	l.sending = false
}

// carriedOut takes the final answer to a batch; mu is held.
func (l *link) carriedOut(now time.Duration, s placement.Batch, reply *wire.RunReply) {
	b := l.b
	b.m.SetUnresponsive(l.sidecar, false)
	if !reply.Rejected {
		b.m.SetLoad(now, l.sidecar, reply.Load)
		return
	}
	event.LogRateLimited(event.BatchRefused, "sidecar", l.sidecar.String(), "runs", len(s.Runs), "stops", len(s.Stops))
	b.m.BatchRejected(now, s)
}

// failed takes a call without an answer and reports whether the batch is given
// up: the sidecar process has ended or is not heard of any more.
func (l *link) failed(now time.Duration, s placement.Batch, err error, maybe bool) bool {
	b := l.b
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if !ended && b.m.InContact(now, l.sidecar) {
		b.m.SetUnresponsive(l.sidecar, true)
		return false
	}
	event.LogRateLimited(event.RunnerLost, "sidecar", l.sidecar.String(), "ended", ended, "err", err)
	if !maybe {
		b.m.BatchRejected(now, s)
	}
	if ended {
		b.m.SidecarEnded(now, l.sidecar)
	}
	return true
}

// service is what sidecars and peers call.
type service struct{ b *Broker }

// Beat takes the heartbeat of a sidecar.
func (s *service) Beat(req *wire.RunnerHeartbeat, reply *wire.RunnerHeartbeatReply) error {
	b := s.b
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	l := b.link(req.Info.Sidecar)
	l.heard, l.clockMs = now, max(l.clockMs, req.SidecarClockMs)
	b.m.Heartbeat(now, req.Info, req.Session, req.Load)
	b.step(now)
	b.dropLinks(now)
	if b.usable.Load() == 0 {
		b.noteWorkers()
	}
	reply.Entry = b.self.Process
	reply.Peers = b.peerAddresses()
	return nil
}

// Ends takes the ends of runs.
func (s *service) Ends(req *wire.EndBatch, reply *wire.EndReply) error {
	b := s.b
	if req.Entry != b.self.Process {
		reply.WrongIncarnation = true
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	b.m.SetLoad(now, req.Sidecar, req.Load)
	b.m.RunsEnded(now, req.Sidecar, req.Ends)
	b.step(now)
	return nil
}

// Config exchanges configuration versions with a peer.
func (s *service) Config(req *wire.ConfigExchangeRequest, reply *wire.ConfigExchangeReply) error {
	b := s.b
	if len(req.Config) > 0 {
		b.config.ApplyEncoded(req.Config, req.From)
	}
	reply.Version, reply.Config = b.newerThan(req.Version)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(req.From)
	reply.Peers = b.peerAddresses()
	return nil
}
