package broker

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// callTimeout is the timeout of a call to a sidecar or peer.
	callTimeout = 350 * time.Millisecond
	// resendDelay is the delay before a batch is sent again.
	resendDelay = 20 * time.Millisecond
	// sidecarTimeout is the time without a heartbeat after which the client of a
	// sidecar is closed.
	sidecarTimeout = 10 * time.Second
)

// errStale means that the sidecar ignored a batch because it was delayed too long
// on the network. The batch is sent again.
const errStale = errors.ConstError("the batch was delayed too long on the network")

// errOutcomeUnknown means that the sidecar rejected a batch although an earlier
// transmission may still take effect: one of the same batch that got no reply, or one
// with the runs that the batch is to stop. The batch is sent again until the sidecar
// accepts it, Prune empties it because of a newer session or answered jobs,
// or the sidecar has ended or is out of contact.
const errOutcomeUnknown = errors.ConstError("the batch was rejected while an earlier transmission may still take effect")

// sidecarClient sends batches to one sidecar incarnation. It sends them one at a
// time and in order, and repeats each batch until the sidecar has replied. The
// sidecar carries out a batch only once. The fields are guarded by Broker.mu.
type sidecarClient struct {
	broker        *Broker
	sidecar       ident.Process
	rpcClient     *rpcnet.Client
	queue         []placement.Batch
	sending       bool // sendBatches is running
	lastHeartbeat time.Duration
	// sidecarClockMs is the sidecar's clock in its newest heartbeat.
	sidecarClockMs int64
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

// closeSilentClients closes the clients of the sidecars whose heartbeats have
// timed out; mu is held.
func (b *Broker) closeSilentClients(now time.Duration) {
	for id, c := range b.sidecars {
		if now-c.lastHeartbeat > sidecarTimeout {
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
	c.queue = append(c.queue, batch)
	if !c.sending {
		c.sending = true
		go c.sendBatches()
	}
}

// sendBatches sends the queued batches until the queue is empty.
func (c *sidecarClient) sendBatches() {
	b := c.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	mayHaveArrived := false // an earlier attempt may have reached the sidecar
	for len(c.queue) > 0 && b.ctx.Err() == nil {
		batch := b.machine.Prune(c.queue[0])
		if len(batch.Runs)+len(batch.Stops) == 0 {
			// Whether the sidecar replies is unknown until the next batch, so
			// treat it as responsive until then.
			b.machine.SetUnresponsive(c.sidecar, false)
			b.machine.ReleaseReservations(batch)
			c.queue, mayHaveArrived = c.queue[1:], false
			continue
		}
		req := wire.RunBatch{Entry: b.self.Process, Sidecar: batch.Sidecar, Session: batch.Session, SidecarClockMs: c.sidecarClockMs, Sequence: batch.Sequence, Runs: batch.Runs, Stops: batch.Stops}
		b.mu.Unlock()
		var reply wire.RunReply
		err := c.rpcClient.CallWithTimeout(b.ctx, callTimeout, wire.ServiceRunner+".Run", &req, &reply)
		switch {
		case err != nil:
		case reply.Stale:
			err = errStale
		case reply.Rejected && (mayHaveArrived || len(batch.Runs) == 0):
			err = errOutcomeUnknown
		}
		if err != nil {
			time.Sleep(resendDelay)
		}
		b.mu.Lock()
		now := clock.SinceBoot()
		if err != nil {
			mayHaveArrived = mayHaveArrived || !errors.Is(err, rpcnet.ErrNotSent) && !errors.Is(err, errStale)
			if !c.handleFailure(now, batch, err, mayHaveArrived) {
				continue
			}
		} else if stops := c.handleReply(now, batch, &reply); len(stops.Stops) > 0 {
			c.queue[0] = stops
			b.runMachine(now)
			continue
		}
		c.queue = c.queue[1:]
		mayHaveArrived = false
		b.runMachine(now)
	}
	c.sending = false
}

// handleReply handles the final reply to a batch. It returns the part of the batch
// that still has to be carried out: the stops, if the sidecar rejected the batch; mu is
// held.
func (c *sidecarClient) handleReply(now time.Duration, batch placement.Batch, reply *wire.RunReply) (rest placement.Batch) {
	b := c.broker
	b.machine.SetUnresponsive(c.sidecar, false)
	if !reply.Rejected {
		b.machine.SetLoad(now, c.sidecar, reply.Load)
		return placement.Batch{}
	}
	event.LogRateLimited(event.BatchRefused, "sidecar", c.sidecar.String(), "runs", len(batch.Runs), "stops", len(batch.Stops))
	b.machine.BatchRejected(now, batch)
	batch.Runs = nil
	return batch
}

// handleFailure handles a failed attempt to send a batch. It reports whether the
// batch is abandoned because the sidecar process has ended or is out of contact;
// mu is held.
func (c *sidecarClient) handleFailure(now time.Duration, batch placement.Batch, err error, mayHaveArrived bool) bool {
	b := c.broker
	exited := errors.Is(err, syscall.ECONNREFUSED)
	if !exited && b.machine.InContact(now, c.sidecar) {
		b.machine.SetUnresponsive(c.sidecar, true)
		return false
	}
	event.LogRateLimited(event.RunnerLost, "sidecar", c.sidecar.String(), "ended", exited, "err", err)
	if !mayHaveArrived {
		b.machine.BatchRejected(now, batch)
	}
	if exited {
		b.machine.SidecarEnded(now, c.sidecar)
	}
	return true
}

// rpcService is the RPC service that sidecars and peers call.
type rpcService struct{ broker *Broker }

// Beat handles the heartbeat of a sidecar.
func (s *rpcService) Beat(req *wire.RunnerHeartbeat, reply *wire.RunnerHeartbeatReply) error {
	b := s.broker
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	c := b.clientOf(req.Info.Sidecar)
	c.lastHeartbeat, c.sidecarClockMs = now, max(c.sidecarClockMs, req.SidecarClockMs)
	b.machine.Heartbeat(now, req.Info, req.Session, req.Load)
	b.runMachine(now)
	b.closeSilentClients(now)
	if b.usableWorkers.Load() == 0 {
		b.updateReadiness()
	}
	reply.Entry = b.self.Process
	reply.Peers = b.peerAddresses()
	return nil
}

// Ends handles a report of a sidecar about ended runs.
func (s *rpcService) Ends(req *wire.EndBatch, reply *wire.EndReply) error {
	b := s.broker
	if req.Entry != b.self.Process {
		reply.WrongIncarnation = true
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.SinceBoot()
	b.machine.SetLoad(now, req.Sidecar, req.Load)
	b.machine.RunsEnded(now, req.Sidecar, req.Ends)
	b.runMachine(now)
	return nil
}

// Config handles a configuration exchange that a peer starts.
func (s *rpcService) Config(req *wire.ConfigExchangeRequest, reply *wire.ConfigExchangeReply) error {
	b := s.broker
	if len(req.Config) > 0 {
		b.config.ApplyEncoded(req.Config, req.From)
	}
	reply.Version, reply.Config = b.configNewerThan(req.Version)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(req.From)
	reply.Peers = b.peerAddresses()
	return nil
}
