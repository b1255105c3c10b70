package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// maxCalls is the number of dispatch calls in flight to one sidecar; while
	// they are, further starts gather into the next batch.
	maxCalls = 4
	// maxBatchBytes bounds the payloads of one dispatch call.
	maxBatchBytes = 2 << 20
	// callTimeout bounds a call to a sidecar. Starts whose reply is missing
	// after that are fenced.
	callTimeout = 2 * time.Second
)

// link sends to one sidecar incarnation. It is safe for concurrent use.
type link struct {
	c *core
	// owner is the entry incarnation that the link belongs to.
	owner   ident.Process
	sidecar ident.Process
	client  *rpcnet.Client
	ctx     context.Context
	cancel  context.CancelFunc

	mu       sync.Mutex // guards the fields below
	starts   []wire.Start
	returned []wire.Credit
	telling  bool
	calls    int
}

func newLink(c *core, p wire.Peer) *link {
	l := &link{c: c, owner: *c.self.Load(), sidecar: p.Process, client: rpcnet.NewClientWithDialer(p.Address, c.e.cfg.Dial)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	// A message after the loss shows at once whether the process has ended: its
	// port then refuses connections.
	l.client.OnDisconnect = func() { go l.tell() }
	return l
}

// close fails calls that have not been sent and cancels the others.
func (l *link) close() {
	l.cancel()
	l.client.Close()
}

func (l *link) dispatch(starts []wire.Start) {
	l.mu.Lock()
	l.starts = append(l.starts, starts...)
	l.kick()
	l.mu.Unlock()
}

func (l *link) tell() {
	l.mu.Lock()
	l.telling = true
	l.kick()
	l.mu.Unlock()
}

func (l *link) giveBack(credits []wire.Credit) {
	l.mu.Lock()
	l.returned = append(l.returned, credits...)
	l.kick()
	l.mu.Unlock()
}

// kick starts a call if there is something to send; mu is held.
func (l *link) kick() {
	for l.calls < maxCalls && (len(l.starts) > 0 || l.telling || len(l.returned) > 0) {
		batch := l.take()
		returned := l.returned
		l.returned, l.telling = nil, false
		l.calls++
		go l.send(batch, returned)
	}
}

// take removes the next batch within the byte bound.
func (l *link) take() []wire.Start {
	size := 0
	for i := range l.starts {
		size += len(l.starts[i].Payload)
		if i > 0 && size > maxBatchBytes {
			batch := l.starts[:i:i]
			l.starts = l.starts[i:]
			return batch
		}
	}
	batch := l.starts
	l.starts = nil
	return batch
}

func (l *link) send(starts []wire.Start, returned []wire.Credit) {
	req := wire.DispatchRequest{
		Entry:    l.owner,
		Sidecar:  l.sidecar,
		Starts:   starts,
		Returned: returned,
		Demand:   l.c.demandNow(),
	}
	var reply wire.DispatchReply
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	sentAt := l.c.now()
	err := l.client.Call(ctx, wire.ServiceSidecar+".Dispatch", &req, &reply)
	cancel()
	l.c.post(func(now time.Duration) { l.c.dispatched(now, l, sentAt, starts, &reply, err) })
	l.mu.Lock()
	l.calls--
	l.kick()
	l.mu.Unlock()
}

// fence asks for the fate of starts whose reply was lost.
func (l *link) fence(starts []wire.FencedStart) {
	go func() {
		req := wire.FenceRequest{Entry: l.owner, Sidecar: l.sidecar, Starts: starts}
		var reply wire.FenceReply
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		err := l.client.Call(ctx, wire.ServiceSidecar+".Fence", &req, &reply)
		l.c.post(func(now time.Duration) { l.c.fenced(now, l, starts, &reply, err) })
	}()
}

// dispatched is the end of a dispatch call, in the core loop.
func (c *core) dispatched(now time.Duration, l *link, sentAt time.Duration, starts []wire.Start, reply *wire.DispatchReply, err error) {
	machine := c.machine
	if l.owner != *c.self.Load() {
		machine = c.retired[l.owner]
	}
	if machine == nil {
		return
	}
	s := c.links[l.sidecar]
	current := s != nil && s.link == l
	if err != nil || reply.WrongIncarnation {
		sent := err != nil && !errors.Is(err, rpcnet.ErrNotSent)
		if len(starts) > 0 {
			if sent {
				c.e.log(event.EntryDispatchReplyLost, "sidecar", l.sidecar.String(), "tasks", len(starts), "err", err)
			}
			machine.DispatchFailed(now, l.sidecar, starts, sent)
		}
		if current {
			c.callFailed(now, s, err)
		}
		return
	}
	if len(starts) > 0 {
		machine.DispatchReply(now, l.sidecar, starts, reply.Codes)
	}
	if !current {
		return
	}
	c.alive(now, s, sentAt)
	c.machine.Grant(now, l.sidecar, reply.Grants)
}

// fenced is the end of a fence call, in the core loop.
func (c *core) fenced(now time.Duration, l *link, starts []wire.FencedStart, reply *wire.FenceReply, err error) {
	s := c.links[l.sidecar]
	if s == nil || s.link != l {
		return
	}
	if err != nil {
		c.callFailed(now, s, err)
		return
	}
	c.machine.FenceReply(now, l.sidecar, starts, *reply)
	if reply.WrongIncarnation {
		c.callFailed(now, s, nil)
	}
}
