package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// entryClient sends heartbeats to the entry instance at one address. Runner.mu guards the
// fields from owner on.
type entryClient struct {
	runner    *Runner
	address   string
	rpcClient *rpcnet.Client
	wakeCh    chan struct{}
	// owner is the entry incarnation that replied last, nil before the first reply.
	owner *owner
	// firstSession is the session that the first heartbeats report. It is higher than
	// those of an earlier attachment to the same incarnation.
	firstSession uint64
	// failingSince is the time since which heartbeats fail, zero if the last one was
	// answered. After a failure, the next one is sent at retryAt at the earliest, and
	// retryDelay is the delay to which retryAt was set. refused is true if the last failure
	// was a refused connection.
	failingSince, retryAt, retryDelay time.Duration
	refused                           bool
	// tried is true once a heartbeat has been answered or has failed.
	tried bool
	// confirmedCrashes is the number of the newest of Runner.crashes of which owner has heard.
	confirmedCrashes uint64
	// unwanted is true if the sidecar detaches from the entry instance, which is then
	// told that the worker accepts no runs.
	unwanted bool
	// sendNow requests a heartbeat without further delay. lastSentAt is the time of the
	// last call of sendHeartbeat, and plannedAt the time until which sendHeartbeats sleeps.
	sendNow               bool
	lastSentAt, plannedAt time.Duration
	// members is the newest list of entry instances from this one, and membersHash its
	// hash.
	members     []wire.Peer
	membersHash uint64
}

// wake makes sendHeartbeats send the next heartbeat at once; mu is held.
func (c *entryClient) wake() {
	c.sendNow = true
	c.interrupt()
}

// interrupt makes sendHeartbeats compute the time of the next heartbeat again.
func (c *entryClient) interrupt() {
	select {
	case c.wakeCh <- struct{}{}:
	default:
	}
}

// scheduleHeartbeat makes sure that the next heartbeat is not planned too late for an
// owner that has become busy; mu is held.
func (c *entryClient) scheduleHeartbeat(now time.Duration) {
	if c.plannedAt > now+heartbeatInterval {
		c.interrupt()
	}
}

// sendHeartbeats sends heartbeats until the entry instance is removed or the sidecar
// stops.
func (c *entryClient) sendHeartbeats() {
	r := c.runner
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if c.sendHeartbeat() {
			return
		}
		for {
			r.mu.Lock()
			now := clock.SinceBoot()
			c.plannedAt = c.dueAt(now)
			delay := c.plannedAt - now
			if delay <= 0 {
				c.sendNow = false
			}
			r.mu.Unlock()
			if delay <= 0 {
				break
			}
			timer.Reset(delay)
			select {
			case <-r.ctx.Done():
				return
			case <-timer.C:
			case <-c.wakeCh:
			}
		}
	}
}

// sendHeartbeat sends one heartbeat, unless runs of an earlier session have not ended
// yet. It reports whether the entry instance has been removed.
func (c *entryClient) sendHeartbeat() (removed bool) {
	r := c.runner
	sentAt := r.lockAndDropSilentOwners()
	r.updateAvailability(sentAt)
	c.lastSentAt = sentAt
	o := c.owner
	if o != nil && !o.Live() && r.machine.HasRunsOf(o.process) {
		// A heartbeat would start a new session, in which no run of the earlier
		// session may still be active.
		r.runMachineAndUnlock(sentAt)
		return false
	}
	req := wire.RunnerHeartbeat{Info: r.workerInfo(), Load: r.load(sentAt, o), Session: c.firstSession, MembersHash: c.membersHash, NoReply: o == nil,
		EvacuationRevision: r.evacuation.State().Revision}
	if o != nil {
		req.Session, req.Receiver = o.Session(), o.process
	}
	unconfirmed, newestCrash := r.crashes.After(sentAt, c.confirmedCrashes)
	req.Crashes = wire.NewCrashRecords(sentAt, unconfirmed)
	detaching := c.unwanted && (o == nil || !o.busy())
	r.updateGauges(&req.Load)
	r.runMachineAndUnlock(sentAt)
	var reply wire.RunnerHeartbeatReply
	err := c.rpcClient.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Beat", &req, &reply)
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if err == nil {
		err = c.handleReply(now, sentAt, req.Session, &reply)
	}
	if err == nil && o == c.owner { // the process that has replied had those up to the confirmed one
		c.confirmedCrashes = max(c.confirmedCrashes, newestCrash)
	}
	if err != nil {
		c.handleFailure(now, err)
	}
	c.noteTried(now)
	if detaching && c.unwanted && (c.owner == nil || !c.owner.busy()) {
		c.remove(now, "no longer chosen")
		return true
	}
	if err != nil && now-c.failingSince > entryTimeout && (c.owner == nil || !c.owner.Live() || !c.owner.busy()) {
		delete(r.seeds, c.address)
		c.remove(now, "no answer")
		return true
	}
	return false
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
	scope.Gauge("entries_attached").Update(float64(len(r.entries)))
	scope.Gauge("worker_slowness").Update(load.Slowness)
}

// handleReply handles the reply to a heartbeat of a session. It returns an error if the
// reply is invalid and so has no effect; mu is held.
func (c *entryClient) handleReply(now, sentAt time.Duration, session uint64, reply *wire.RunnerHeartbeatReply) error {
	if err := reply.Validate(); err != nil {
		event.LogRateLimited(event.RPCFrameRejected, "peer", c.address, "err", err)
		return err
	}
	r := c.runner
	r.applyEvacuation(now, reply.Evacuation, c.address)
	if r.supervisor != nil {
		r.supervisor.fenceOff(now, reply.FencingToken)
	}
	if c.owner == nil || c.owner.process != reply.Entry {
		if c.owner != nil {
			r.dropOwner(now, c.owner, "another process answers", 0)
			if !r.machine.HasRunsOf(c.owner.process) {
				delete(r.owners, c.owner.process)
			}
		}
		o := r.owners[reply.Entry]
		if o == nil {
			o = &owner{Owner: ownership.New(session), runner: r, process: reply.Entry}
			r.owners[reply.Entry] = o
		}
		o.client = c
		c.owner = o
		c.confirmedCrashes = 0
		// The entry instance may know an earlier process of this sidecar and wait for a
		// heartbeat that names it, and it has not heard of earlier crashes.
		c.wake()
	}
	o := c.owner
	if o.Session() != session {
		c.wake() // the owner was dropped in the meantime; the next heartbeat reports the new session
		return nil
	}
	if reply.DropRuns && o.Live() {
		r.dropOwner(now, o, reasonUndelivered, now-o.LastContact())
		c.wake() // the next heartbeat reports the new session
		return nil
	}
	wasLive := o.Live()
	if !o.HeartbeatAnswered(now, sentAt, session) {
		return nil
	}
	if !wasLive {
		event.LogRateLimited(event.OwnerInContact, "owner", o.process.String(), "address", c.address, "session", session)
	}
	recovered := c.failingSince > 0 || !wasLive
	c.failingSince, c.refused = 0, false
	if c.updateMembers(reply) || recovered {
		r.updateAttachments(now)
	}
	return nil
}

// updateMembers takes over the list of entry instances in a reply, and reports whether it
// has changed. The earlier list stays if the new one is empty or invalid; mu is held.
func (c *entryClient) updateMembers(reply *wire.RunnerHeartbeatReply) bool {
	if reply.MembersHash == c.membersHash || len(reply.Members) == 0 {
		return false
	}
	if err := reply.ValidateMembers(); err != nil {
		event.LogRateLimited(event.RPCFrameRejected, "peer", c.address, "err", err)
		return false
	}
	c.members, c.membersHash = reply.Members, reply.MembersHash
	return true
}

// workerInfo returns the description of this sidecar and its worker for a heartbeat;
// mu is held.
func (r *Runner) workerInfo() wire.WorkerInfo {
	info := wire.WorkerInfo{Sidecar: r.self}
	if r.supervisor != nil {
		// Orders the processes of this sidecar, also while there is no worker.
		info.FencingToken = r.supervisor.fencingToken
	}
	if !r.workerLeft {
		info.Worker, info.Service, info.Rack, info.Labels = r.report.ID, r.report.Service, r.report.Rack, r.report.Labels
		info.Incarnation = r.report.Incarnation
	}
	return info
}
