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

// owner is an entry incarnation. Its fields are guarded by Runner.mu.
type owner struct {
	r       *Runner
	process ident.Process
	link    *link
	// contact is when the newest answered heartbeat was sent.
	contact time.Duration
	// live is false while the owner is out of contact; session counts the times
	// that its runs were dropped.
	live    bool
	session uint64
	// applied is the sequence of the newest batch.
	applied uint64
	ends    []wire.RunEnd
	sending bool
}

// checkOwners drops the owners that are out of contact; mu is held.
func (r *Runner) checkOwners(now time.Duration) {
	for _, o := range r.owners {
		if o.live && now-o.contact > ownerSilence {
			r.dropOwner(now, o, "no answer to heartbeats", now-o.contact)
		}
	}
}

// dropOwner stops what runs for an owner; mu is held.
func (r *Runner) dropOwner(now time.Duration, o *owner, reason string, age time.Duration) {
	if !o.live {
		return
	}
	o.live = false
	o.session++
	o.applied = 0
	o.ends = nil
	runs := r.m.DropOwner(now, o.process)
	event.LogRateLimited(event.OwnerLost, "owner", o.process.String(), "reason", reason, "silentMs", age.Milliseconds(),
		"runs", len(runs), "jobs", jobsOf(runs))
}

// maxNamed bounds the jobs that one log line names.
const maxNamed = 32

// jobsOf returns the jobs of runs for a log line, each once.
func jobsOf(runs []work.RunID) string {
	var names []string
	for _, run := range runs {
		if len(names) < maxNamed && !slices.Contains(names, run.Task.Job) {
			names = append(names, run.Task.Job)
		}
	}
	return strings.Join(names, " ")
}

// load returns the summary for an owner; mu is held.
func (r *Runner) load(now time.Duration, o *owner) wire.Load {
	l := r.m.Load(now)
	if o != nil {
		l.AppliedSequence = o.applied
	}
	return l
}

// send starts a call with the ends that wait, unless one is under way; mu is
// held.
func (o *owner) send() {
	if o.sending || len(o.ends) == 0 {
		return
	}
	o.sending = true
	go o.sendEnds()
}

// sendEnds repeats the ends until they are acknowledged or the owner is gone.
func (o *owner) sendEnds() {
	r := o.r
	r.mu.Lock()
	for len(o.ends) > 0 && o.live && r.ctx.Err() == nil {
		now := clock.SinceBoot()
		batch := wire.EndBatch{Entry: o.process, Sidecar: r.self.Process, Ends: o.ends[:len(o.ends):len(o.ends)], Load: r.load(now, o)}
		session := o.session
		r.mu.Unlock()
		var reply wire.EndReply
		err := o.link.client.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Ends", &batch, &reply)
		r.mu.Lock()
		if err == nil && o.session == session {
			o.ends = o.ends[len(batch.Ends):]
			if reply.WrongIncarnation {
				r.dropOwner(clock.SinceBoot(), o, "another process answers", 0)
			}
		}
		if err != nil {
			r.mu.Unlock()
			time.Sleep(endRetry)
			r.mu.Lock()
		}
	}
	o.sending = false
	r.leave(clock.SinceBoot())
}

// endRetry is the pause before ends are sent again.
const endRetry = 20 * time.Millisecond

// maxBatchAge bounds the age of the heartbeat that the sender of a batch had
// read. Older batches were held up by the network: the jobs may have been given
// up meanwhile, and handed in again elsewhere.
const maxBatchAge = 900 * time.Millisecond

// service is what entry instances call.
type service struct{ r *Runner }

// Run carries out a batch. A batch that was carried out before is ignored.
func (s *service) Run(req *wire.RunBatch, reply *wire.RunReply) error {
	r := s.r
	now := r.enter()
	defer r.leave(now)
	o := r.owners[req.Entry]
	if o == nil || !o.live || req.Session != o.session || req.Sidecar != r.self.Process {
		reply.Rejected = true
		return nil
	}
	if now-time.Duration(req.SidecarClockMs)*time.Millisecond > maxBatchAge {
		reply.Stale = true
		return nil
	}
	if req.Sequence > o.applied {
		o.applied = req.Sequence
		r.m.Submit(now, o.process, req.Runs)
		for _, id := range req.Stops {
			if !r.m.Stop(now, id) {
				// It was never sent, or its end is known to the owner already.
				o.ends = append(o.ends, wire.RunEnd{Run: id, Outcome: work.NotRun, Reason: "unknown run"})
			}
		}
		o.send()
	}
	reply.Load = r.load(now, o)
	return nil
}
