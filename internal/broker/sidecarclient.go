package broker

import (
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// callTimeout is the timeout of a call to a sidecar or peer.
	callTimeout = 350 * time.Millisecond
	// resendDelay is the delay before a batch is sent again.
	resendDelay = 20 * time.Millisecond
	// maxAdvancedStops bounds the stops that advanceStops collects in one batch.
	maxAdvancedStops = 4000
	// undeliveredTimeout is the time for which a batch may be on its way while the queue has stops,
	// before the sidecar is asked to drop all runs of this entry instance.
	undeliveredTimeout = 400 * time.Millisecond
	// sidecarTimeout is the time without a message after which the client of a sidecar
	// is closed.
	sidecarTimeout = 10 * time.Second
	// maxSidecars bounds the sidecars, so that invented ones can't use up the memory.
	maxSidecars = 4096
)

// errOutcomeUnknown means that the sidecar rejected a batch although an earlier
// transmission may still take effect: one of the same batch that got no reply, or one
// with the runs that the batch is to stop. The batch is sent again until the sidecar
// accepts it, Prune empties it because of a newer session or answered jobs, or the
// sidecar is out of contact.
const errOutcomeUnknown = errors.ConstError("the batch was rejected while an earlier transmission may still take effect")

// sidecarClient sends batches to one sidecar incarnation. It sends them one at a
// time and in order, and repeats each batch until the sidecar has replied. The
// sidecar carries out a batch only once. The fields are guarded by Broker.mu.
type sidecarClient struct {
	broker      *Broker
	sidecar     ident.Process
	rpcClient   *rpcnet.Client
	queue       []queuedBatch
	sending     bool // sendBatches is running
	lastMessage time.Duration
	// clockOffset is the sidecar's clock minus the clock of this process, according to
	// the load summary with the version clockVersion. It is too low by the time that the
	// summary was on the way, so a batch may seem older than it is, never younger.
	clockOffset  time.Duration
	clockVersion uint64
	// headSince is the time since which the first queued batch is being sent, zero if none is.
	headSince time.Duration
}

// queuedBatch is a batch with the time on the sidecar's clock at which it was built.
type queuedBatch struct {
	placement.Batch
	builtAt time.Duration
}

// noteClock records the sidecar's clock in a load summary; mu is held.
func (c *sidecarClient) noteClock(now time.Duration, load *wire.Load) {
	if load.Version > c.clockVersion {
		c.clockVersion = load.Version
		c.clockOffset = time.Duration(load.ClockMs)*time.Millisecond - now
	}
}

// clientOf returns the client of a sidecar and creates it if necessary; mu is
// held.
func (b *Broker) clientOf(p wire.Peer) *sidecarClient {
	c := b.sidecars[p.Process]
	if c == nil {
		c = &sidecarClient{broker: b, sidecar: p.Process, rpcClient: rpcnet.NewClient(p.Address)}
		b.sidecars[p.Process] = c
		event.LogRateLimited(event.RunnerInContact, "sidecar", p.Process.String(), "address", p.Address, "zone", p.Zone)
	}
	return c
}

// closeSilentClients closes the clients of the sidecars that have sent no message for
// sidecarTimeout, unless they send batches, which have to arrive before those of a new client;
// mu is held.
func (b *Broker) closeSilentClients(now time.Duration) {
	for id, c := range b.sidecars {
		if !c.sending && now-c.lastMessage > sidecarTimeout {
			delete(b.sidecars, id)
			c.rpcClient.Close()
		}
	}
}

// enqueueBatch queues a batch for its sidecar; mu is held.
func (b *Broker) enqueueBatch(now time.Duration, batch placement.Batch) {
	c := b.sidecars[batch.Sidecar]
	if c == nil {
		b.machine.BatchRejected(now, batch)
		return
	}
	batch = c.advanceStops(batch)
	if len(batch.Runs)+len(batch.Stops) == 0 {
		return
	}
	c.queue = append(c.queue, queuedBatch{batch, now + c.clockOffset})
	if !c.sending {
		c.sending = true
		go c.sendBatches()
	}
}

// advanceStops moves the stops of a new batch into the first queued batch of which no transmission
// has begun, so that they don't wait behind starts, and returns what remains of the new batch. It
// removes the runs to stop from the batches that are not sent yet; mu is held.
func (c *sidecarClient) advanceStops(batch placement.Batch) placement.Batch {
	const first = 1 // the batch before is being sent
	if len(batch.Stops) == 0 || len(c.queue) <= first {
		return batch
	}
	target := &c.queue[first].Batch
	if target.Session != batch.Session || len(target.Stops)+len(batch.Stops) > maxAdvancedStops {
		return batch
	}
	stopped := make(map[work.RunID]bool, len(batch.Stops))
	for _, run := range batch.Stops {
		stopped[run] = true
	}
	for i := range c.queue[first:] {
		b := &c.queue[first+i].Batch
		b.Runs = slices.DeleteFunc(slices.Clone(b.Runs), func(r wire.RunRequest) bool { return stopped[r.Run] })
	}
	target.Stops = append(slices.Clone(target.Stops), batch.Stops...)
	batch.Stops = nil
	return batch
}

// sendBatches sends the queued batches until the queue is empty.
func (c *sidecarClient) sendBatches() {
	b := c.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	mayHaveArrived := false // an earlier attempt may have reached the sidecar
	for len(c.queue) > 0 && b.ctx.Err() == nil {
		if c.headSince == 0 {
			c.headSince = clock.SinceBoot()
		}
		batch, builtAt := b.machine.Prune(c.queue[0].Batch), c.queue[0].builtAt
		if len(batch.Runs)+len(batch.Stops) == 0 {
			// Whether the sidecar replies is unknown until the next batch, so
			// treat it as responsive until then.
			b.machine.SetUnresponsive(c.sidecar, false)
			b.machine.ReleaseReservations(batch)
			c.queue, c.headSince, mayHaveArrived = c.queue[1:], 0, false
			continue
		}
		req := wire.RunBatch{Entry: b.self.Process, Sidecar: batch.Sidecar, Session: batch.Session, SidecarClockMs: builtAt.Milliseconds(), Sequence: batch.Sequence, Description: batch.Description, Runs: batch.Runs, Stops: batch.Stops}
		b.mu.Unlock()
		var reply wire.RunReply
		err := c.rpcClient.CallWithTimeout(b.ctx, callTimeout, wire.ServiceRunner+".Run", &req, &reply)
		if c.refusedForGood(err, batch, mayHaveArrived) {
			err, reply = nil, wire.RunReply{Rejected: true}
		}
		if err == nil && reply.Rejected && (mayHaveArrived || len(batch.Runs) == 0) {
			err = errOutcomeUnknown
		}
		if err != nil {
			time.Sleep(resendDelay)
		}
		b.mu.Lock()
		now := clock.SinceBoot()
		if err != nil {
			mayHaveArrived = mayHaveArrived || !errors.Is(err, rpcnet.ErrNotSent)
			if !c.handleFailure(now, batch, err, mayHaveArrived) {
				continue
			}
		} else if stops := c.handleReply(now, batch, &reply); len(stops.Stops) > 0 {
			c.queue[0].Batch = stops
			b.runMachine(now)
			continue
		}
		c.queue, c.headSince, mayHaveArrived = c.queue[1:], 0, false
		b.runMachine(now)
	}
	c.sending, c.headSince = false, 0
}

// hasUndeliveredStops reports whether stops could not be delivered for too long, although the
// sidecar may be in contact by the connections that it opens itself. Their runs would go on while
// the callers of their jobs submit these again; mu is held.
func (c *sidecarClient) hasUndeliveredStops(now time.Duration) bool {
	if c.headSince == 0 || now-c.headSince <= undeliveredTimeout {
		return false
	}
	return slices.ContainsFunc(c.queue, func(b queuedBatch) bool { return len(b.Stops) > 0 })
}

// mustDrop reports whether a sidecar has to drop the runs of this entry instance in a session, and
// logs that; mu is held.
func (b *Broker) mustDrop(now time.Duration, sidecar ident.Process, session uint64) bool {
	c := b.sidecars[sidecar]
	if c == nil || !c.hasUndeliveredStops(now) || c.queue[0].Session != session {
		return false
	}
	event.LogRateLimited(event.StopsUndelivered, "sidecar", sidecar.String(), "session", session, "batches", len(c.queue), "sinceMs", (now - c.headSince).Milliseconds())
	return true
}

// refusedForGood reports whether a batch with runs has certainly not been carried out and may fail
// again in the same way: the sidecar refuses connections, the batch is too large to be sent, or the
// sidecar calls it invalid. It must not hold up the batches behind it.
func (c *sidecarClient) refusedForGood(err error, batch placement.Batch, mayHaveArrived bool) bool {
	var failed *rpcnet.Error
	if mayHaveArrived || len(batch.Runs) == 0 || !errors.As(err, &failed) {
		return false
	}
	answered := failed.Kind == nil
	unsent := errors.Is(err, rpcnet.ErrNotSent) && (errors.Is(err, rpcnet.ErrBadFrame) || errors.Is(err, syscall.ECONNREFUSED))
	if !answered && !unsent {
		return false
	}
	event.LogRateLimited(event.BatchRefused, "sidecar", c.sidecar.String(), "runs", len(batch.Runs), "stops", len(batch.Stops), "err", err)
	return true
}

// handleReply handles the final reply to a batch. It returns the part of the batch
// that still has to be carried out: the stops, if the sidecar rejected the batch; mu is
// held.
func (c *sidecarClient) handleReply(now time.Duration, batch placement.Batch, reply *wire.RunReply) (rest placement.Batch) {
	b := c.broker
	b.machine.SetUnresponsive(c.sidecar, false)
	if !reply.Rejected {
		if err := reply.Load.Validate(); err != nil {
			_ = rejectMessage(c.sidecar, err) // the batch has arrived; only its load summary is ignored
		} else {
			c.noteClock(now, &reply.Load)
			b.machine.SetLoad(now, c.sidecar, reply.Load)
		}
		if !reply.Stale {
			return placement.Batch{}
		}
	}
	event.LogRateLimited(event.BatchRefused, "sidecar", c.sidecar.String(), "runs", len(batch.Runs), "stops", len(batch.Stops), "stale", reply.Stale)
	if reply.Stale {
		b.machine.BatchNotStarted(now, batch)
		return placement.Batch{}
	}
	b.machine.BatchRejected(now, batch)
	batch.Runs = nil
	return batch
}

// handleFailure handles a failed attempt to send a batch. It reports whether the
// batch is abandoned because the sidecar is out of contact; mu is held. A refused
// connection does not prove that the sidecar process has ended: its port may be closed
// while it lives and its runs go on.
func (c *sidecarClient) handleFailure(now time.Duration, batch placement.Batch, err error, mayHaveArrived bool) bool {
	b := c.broker
	if b.machine.InContact(now, c.sidecar) {
		b.machine.SetUnresponsive(c.sidecar, true)
		return false
	}
	event.LogRateLimited(event.RunnerLost, "sidecar", c.sidecar.String(), "err", err)
	// The sidecar is used again with its next heartbeat, and no batch is sent before.
	b.machine.SetUnresponsive(c.sidecar, false)
	if !mayHaveArrived {
		b.machine.BatchRejected(now, batch)
	}
	b.machine.BatchAbandoned(now, batch)
	return true
}
