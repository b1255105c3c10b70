package entry

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxCallsInFlight is the maximum number of dispatch calls in flight to one
	// sidecar. While that many are in flight, further starts wait for the next
	// batch.
	maxCallsInFlight = 4
	// maxBatchBytes is the maximum size of the payloads of one dispatch call. A
	// single larger payload is sent alone.
	maxBatchBytes = 2 << 20
	// redialDelay is the delay after a failed dial before the next one.
	redialDelay = 100 * time.Millisecond
	// callTimeout is the timeout of a call to a sidecar. The machine fences the
	// starts of a dispatch call that has timed out.
	callTimeout = 2 * time.Second
)

// sidecarClient calls one sidecar incarnation. It is safe for concurrent use.
type sidecarClient struct {
	c *core
	// owner is the entry incarnation that uses the client.
	owner   ident.Process
	sidecar ident.Process
	client  *rpcnet.Client
	ctx     context.Context
	cancel  context.CancelFunc

	mu              sync.Mutex // guards the fields below
	starts          []wire.Start
	returnedCredits []wire.Credit
	demandPending   bool
	callsInFlight   int
}

func newSidecarClient(c *core, p wire.Peer) *sidecarClient {
	sc := &sidecarClient{c: c, owner: *c.self.Load(), sidecar: p.Process, client: rpcnet.NewClientWithDialer(p.Address, c.e.cfg.Dial)}
	sc.ctx, sc.cancel = context.WithCancel(context.Background())
	// A call after the loss of the connection shows soon whether the sidecar has
	// ended, because its port then refuses connections.
	sc.client.OnDisconnect = func() { go sc.sendDemand() }
	return sc
}

// close fails the calls that have not been sent and cancels the others.
func (sc *sidecarClient) close() {
	sc.cancel()
	sc.client.Close()
}

func (sc *sidecarClient) dispatch(starts []wire.Start) {
	sc.mu.Lock()
	sc.starts = append(sc.starts, starts...)
	sc.startCalls()
	sc.mu.Unlock()
}

// sendDemand sends the current demand, with a dispatch call that may have no
// starts.
func (sc *sidecarClient) sendDemand() {
	sc.mu.Lock()
	sc.demandPending = true
	sc.startCalls()
	sc.mu.Unlock()
}

// redialAfter dials again after a dial that has shown nothing: a port that is being closed may reset
// a connection in place of refusing it.
func (sc *sidecarClient) redialAfter(err error) {
	if err == nil || !errors.Is(err, rpcnet.ErrNotSent) || errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	time.AfterFunc(redialDelay, func() {
		if sc.ctx.Err() == nil {
			sc.sendDemand()
		}
	})
}

func (sc *sidecarClient) returnCredits(credits []wire.Credit) {
	sc.mu.Lock()
	sc.returnedCredits = append(sc.returnedCredits, credits...)
	sc.startCalls()
	sc.mu.Unlock()
}

// startCalls starts dispatch calls for everything that waits to be sent. The
// caller holds mu.
func (sc *sidecarClient) startCalls() {
	for sc.callsInFlight < maxCallsInFlight && (len(sc.starts) > 0 || sc.demandPending || len(sc.returnedCredits) > 0) {
		batch := sc.takeBatch()
		returned := sc.returnedCredits
		sc.returnedCredits, sc.demandPending = nil, false
		sc.callsInFlight++
		go sc.callDispatch(batch, returned)
	}
}

// takeBatch removes and returns the next starts, maxBatchBytes of payload at most.
func (sc *sidecarClient) takeBatch() []wire.Start {
	size := 0
	for i := range sc.starts {
		size += len(sc.starts[i].Payload)
		if i > 0 && size > maxBatchBytes {
			batch := sc.starts[:i:i]
			sc.starts = sc.starts[i:]
			return batch
		}
	}
	batch := sc.starts
	sc.starts = nil
	return batch
}

func (sc *sidecarClient) callDispatch(starts []wire.Start, returned []wire.Credit) {
	req := wire.DispatchRequest{
		Entry:    sc.owner,
		Sidecar:  sc.sidecar,
		Starts:   starts,
		Returned: returned,
	}
	req.Demand, req.DemandSeq = sc.c.currentDemand()
	var reply wire.DispatchReply
	ctx, cancel := context.WithTimeout(sc.ctx, callTimeout)
	sentAt := sc.c.now()
	err := sc.client.Call(ctx, wire.ServiceSidecar+".Dispatch", &req, &reply)
	cancel()
	sc.c.post(func(now time.Duration) { sc.c.handleDispatchReply(now, sc, sentAt, starts, &reply, err) })
	sc.mu.Lock()
	sc.callsInFlight--
	sc.startCalls()
	sc.mu.Unlock()
}

// fence asks the sidecar for the outcome of starts whose dispatch reply was lost.
func (sc *sidecarClient) fence(starts []wire.FencedStart) {
	go func() {
		req := wire.FenceRequest{Entry: sc.owner, Sidecar: sc.sidecar, Starts: starts}
		var reply wire.FenceReply
		ctx, cancel := context.WithTimeout(sc.ctx, callTimeout)
		defer cancel()
		err := sc.client.Call(ctx, wire.ServiceSidecar+".Fence", &req, &reply)
		sc.c.post(func(now time.Duration) { sc.c.handleFenceReply(now, sc, starts, &reply, err) })
	}()
}

// handleDispatchReply applies the result of a dispatch call in the core loop.
func (c *core) handleDispatchReply(now time.Duration, sc *sidecarClient, sentAt time.Duration, starts []wire.Start, reply *wire.DispatchReply, err error) {
	machine := c.machine
	if sc.owner != *c.self.Load() {
		machine = c.retiredMachines[sc.owner]
	}
	if machine == nil {
		return
	}
	s := c.attachedSidecars[sc.sidecar]
	current := s != nil && s.client == sc
	if err != nil || reply.WrongIncarnation {
		sent := err != nil && !errors.Is(err, rpcnet.ErrNotSent)
		if len(starts) > 0 {
			if sent {
				c.e.log(event.EntryDispatchReplyLost, "sidecar", sc.sidecar.String(), "tasks", len(starts), "err", err)
			}
			machine.DispatchFailed(now, sc.sidecar, starts, sent)
		}
		if current {
			c.handleCallError(now, s, err)
			sc.redialAfter(err)
		}
		return
	}
	if len(starts) > 0 {
		machine.DispatchReply(now, sc.sidecar, starts, reply.Codes)
	}
	if !current {
		return
	}
	c.recordAck(now, s, sentAt)
	c.machine.Grant(now, sc.sidecar, reply.Grants)
}

// handleFenceReply applies the result of a fence call in the core loop.
func (c *core) handleFenceReply(now time.Duration, sc *sidecarClient, starts []wire.FencedStart, reply *wire.FenceReply, err error) {
	s := c.attachedSidecars[sc.sidecar]
	if s == nil || s.client != sc {
		return
	}
	if err != nil {
		c.handleCallError(now, s, err)
		return
	}
	c.machine.FenceReply(now, sc.sidecar, starts, *reply)
	if reply.WrongIncarnation {
		c.handleCallError(now, s, nil)
	}
}
