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
			c.queue, c.mayHaveArrived = c.queue[1:], false
			continue
		}
		c.sending = true
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
		c.queue, c.mayHaveArrived = c.queue[1:], false
		return
	}
	c.mayHaveArrived = c.mayHaveArrived || result == lost
	if result != refused && e.m.InContact(now, id) {
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
	c.queue, c.mayHaveArrived = c.queue[1:], false
}

func (c *batchClient) noteClock(now time.Duration, load wire.Load) {
	if load.Version > c.clockVersion {
		c.clockVersion, c.clockOffset = load.Version, time.Duration(load.ClockMs)*ms-now
	}
}

// handleHeartbeat returns the highest known fencing token of the sidecar.
func (e *entryProcess) handleHeartbeat(info wire.WorkerInfo, session uint64, load wire.Load, confirmed bool) (token int64) {
	from := info.Sidecar.Process
	c := e.clients[from]
	if c == nil {
		c = &batchClient{}
		e.clients[from] = c
	}
	c.noteClock(e.world.now, load)
	e.m.Heartbeat(e.world.now, info, session, load, confirmed)
	e.step()
	return e.m.FencingToken(from.Instance)
}
