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
	// forwardTimeout is the timeout of one forwarded call. forward repeats a call
	// that waits longer for the end of a job.
	forwardTimeout = 10 * time.Second
	// forwardRetryInterval is the time before forward repeats a call to an owner
	// that did not answer.
	forwardRetryInterval = 200 * time.Millisecond
)

// forward sends a request to the owner of the submission. If the owner is dead,
// it recovers the answer from the ledgers of the sidecars.
func (e *Entry) forward(ctx context.Context, id ident.SubmissionID, req *wire.ForwardRequest) jobapi.JobAnswer {
	for {
		client, state := e.lookUpOwner(id.Owner)
		switch state {
		case ownerDead:
			return e.recoverJob(ctx, id, req.Job)
		case ownerUnknown:
			return outcomeUnknown(req.Submission, jobapi.ReasonOwnerUnreachable, "this entry instance does not know the owner of the submission or cannot reach it")
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
			// The process at that address is another incarnation or has ended.
			e.core.call(func(now time.Duration) { e.core.markEntryDead(now, id.Owner) })
			continue
		}
		e.log(event.HTTPForwardFailed, "owner", id.Owner.String(), "err", err)
		if ctx.Err() != nil {
			return outcomeUnknown(req.Submission, jobapi.ReasonOwnerUnreachable, "the owner of the submission did not answer in time")
		}
		time.Sleep(forwardRetryInterval)
		e.core.call(e.core.updateEntryStates)
	}
}

// maxDeadEntries limits the dead entry incarnations that queries can add. When
// that many are dead, lookUpOwner declares no further incarnation of this instance
// dead. Every sidecar fences each dead incarnation, so queries with invented
// submission IDs would cause many calls.
const maxDeadEntries = 64

type ownerState uint8

const (
	ownerLive ownerState = iota
	ownerDead
	ownerUnknown
)

// lookUpOwner returns the state of an owner, and the client if it is live. It
// declares an owner dead if that is safe.
func (e *Entry) lookUpOwner(p ident.Process) (*rpcnet.Client, ownerState) {
	v := e.core.view.Load()
	if client := v.peers[p]; client != nil {
		return client, ownerLive
	}
	for _, dead := range v.deadEntries {
		if dead == p {
			return nil, ownerDead
		}
	}
	m, known := v.entryMembers[p]
	if p.Instance == e.cfg.Instance && len(v.deadEntries) >= maxDeadEntries {
		return nil, ownerUnknown
	}
	if p.Instance == e.cfg.Instance {
		// The owner is an earlier incarnation of this instance.
		e.core.call(func(now time.Duration) { e.core.markEntryDead(now, p) })
		return nil, ownerDead
	}
	if known && m.Peer.Region != e.cfg.Region {
		// A network partition may separate the other region, where the owner may
		// still run the job.
		return nil, ownerUnknown
	}
	if known {
		// The owner has been silent for SilentAfter, and a caller waits for an
		// answer, so declare the owner dead.
		e.core.call(func(now time.Duration) { e.core.markEntryDead(now, m.Peer.Process) })
		return nil, ownerDead
	}
	return nil, ownerUnknown
}

// markEntryDead declares an entry incarnation dead and fences it at the sidecars.
func (c *core) markEntryDead(now time.Duration, p ident.Process) {
	c.entryTable.MarkDead(now, p)
	c.applyTransitions(now)
}

// updateEntryStates marks the entry instances without recent contact as silent or
// dead.
func (c *core) updateEntryStates(now time.Duration) {
	c.entryTable.Tick(now)
	c.applyTransitions(now)
}
