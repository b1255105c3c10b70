package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// owner is an entry incarnation that sends runs to this sidecar. Its fields are
// guarded by Runner.mu.
type owner struct {
	runner  *Runner
	process ident.Process
	client  *entryClient
	// lastContact is the time at which the newest answered heartbeat was sent.
	lastContact time.Duration
	// live is false while the owner is out of contact. session increases each time
	// that the owner's runs are dropped.
	live    bool
	session uint64
	// appliedSequence is the sequence number of the newest batch that was carried
	// out in this session.
	appliedSequence uint64
	// pendingEnds are the ends of runs that the owner has not acknowledged.
	pendingEnds []wire.RunEnd
	sending     bool // sendEnds is running
}

// dropSilentOwners drops the owners that are out of contact; mu is held.
func (r *Runner) dropSilentOwners(now time.Duration) {
	for _, o := range r.owners {
		if o.live && now-o.lastContact > ownerTimeout {
			r.dropOwner(now, o, "no answer to heartbeats", now-o.lastContact)
		}
	}
}

// dropOwner stops the runs of an owner and ends its session; mu is held.
func (r *Runner) dropOwner(now time.Duration, o *owner, reason string, silence time.Duration) {
	if !o.live {
		return
	}
	o.live = false
	o.session++
	o.appliedSequence = 0
	o.pendingEnds = nil
	runs := r.machine.DropOwner(now, o.process)
	event.LogRateLimited(event.OwnerLost, "owner", o.process.String(), "reason", reason, "silentMs", silence.Milliseconds(),
		"runs", len(runs), "jobs", jobNames(runs))
}

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
	if o != nil {
		load.AppliedSequence = o.appliedSequence
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
	r.mu.Lock()
	for len(o.pendingEnds) > 0 && o.live && r.ctx.Err() == nil {
		now := clock.SinceBoot()
		batch := wire.EndBatch{Entry: o.process, Sidecar: r.self.Process, Ends: o.pendingEnds[:len(o.pendingEnds):len(o.pendingEnds)], Load: r.load(now, o)}
		session := o.session
		r.mu.Unlock()
		var reply wire.EndReply
		err := o.client.rpcClient.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Ends", &batch, &reply)
		r.mu.Lock()
		if err == nil && o.session == session {
			o.pendingEnds = o.pendingEnds[len(batch.Ends):]
			if reply.WrongIncarnation {
				r.dropOwner(clock.SinceBoot(), o, "another process answers", 0)
			}
		}
		if err != nil {
			r.mu.Unlock()
			time.Sleep(endResendDelay)
			r.mu.Lock()
		}
	}
	o.sending = false
	r.runMachineAndUnlock(clock.SinceBoot())
}

// endResendDelay is the delay before ends are sent again.
const endResendDelay = 20 * time.Millisecond

// maxBatchAge bounds the time from the newest heartbeat that the sender of a batch
// had received to the arrival of the batch. A batch that arrives later was delayed on
// the network: its jobs may have been abandoned in the meantime and submitted again
// elsewhere.
const maxBatchAge = 900 * time.Millisecond

// rpcService is the RPC service that entry instances call.
type rpcService struct{ runner *Runner }

// Run carries out a batch of starts and stops. It ignores a batch that it has
// carried out before.
func (s *rpcService) Run(req *wire.RunBatch, reply *wire.RunReply) error {
	r := s.runner
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	o := r.owners[req.Entry]
	if o == nil || !o.live || req.Session != o.session || req.Sidecar != r.self.Process {
		reply.Rejected = true
		return nil
	}
	if now-time.Duration(req.SidecarClockMs)*time.Millisecond > maxBatchAge {
		reply.Stale = true
		return nil
	}
	if req.Sequence > o.appliedSequence {
		o.appliedSequence = req.Sequence
		r.machine.Submit(now, o.process, req.Runs)
		for _, id := range req.Stops {
			if !r.machine.Stop(now, id) {
				// The run was never sent, or its end has been reported to the owner.
				o.pendingEnds = append(o.pendingEnds, wire.RunEnd{Run: id, Outcome: work.NotRun, Reason: "unknown run"})
			}
		}
		o.startSending()
	}
	reply.Load = r.load(now, o)
	return nil
}
