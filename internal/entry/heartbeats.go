package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// heartbeatTimeout is the timeout of one heartbeat call.
	heartbeatTimeout = time.Second
	// maxFailedHeartbeats is the number of consecutive failed heartbeats after
	// which an address that is not in Config.Peers is removed.
	maxFailedHeartbeats = 60
	// maxBackoffFactor limits the factor by which failed heartbeats increase the
	// heartbeat interval.
	maxBackoffFactor = 16
)

// heartbeater sends heartbeats to the other entry instances. It uses one
// goroutine per address.
type heartbeater struct {
	c   *core
	ctx context.Context

	mu       sync.Mutex // guards triggers
	triggers map[string]chan struct{}
}

func newHeartbeater(ctx context.Context, c *core) *heartbeater {
	return &heartbeater{c: c, ctx: ctx, triggers: map[string]chan struct{}{}}
}

// add starts heartbeats to an address unless they have been started.
func (h *heartbeater) add(addr string) {
	if addr == "" || addr == h.c.e.advertisedAddress() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.triggers[addr] != nil || h.ctx.Err() != nil {
		return
	}
	trigger := make(chan struct{}, 1)
	h.triggers[addr] = trigger
	h.c.e.wg.Go(func() { h.loop(addr, trigger) })
}

// sendNowTo makes the goroutine of one address send its next heartbeat at once.
func (h *heartbeater) sendNowTo(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case h.triggers[addr] <- struct{}{}:
	default:
	}
}

// sendNow makes the goroutines of all addresses send their next heartbeat at once.
func (h *heartbeater) sendNow() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, trigger := range h.triggers {
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
}

func (h *heartbeater) loop(addr string, trigger <-chan struct{}) {
	client := rpcnet.NewClientWithDialer(addr, h.c.e.cfg.Dial)
	defer client.Close()
	var last ident.Process
	failures := 0
	for h.ctx.Err() == nil {
		wait := h.c.e.cfg.HeartbeatInterval
		reply, err := h.sendHeartbeat(client, last)
		switch {
		case err == nil:
			failures = 0
			last = reply.Entry.Process
		default:
			failures++
			if failures == 1 {
				h.c.e.log(event.RPCConnectionLost, "err", err)
			}
			if failures > maxFailedHeartbeats && !h.configured(addr) {
				h.removeAddress(addr)
				return
			}
			wait *= time.Duration(min(failures, maxBackoffFactor))
		}
		h.sleep(wait, trigger)
	}
}

func (h *heartbeater) sendHeartbeat(client *rpcnet.Client, to ident.Process) (*wire.PeerHeartbeat, error) {
	ctx, cancel := context.WithTimeout(h.ctx, heartbeatTimeout)
	defer cancel()
	var req wire.PeerHeartbeat
	h.c.call(func(now time.Duration) { req = h.c.newPeerHeartbeat(now, to) })
	var reply wire.PeerHeartbeat
	if err := client.Call(ctx, wire.ServiceEntry+".PeerBeat", &req, &reply); err != nil {
		return nil, err
	}
	h.c.post(func(now time.Duration) {
		if reply.Entry.Process == to {
			h.c.limiter.HandleAck(to, reply.AllocationSeq, req.ShareTotals)
		}
		h.c.handlePeerHeartbeat(now, &reply)
	})
	h.c.e.pullConfigFromPeer(client, reply.Revisions)
	return &reply, nil
}

func (h *heartbeater) configured(addr string) bool {
	for _, a := range h.c.e.cfg.Peers {
		if a == addr {
			return true
		}
	}
	return false
}

func (h *heartbeater) removeAddress(addr string) {
	h.mu.Lock()
	delete(h.triggers, addr)
	h.mu.Unlock()
}

// sleep waits for a random time between three quarters of d and d, or until a
// trigger arrives. The random time keeps the instances from sending their
// heartbeats at the same moment.
func (h *heartbeater) sleep(d time.Duration, trigger <-chan struct{}) {
	d = d*3/4 + h.c.e.jitter(d/4)
	select {
	case <-h.ctx.Done():
	case <-trigger:
	case <-time.After(d):
	}
}
