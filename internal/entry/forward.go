package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// forwardTimeout bounds one forwarded call; a waiting call is repeated.
	forwardTimeout = 10 * time.Second
	// forwardPause is the pause before an owner that did not answer is called
	// again.
	forwardPause = 200 * time.Millisecond
)

// forward passes a request to the owner of the submission. If the owner is
// dead, the answer is recovered from the sidecars.
func (e *Entry) forward(ctx context.Context, id ident.SubmissionID, req *wire.ForwardRequest) jobapi.JobAnswer {
	for {
		client, state := e.ownerOf(id.Owner)
		switch state {
		case ownerDead:
			return e.recoverJob(ctx, id, req.Job)
		case ownerUnknown:
			return unknown(req.Submission, jobapi.ReasonOwnerUnreachable, "the owner of the submission is not known or not reached here")
		}
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		var reply wire.ForwardReply
		err := client.Call(callCtx, wire.ServiceEntry+".Forward", req, &reply)
		cancel()
		if err == nil {
			return reply.Answer
		}
		var failure *rpcnet.Error
		if errors.As(err, &failure) && failure.Kind == nil || errors.Is(err, syscall.ECONNREFUSED) {
			// The process at that address is another incarnation, or has ended.
			e.core.call(func(now time.Duration) { e.core.killEntry(now, id.Owner) })
			continue
		}
		e.log(event.HTTPForwardFailed, "owner", id.Owner.String(), "err", err)
		if ctx.Err() != nil {
			return unknown(req.Submission, jobapi.ReasonOwnerUnreachable, "the owner of the submission did not answer in time")
		}
		time.Sleep(forwardPause)
		e.core.call(e.core.applySilence)
	}
}

// maxDead bounds the dead incarnations that questions about unknown ones of
// this instance's own name may add: each is fenced at every sidecar, so
// invented IDs would cost the fleet many calls.
const maxDead = 64

type ownerState uint8

const (
	ownerLive ownerState = iota
	ownerDead
	ownerUnknown
)

// ownerOf returns the client of a live owner, or its state.
func (e *Entry) ownerOf(p ident.Process) (*rpcnet.Client, ownerState) {
	v := e.core.view.Load()
	if client := v.peers[p]; client != nil {
		return client, ownerLive
	}
	for _, dead := range v.dead {
		if dead == p {
			return nil, ownerDead
		}
	}
	m, known := v.known[p]
	if p.Instance == e.cfg.Instance && len(v.dead) >= maxDead {
		return nil, ownerUnknown
	}
	if p.Instance == e.cfg.Instance {
		// An earlier process under this instance's own name.
		e.core.call(func(now time.Duration) { e.core.killEntry(now, p) })
		return nil, ownerDead
	}
	if known && m.Peer.Region != e.cfg.Region {
		// The other region may only be cut off and still run the job.
		return nil, ownerUnknown
	}
	if known {
		// Silent for longer than the bound: a caller asks, so it is given up.
		e.core.call(func(now time.Duration) { e.core.killEntry(now, m.Peer.Process) })
		return nil, ownerDead
	}
	return nil, ownerUnknown
}

// killEntry declares an entry incarnation dead and has it fenced.
func (c *core) killEntry(now time.Duration, p ident.Process) {
	c.entries.MarkDead(now, p)
	c.follow(now)
}

// applySilence applies the silence bound to the peers now.
func (c *core) applySilence(now time.Duration) {
	c.entries.Tick(now)
	c.follow(now)
}
