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
	// beatTimeout bounds one heartbeat call.
	beatTimeout = time.Second
	// forgetBeats is the number of failed beats in a row after which an address
	// that is not in the settings is given up.
	forgetBeats = 60
	// maxBackoff is the largest factor by which failed beats are slowed down.
	maxBackoff = 16
)

// beats sends heartbeats to the other entry instances, one goroutine per
// address.
type beats struct {
	c   *core
	ctx context.Context

	mu    sync.Mutex // guards addrs
	addrs map[string]chan struct{}
}

func newBeats(ctx context.Context, c *core) *beats {
	return &beats{c: c, ctx: ctx, addrs: map[string]chan struct{}{}}
}

// add starts heartbeats to an address if there are none yet.
func (b *beats) add(addr string) {
	if addr == "" || addr == b.c.e.advertised() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addrs[addr] != nil || b.ctx.Err() != nil {
		return
	}
	poked := make(chan struct{}, 1)
	b.addrs[addr] = poked
	b.c.e.wg.Go(func() { b.loop(addr, poked) })
}

// pokeOne has the heartbeat to one address sent now.
func (b *beats) pokeOne(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case b.addrs[addr] <- struct{}{}:
	default:
	}
}

// poke has all heartbeats sent now.
func (b *beats) poke() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.addrs {
		select {
		case p <- struct{}{}:
		default:
		}
	}
}

func (b *beats) loop(addr string, poked <-chan struct{}) {
	client := rpcnet.NewClientWithDialer(addr, b.c.e.cfg.Dial)
	defer client.Close()
	var last ident.Process
	failed := 0
	for b.ctx.Err() == nil {
		wait := b.c.e.cfg.BeatInterval
		reply, err := b.once(client, last)
		switch {
		case err == nil:
			failed = 0
			last = reply.Entry.Process
		default:
			failed++
			if failed == 1 {
				b.c.e.log(event.RPCConnectionLost, "err", err)
			}
			if failed > forgetBeats && !b.configured(addr) {
				b.forget(addr)
				return
			}
			wait *= time.Duration(min(failed, maxBackoff))
		}
		b.sleep(wait, poked)
	}
}

func (b *beats) once(client *rpcnet.Client, to ident.Process) (*wire.PeerHeartbeat, error) {
	ctx, cancel := context.WithTimeout(b.ctx, beatTimeout)
	defer cancel()
	var req wire.PeerHeartbeat
	b.c.call(func(now time.Duration) { req = b.c.ownBeat(now, to) })
	var reply wire.PeerHeartbeat
	if err := client.Call(ctx, wire.ServiceEntry+".PeerBeat", &req, &reply); err != nil {
		return nil, err
	}
	b.c.post(func(now time.Duration) {
		if reply.Entry.Process == to {
			b.c.ledger.HandleAck(to, reply.AllocationSeq, req.ShareTotals)
		}
		b.c.peerBeat(now, &reply)
	})
	b.c.e.pullIfBehind(client, reply.Revisions)
	return &reply, nil
}

func (b *beats) configured(addr string) bool {
	for _, a := range b.c.e.cfg.Peers {
		if a == addr {
			return true
		}
	}
	return false
}

func (b *beats) forget(addr string) {
	b.mu.Lock()
	delete(b.addrs, addr)
	b.mu.Unlock()
}

// sleep waits for up to d or until poked, jittered so that instances don't beat in step.
func (b *beats) sleep(d time.Duration, poked <-chan struct{}) {
	d = d*3/4 + b.c.e.jitter(d/4)
	select {
	case <-b.ctx.Done():
	case <-poked:
	case <-time.After(d):
	}
}
