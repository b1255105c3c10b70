package broker

import (
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/failstop"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// cancelWait is the time for which Cancel waits for the peers.
	cancelWait = 700 * time.Millisecond
	// cancelInterval is the least time between two messages with cancellations to a peer, which
	// bounds their rate however many jobs are canceled.
	cancelInterval = 100 * time.Millisecond
	// cancelRetryTime is the time for which a peer that does not answer is told of a canceled job.
	cancelRetryTime = 10 * time.Second
	// maxCanceledJobs bounds the jobs in one message, and maxQueuedCancellations those of which a
	// peer is still to be told.
	maxCanceledJobs        = 1000
	maxQueuedCancellations = 4096
)

// ErrCancelBacklog means that a peer does not answer, and that more canceled jobs than it may be told
// of are waiting for it.
const ErrCancelBacklog = errors.ConstError("too many cancellations are waiting for another entry instance")

// cancellation is a canceled job of which a peer is to be told.
type cancellation struct {
	job   string
	until time.Duration
	// known gets what the peer answers, false if it has no job with that ID under way.
	known chan<- bool
}

// Cancel cancels a job at whichever entry instance it is under way, so that none of its tasks runs
// or starts any more. All instances are told, because a submission of the job may still be on its
// way to any of them. Cancel returns false if no instance has it under way. If a peer does not answer
// in time, also one that has never replied, Cancel returns true, and the peer is told until it answers.
// With ErrCancelBacklog, nothing is canceled.
func (b *Broker) Cancel(id string) (canceled bool, err error) {
	defer failstop.OnPanic()
	b.mu.Lock()
	now := clock.SinceBoot()
	for _, p := range b.peers {
		if len(p.cancellations) >= maxQueuedCancellations {
			b.mu.Unlock()
			event.LogRateLimited(event.JobCanceled, "job", id, "canceled", false, "peer", p.member.Address, "err", ErrCancelBacklog)
			return false, ErrCancelBacklog
		}
	}
	canceled = b.machine.Cancel(now, id)
	b.runMachine(now)
	asked, answers := len(b.peers), make(chan bool, len(b.peers))
	for _, p := range b.peers {
		p.cancellations = append(p.cancellations, cancellation{id, now + cancelRetryTime, answers})
		b.startSendingCancellations(p)
	}
	b.mu.Unlock()
	timeout := time.NewTimer(cancelWait)
	defer timeout.Stop()
	answered := 0
	for answered < asked && !canceled {
		select {
		case canceled = <-answers:
			answered++
		case <-timeout.C:
			canceled = true
		}
	}
	event.LogRateLimited(event.JobCanceled, "job", id, "canceled", canceled, "asked", asked, "answered", answered)
	return canceled, nil
}

// startSendingCancellations starts sending the cancellations for a peer, unless that is under way;
// mu is held.
func (b *Broker) startSendingCancellations(p *peer) {
	if p.sendingCancellations || b.ctx.Err() != nil {
		return
	}
	p.sendingCancellations = true
	b.wg.Go(func() { b.sendCancellations(p) })
}

// sendCancellations sends the cancellations for a peer until it has answered all or they have
// expired.
func (b *Broker) sendCancellations(p *peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(p.cancellations) > 0 && b.ctx.Err() == nil {
		batch := p.cancellations[:min(len(p.cancellations), maxCanceledJobs)]
		req := wire.CancelRequest{From: b.self.Process}
		for _, c := range batch {
			req.Jobs = append(req.Jobs, c.job)
		}
		b.mu.Unlock()
		var reply wire.CancelReply
		err := p.rpcClient.CallWithTimeout(b.ctx, callTimeout, wire.ServiceBroker+".Cancel", &req, &reply)
		clock.Sleep(b.ctx, cancelInterval)
		b.mu.Lock()
		if err != nil && !refusedByPeer(err) {
			p.dropExpired(clock.SinceBoot())
			continue
		}
		for i, c := range batch {
			c.known <- i < len(reply.Known) && reply.Known[i]
		}
		p.cancellations = p.cancellations[len(batch):]
	}
	p.sendingCancellations, p.cancellations = false, nil
}

// refusedByPeer reports whether a peer has answered a call with an error: it is of an earlier
// release, in which jobs can't be canceled.
func refusedByPeer(err error) bool {
	var failed *rpcnet.Error
	return errors.As(err, &failed) && failed.Kind == nil
}

// dropExpired removes the cancellations of which the peer is not told any more; mu is held.
func (p *peer) dropExpired(now time.Duration) {
	for len(p.cancellations) > 0 && now > p.cancellations[0].until {
		p.cancellations = p.cancellations[1:]
	}
}

// Cancel handles the cancellations that a peer passes on.
func (s *rpcService) Cancel(req *wire.CancelRequest, reply *wire.CancelReply) error {
	b := s.broker
	if err := req.Validate(); err != nil {
		return rejectMessage(req.From, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	for _, id := range req.Jobs {
		reply.Known = append(reply.Known, b.machine.Cancel(now, id))
	}
	b.runMachine(now)
	return nil
}
