package model

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// entryProcess is an entry instance: the state machine of package placement with the
// sending of batches.
type entryProcess struct {
	process
	m        *placement.Machine
	clients  map[ident.Process]*batchClient
	timerDue time.Duration
}

// batchClient sends the batches for one sidecar, one at a time.
type batchClient struct {
	queue          []builtBatch
	sending        bool
	mayHaveArrived bool
	clockOffset    time.Duration
	clockVersion   uint64
	// headSince is the time since which the first batch is being sent.
	headSince time.Duration
}

// undeliveredTimeout is the time for which a stop may be on its way before the owner asks the
// sidecar to drop it.
const undeliveredTimeout = 400 * ms

// hasUndeliveredStops reports whether stops could not be delivered for too long.
func (c *batchClient) hasUndeliveredStops(now time.Duration) bool {
	if !c.sending || now-c.headSince <= undeliveredTimeout {
		return false
	}
	for _, b := range c.queue {
		if len(b.Stops) > 0 {
			return true
		}
	}
	return false
}

type builtBatch struct {
	placement.Batch
	builtAt time.Duration
}

func (w *world) newEntry(name string, incarnation uint64) *entryProcess {
	e := &entryProcess{process: process{world: w, id: ident.Process{Instance: name, Incarnation: incarnation}}, clients: map[ident.Process]*batchClient{}}
	cfg := placement.Config{}
	if !w.guards.pause {
		// Long timeouts hide a pause from the machine.
		cfg.HeartbeatTimeout, cfg.IdleTimeout, cfg.IsolationTimeout = time.Hour, time.Hour, time.Hour
	}
	e.m = placement.New(cfg, rand.New(rand.NewSource(w.rnd.Int63())))
	e.after(0, e.step)
	return e
}

func (e *entryProcess) step() {
	now := e.world.now
	next := e.m.Tick(now)
	for actions := e.m.Actions(); len(actions) > 0; actions = e.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case placement.Batch:
				c := e.clients[a.Sidecar]
				c.queue = append(c.queue, builtBatch{a, now + c.clockOffset})
				e.sendBatch(a.Sidecar, c)
			case placement.JobAnswer:
				j := e.world.jobs[a.JobID]
				j.answered(e, j.accepted[e.id], a.Answer)
			}
		}
	}
	if next == 0 || next > now+150*ms {
		next = now + 150*ms
	}
	if e.timerDue <= now || next < e.timerDue {
		e.timerDue = next
		e.after(max(next-now, ms), e.step)
	}
}

func (e *entryProcess) sendBatch(id ident.Process, c *batchClient) {
	if c.sending {
		return
	}
	for len(c.queue) > 0 {
		batch := e.m.Prune(c.queue[0].Batch)
		if len(batch.Runs)+len(batch.Stops) == 0 {
			e.m.SetUnresponsive(id, false)
			e.m.ReleaseReservations(batch)
			c.queue, c.mayHaveArrived, c.headSince = c.queue[1:], false, 0
			continue
		}
		c.sending = true
		if c.headSince == 0 {
			c.headSince = e.world.now
		}
		builtAt := c.queue[0].builtAt
		s := e.world.sidecarOf(id)
		var reply wire.RunReply
		e.world.call(msgBatch, &e.process, &s.process, func() { reply = s.handleBatch(e, batch, builtAt) }, func(r callResult) {
			c.sending = false
			e.batchDone(id, c, batch, r, reply)
			e.sendBatch(id, c)
			e.step()
		})
		return
	}
}

// batchDone handles the result of an attempt to send the first batch of the queue.
func (e *entryProcess) batchDone(id ident.Process, c *batchClient, batch placement.Batch, result callResult, reply wire.RunReply) {
	now := e.world.now
	if result == answered && !(reply.Rejected && (c.mayHaveArrived || len(batch.Runs) == 0)) {
		e.m.SetUnresponsive(id, false)
		var rest placement.Batch
		switch {
		case reply.Rejected:
			e.m.BatchRejected(now, batch)
			rest = batch
			rest.Runs = nil
		case reply.Stale:
			c.noteClock(now, reply.Load)
			e.m.SetLoad(now, id, reply.Load)
			e.m.BatchNotStarted(now, batch)
		default:
			c.noteClock(now, reply.Load)
			e.m.SetLoad(now, id, reply.Load)
		}
		if len(rest.Stops) > 0 {
			c.queue[0].Batch = rest
			return
		}
		c.queue, c.mayHaveArrived, c.headSince = c.queue[1:], false, 0
		return
	}
	c.mayHaveArrived = c.mayHaveArrived || result == lost
	if result == refused && !c.mayHaveArrived && len(batch.Runs) > 0 {
		e.m.BatchRejected(now, batch)
		c.queue[0].Runs = nil
		return
	}
	if e.m.InContact(now, id) {
		e.m.SetUnresponsive(id, true)
		return
	}
	if e.world.guards.responsive {
		e.m.SetUnresponsive(id, false)
	}
	if !c.mayHaveArrived {
		e.m.BatchRejected(now, batch)
	}
	e.m.BatchAbandoned(now, batch)
	c.queue, c.mayHaveArrived, c.headSince = c.queue[1:], false, 0
}

func (c *batchClient) noteClock(now time.Duration, load wire.Load) {
	if load.Version > c.clockVersion {
		c.clockVersion, c.clockOffset = load.Version, time.Duration(load.ClockMs)*ms-now
	}
}

// handleHeartbeat returns the highest known fencing token of the sidecar, and whether the sidecar
// has to drop this owner.
func (e *entryProcess) handleHeartbeat(info wire.WorkerInfo, session uint64, load wire.Load, confirmed bool) (token int64, drop bool) {
	from := info.Sidecar.Process
	c := e.clients[from]
	if c == nil {
		c = &batchClient{}
		e.clients[from] = c
	}
	c.noteClock(e.world.now, load)
	e.m.Heartbeat(e.world.now, info, session, load, confirmed)
	e.step()
	return e.m.FencingToken(from.Instance), e.world.guards.undelivered && c.hasUndeliveredStops(e.world.now)
}
