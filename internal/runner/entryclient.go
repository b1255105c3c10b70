package runner

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// entryClient sends heartbeats to the entry instance at one address.
type entryClient struct {
	runner    *Runner
	address   string
	rpcClient *rpcnet.Client
	wakeCh    chan struct{}
	// owner is the entry incarnation that replied last, nil before the first reply;
	// guarded by Runner.mu.
	owner *owner
	// failingSince is the time since which heartbeats fail, zero if the last one
	// was answered; guarded by Runner.mu.
	failingSince time.Duration
}

// AddEntry starts sending heartbeats to the entry instance at an address.
func (r *Runner) AddEntry(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEntry(address)
}

// addEntry is AddEntry with mu held.
func (r *Runner) addEntry(address string) {
	if address == "" || r.entries[address] != nil || r.ctx.Err() != nil {
		return
	}
	c := &entryClient{runner: r, address: address, rpcClient: rpcnet.NewClient(address), wakeCh: make(chan struct{}, 1)}
	c.rpcClient.OnDisconnect = c.wake
	r.entries[address] = c
	r.wg.Go(c.sendHeartbeats)
}

// wake makes sendHeartbeats send the next heartbeat at once.
func (c *entryClient) wake() {
	select {
	case c.wakeCh <- struct{}{}:
	default:
	}
}

const (
	// maxHeartbeatDelay bounds the delay between heartbeats to an entry instance
	// that does not reply.
	maxHeartbeatDelay = time.Second
	// entryTimeout is the time for which heartbeats to an entry instance have to
	// fail before the instance is removed. An instance that AddEntry or a
	// heartbeat reply names later is added again.
	entryTimeout = time.Minute
)

// sendHeartbeats sends heartbeats until the entry instance is removed or the sidecar
// stops.
func (c *entryClient) sendHeartbeats() {
	delay := heartbeatInterval
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		switch ok, removed := c.sendHeartbeat(); {
		case removed:
			return
		case ok:
			delay = heartbeatInterval
		default:
			delay = min(delay*3/2, maxHeartbeatDelay)
		}
		timer.Reset(delay)
		select {
		case <-c.runner.ctx.Done():
			return
		case <-timer.C:
		case <-c.wakeCh:
		}
	}
}

// sendHeartbeat sends one heartbeat, unless runs of an earlier session have not ended
// yet. It reports whether to keep the usual interval, and whether the entry instance
// has been removed.
func (c *entryClient) sendHeartbeat() (ok, removed bool) {
	r := c.runner
	sentAt := r.lockAndDropSilentOwners()
	r.updateAvailability(sentAt)
	o := c.owner
	if o != nil && !o.live && r.machine.HasRunsOf(o.process) {
		// A heartbeat would start a new session, in which no run of the earlier
		// session may still be active.
		r.runMachineAndUnlock(sentAt)
		return true, false
	}
	req := wire.RunnerHeartbeat{Info: r.workerInfo(), Load: r.load(sentAt, o), SidecarClockMs: sentAt.Milliseconds()}
	if o != nil {
		req.Session = o.session
	}
	r.updateGauges(&req.Load)
	r.runMachineAndUnlock(sentAt)
	var reply wire.RunnerHeartbeatReply
	err := c.rpcClient.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Beat", &req, &reply)
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if err != nil {
		return false, c.handleFailure(now, err)
	}
	c.failingSince = 0
	c.handleReply(now, sentAt, req.Session, &reply)
	return true, false
}

// updateGauges updates the gauges of the worker's free capacity, queued runs and
// slowness; mu is held.
func (r *Runner) updateGauges(load *wire.Load) {
	if r.metrics == nil {
		return
	}
	scope := r.metrics.Scope()
	scope.Gauge("worker_free_millicpu").Update(float64(load.Free.MilliCPU))
	scope.Gauge("worker_queued_millicpu").Update(float64(load.QueuedMilliCPU[0] + load.QueuedMilliCPU[1] + load.QueuedMilliCPU[2]))
	scope.Gauge("worker_slowness").Update(load.Slowness)
}

// handleFailure handles a failed heartbeat. It reports whether the entry instance
// has been removed; mu is held.
func (c *entryClient) handleFailure(now time.Duration, err error) bool {
	if c.owner != nil && errors.Is(err, syscall.ECONNREFUSED) {
		c.runner.dropOwner(now, c.owner, "the process has ended", now-c.owner.lastContact)
	}
	if c.failingSince == 0 {
		c.failingSince = now
	}
	if now-c.failingSince < entryTimeout || c.owner != nil && c.owner.live {
		return false
	}
	delete(c.runner.entries, c.address)
	if c.owner != nil {
		delete(c.runner.owners, c.owner.process)
	}
	c.rpcClient.Close()
	return true
}

// handleReply handles the reply to a heartbeat of a session; mu is held.
func (c *entryClient) handleReply(now, sentAt time.Duration, session uint64, reply *wire.RunnerHeartbeatReply) {
	r := c.runner
	if c.owner == nil || c.owner.process != reply.Entry {
		if c.owner != nil {
			r.dropOwner(now, c.owner, "another process answers", 0)
			if !r.machine.HasRunsOf(c.owner.process) {
				delete(r.owners, c.owner.process)
			}
		}
		o := r.owners[reply.Entry]
		if o == nil {
			o = &owner{runner: r, process: reply.Entry, session: session}
			r.owners[reply.Entry] = o
		}
		o.client = c
		c.owner = o
	}
	o := c.owner
	if o.session != session {
		c.wake() // the owner was dropped in the meantime; the next heartbeat reports the new session
		return
	}
	if now-sentAt > ownerTimeout {
		return
	}
	o.lastContact = max(o.lastContact, sentAt)
	if !o.live {
		o.live = true
		event.LogRateLimited(event.OwnerInContact, "owner", o.process.String(), "address", c.address, "session", session)
	}
	for _, address := range reply.Peers {
		r.addEntry(address)
	}
	r.scheduleTick(now, o.lastContact+ownerTimeout+time.Millisecond)
}

// workerInfo returns the description of this sidecar and its worker for a heartbeat;
// mu is held.
func (r *Runner) workerInfo() wire.WorkerInfo {
	info := wire.WorkerInfo{Sidecar: r.self}
	if r.supervisor != nil && !r.workerLeft {
		info.Worker, info.Service, info.Rack, info.Labels = r.report.ID, r.report.Service, r.report.Rack, r.report.Labels
	}
	return info
}
