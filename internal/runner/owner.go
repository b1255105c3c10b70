package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// owner is an entry incarnation that sends runs to this sidecar. Its fields are
// guarded by Runner.mu.
type owner struct {
	ownership.Owner
	runner  *Runner
	process ident.Process
	client  *entryClient
	// pendingEnds are the ends of runs that the owner has not acknowledged.
	pendingEnds []wire.RunEnd
	// ackedEnds is the number of ends that the owner has acknowledged in the session.
	ackedEnds uint64
	sending   bool // sendEnds is running
	// reportedRoom is the room in the newest load summary for the owner.
	reportedRoom occupancy.Room
}

// busy reports whether the owner has runs here, or ends that it has not acknowledged; mu
// is held.
func (o *owner) busy() bool {
	return len(o.pendingEnds) > 0 || o.runner.machine.HasRunsOf(o.process)
}

// dropSilentOwners drops the owners that are out of contact and have runs here; mu is
// held.
func (r *Runner) dropSilentOwners(now time.Duration) {
	for _, o := range r.owners {
		if o.OutOfContact(now) && o.busy() {
			r.dropOwner(now, o, "no answer to heartbeats", now-o.LastContact())
		}
	}
}

// leaseLimit returns the latest end of a lease that the contact with the owners that have
// runs here and the abandoned runs allow, and whether there is such a limit; mu is held. It
// includes dropped owners, because the worker may leave the stop calls for their runs unanswered.
func (r *Runner) leaseLimit() (limit time.Duration, limited bool) {
	if at, found := r.machine.OldestAbandoned(); found {
		limit, limited = at+abandonedLease, true
	}
	for _, o := range r.owners {
		if at := o.LastContact() + ownership.LeaseAfterContact; o.busy() && (!limited || at < limit) {
			limit, limited = at, true
		}
	}
	return limit, limited
}

// nextOwnerTimeout returns the time after which the first owner with runs here is out of
// contact, zero if there is no such owner; mu is held.
func (r *Runner) nextOwnerTimeout() time.Duration {
	first := time.Duration(0)
	for _, o := range r.owners {
		if at := o.LastContact() + ownership.Timeout + time.Millisecond; o.Live() && o.busy() && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// dropOwner stops the runs of an owner and ends its session; mu is held.
func (r *Runner) dropOwner(now time.Duration, o *owner, reason string, silence time.Duration) {
	if !o.Live() {
		return
	}
	o.Drop()
	o.pendingEnds, o.ackedEnds = nil, 0
	runs := r.machine.DropOwner(now, o.process)
	event.LogRateLimited(event.OwnerLost, "owner", o.process.String(), "reason", reason, "silentMs", silence.Milliseconds(),
		"runs", len(runs), "jobs", jobNames(runs))
}

// reasonUndelivered is the reason for which an owner is dropped that can't deliver its stops.
const reasonUndelivered = "the owner can't deliver its stops"

// maxLoggedJobs bounds the number of jobs that one log line names.
const maxLoggedJobs = 32

// jobNames returns the IDs of the jobs of runs for a log line, each once.
func jobNames(runs []work.RunID) string {
	var names []string
	for _, run := range runs {
		if len(names) < maxLoggedJobs && !slices.Contains(names, run.Task.Job) {
			names = append(names, run.Task.Job)
		}
	}
	return strings.Join(names, " ")
}

// load returns the load summary for an owner, which may be nil; mu is held.
func (r *Runner) load(now time.Duration, o *owner) wire.Load {
	load := r.machine.Load(now)
	load.ClockMs = now.Milliseconds()
	if o != nil {
		load.AppliedSequence = o.AppliedSequence()
		load.AcceptsRuns = load.AcceptsRuns && !o.client.unwanted
		o.reportedRoom = occupancy.RoomIn(&load)
	}
	return load
}

// startSending starts sendEnds if ends are pending and sendEnds is not running yet;
// mu is held.
func (o *owner) startSending() {
	if o.sending || len(o.pendingEnds) == 0 {
		return
	}
	o.sending = true
	go o.sendEnds()
}

// sendEnds sends the pending ends, and repeats them until the owner has acknowledged
// them or is dropped.
func (o *owner) sendEnds() {
	r := o.runner
	now := r.lockAndDropSilentOwners()
	for len(o.pendingEnds) > 0 && o.Live() && r.ctx.Err() == nil {
		ends := min(len(o.pendingEnds), maxReportedEnds)
		batch := wire.EndBatch{Entry: o.process, Sidecar: r.self.Process, Session: o.Session(), FirstEnd: o.ackedEnds + 1, Ends: o.pendingEnds[:ends:ends], Load: r.load(now, o)}
		unconfirmed, _ := r.crashes.After(now, o.client.confirmedCrashes)
		batch.Crashes = wire.NewCrashRecords(now, unconfirmed)
		sentAt, session := now, o.Session()
		r.mu.Unlock()
		var reply wire.EndReply
		err := o.client.rpcClient.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Ends", &batch, &reply)
		if err != nil {
			time.Sleep(endResendDelay)
		}
		r.mu.Lock()
		now = clock.SinceBoot()
		if err == nil && o.Session() == session {
			o.ReportAnswered(sentAt, session)
			o.pendingEnds = o.pendingEnds[len(batch.Ends):]
			o.ackedEnds += uint64(len(batch.Ends))
			switch {
			case reply.WrongIncarnation:
				r.dropOwner(now, o, "another process answers", 0)
			case reply.DropRuns:
				r.dropOwner(now, o, reasonUndelivered, now-o.LastContact())
			}
		}
		r.dropSilentOwners(now)
	}
	o.sending = false
	r.runMachineAndUnlock(now)
}

const (
	// endResendDelay is the delay before ends are sent again.
	endResendDelay = 20 * time.Millisecond
	// maxReportedEnds bounds the ends in one report, and maxReasonBytes the reason of each, so
	// that a report fits into one message.
	maxReportedEnds = 1000
	maxReasonBytes  = 200
)

// rpcService is the RPC service that entry instances call.
type rpcService struct{ runner *Runner }

// Run carries out a batch of starts and stops. It ignores a batch that it has
// carried out before.
func (s *rpcService) Run(req *wire.RunBatch, reply *wire.RunReply) error {
	r := s.runner
	if err := req.Validate(); err != nil {
		event.LogRateLimited(event.RPCFrameRejected, "peer", req.Entry.String(), "err", err)
		return err
	}
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	o := r.owners[req.Entry]
	if o == nil || req.Sidecar != r.self.Process {
		reply.Rejected = true
		return nil
	}
	switch o.Admit(now, ownership.Batch{Session: req.Session, Sequence: req.Sequence, BuiltAt: time.Duration(req.SidecarClockMs) * time.Millisecond, HasRuns: len(req.Runs) > 0}) {
	case ownership.Rejected:
		reply.Rejected = true
		return nil
	case ownership.Apply:
		for i := range req.Runs {
			req.Runs[i].Description = req.Description
		}
		r.machine.Submit(now, o.process, req.Runs)
		o.stopRuns(now, req.Stops)
	case ownership.Stale:
		reply.Stale = true
		o.stopRuns(now, req.Stops)
	case ownership.Applied:
	}
	o.client.scheduleHeartbeat(now)
	reply.Load = r.load(now, o)
	return nil
}

// stopRuns stops runs that the owner no longer needs; mu is held.
func (o *owner) stopRuns(now time.Duration, runs []work.RunID) {
	for _, id := range runs {
		if !o.runner.machine.Stop(now, o.process, id) {
			// The run was never sent, or its end has been reported to the owner.
			o.pendingEnds = append(o.pendingEnds, wire.RunEnd{Run: id, Outcome: work.NotRun, Reason: "unknown run"})
		}
	}
	o.startSending()
}
