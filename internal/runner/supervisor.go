package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// StartTimeout is the timeout of a StartRun or StopRun call. Workers reply in
	// about a millisecond.
	StartTimeout = 40 * time.Millisecond
	// maxStartDelay is the time after the decision to start a run after which the call is
	// not made. It is shorter than the silence of a sidecar after which its tasks are started
	// elsewhere.
	maxStartDelay = 200 * time.Millisecond
	// maxStartCalls and maxStopCalls bound the calls that wait for an answer at a time. Further
	// ones wait for their turn, so that each kind of call, and status requests above all, gets
	// through when one kind comes in great numbers.
	maxStartCalls = 16
	maxStopCalls  = 6
	// MaxWorkerCalls is the largest number of calls to the worker at a time, with a status
	// request, and one that has timed out and is not closed yet.
	MaxWorkerCalls = maxStartCalls + maxStopCalls + 2
	// statusWait is the Wait of a status request while runs are active, and
	// statusTimeout the additional time for the reply. The sidecar notices no ended
	// run for the sum of both when a request gets no reply.
	statusWait    = 40 * time.Millisecond
	statusTimeout = 40 * time.Millisecond
	// statusRetryDelay is the delay after a status request that failed without a
	// timeout, and the least time between two requests to a worker that refused the
	// fencing token or did not wait although no run had ended.
	statusRetryDelay = 30 * time.Millisecond
	// refusedStatusDelay is the delay after a status request that the worker has refused. The
	// worker lives, and its leases end unless a request gets through.
	refusedStatusDelay = 10 * time.Millisecond
	// maxHastyStatuses is the number of status requests in a row that ask for no wait and
	// follow each other without a delay: the first one, and one with a raised token or an
	// acknowledgment. A process that has not reported is asked for no wait.
	maxHastyStatuses = 2
	// workerTimeout is the time without a status after which the worker gets no
	// runs and its leases are not extended. It covers several requests, because a
	// healthy worker also leaves single requests unanswered.
	workerTimeout = 500 * time.Millisecond
	// fencingTokenStep is added to the fencing token when the worker has seen a
	// higher one, which an earlier process used while its clock was ahead.
	fencingTokenStep = int64(10 * time.Minute / time.Millisecond)
	// maxFencingDoublings bounds how often the step is doubled while the worker refuses
	// status requests, so that few requests make up for a clock that was years ahead.
	maxFencingDoublings = 20
)

// supervisor polls the worker at one address, extends its leases, and sends it the
// start and stop calls. The fields are guarded by Runner.mu.
type supervisor struct {
	runner       *Runner
	client       WorkerClient
	fencingToken int64
	// tokenRaisedAt is the time at which the token was raised for a new worker process, and
	// incarnation the process for which it was set, zero if that one is unknown.
	tokenRaisedAt time.Duration
	incarnation   int64
	// fencedStatuses is the number of status requests in a row that the worker has
	// refused because of the fencing token.
	fencedStatuses int
	wakeCh         chan struct{}
	// startSlots and stopSlots hold an element for each call that waits for an answer.
	startSlots, stopSlots chan struct{}
	ctx                   context.Context
	cancel                context.CancelFunc

	// lastSeenEnd is the number of the newest ended run that a status has listed.
	lastSeenEnd uint64
	// clockOffset is the worker's clock minus the clock of this machine, or less, at
	// clockReadAt. It is known after the first reply.
	clockOffset      time.Duration
	clockReadAt      time.Duration
	clockOffsetKnown bool
	// inContact is true while the worker replies to status requests. Only then are
	// leases extended.
	inContact bool
	// lastStatusAt is the time of the last status or of the last end of
	// waitForRuns, whichever is later.
	lastStatusAt time.Duration
	// leasesExpireAt is the time at which all requested leases have certainly
	// expired in the worker process whose clock is known, and longLeasesExpireAt that
	// for one that has read the ends of leases on another clock.
	leasesExpireAt, longLeasesExpireAt time.Duration
	// unackedEnds is true if a status has listed ended runs that no later status
	// request has acknowledged.
	unackedEnds bool
}

// newSupervisor returns a supervisor that does not poll yet.
func newSupervisor(r *Runner, client WorkerClient) *supervisor {
	s := &supervisor{runner: r, client: client, wakeCh: make(chan struct{}, 1),
		startSlots: make(chan struct{}, maxStartCalls), stopSlots: make(chan struct{}, maxStopCalls)}
	s.ctx, s.cancel = context.WithCancel(r.ctx)
	return s
}

// startSupervisor replaces the supervisor by one for the worker at an address; mu is
// held.
func (r *Runner) startSupervisor(address string) {
	// The start time orders the fencing tokens of successive sidecar processes on
	// this machine. The worker remembers the highest token.
	fencingToken := time.Now().UnixMilli()
	if r.supervisor != nil {
		r.supervisor.close()
		fencingToken = max(fencingToken, r.supervisor.fencingToken+1)
	}
	s := newSupervisor(r, r.dialWorker(address))
	s.fencingToken = fencingToken
	r.supervisor = s
	r.wg.Go(s.pollStatus)
}

// close stops the polling and closes the client; mu is held.
func (s *supervisor) close() {
	s.cancel()
	s.client.Close()
}

// startRun sends the start call of a run in a new goroutine; mu is held.
func (s *supervisor) startRun(start occupancy.StartRun) {
	decidedAt := clock.SinceBoot()
	req := StartRequest{WorkerID: s.runner.report.ID, Incarnation: s.runner.report.Incarnation, Run: start.Run, Payload: start.Payload, FencingToken: s.fencingToken, LeaseEndMs: s.recordLeaseRequest(decidedAt)}
	go func() {
		s.handleStartReply(req, s.callStart(req, decidedAt))
	}()
}

// takeSlot waits for a free slot, at most for maxStartDelay, and reports whether it got one. The
// caller returns it with a receive.
func (s *supervisor) takeSlot(slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(maxStartDelay)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return false
}

// callStart makes a start call that was decided on at decidedAt. After a pause of this
// process it makes none: the task may be started elsewhere by now, and a worker process that
// began meanwhile reads the lease end on another clock.
func (s *supervisor) callStart(req StartRequest, decidedAt time.Duration) StartReply {
	if !s.takeSlot(s.startSlots) {
		return StartReply{Result: occupancy.Rejected, Reason: "too many start calls wait for an answer"}
	}
	defer func() { <-s.startSlots }()
	if clock.SinceBoot()-decidedAt > maxStartDelay {
		return StartReply{Result: occupancy.Rejected, Reason: "the start call was delayed for too long"}
	}
	if s.runner.withdrawsStarts() {
		return StartReply{Result: occupancy.Withdrawn, Reason: occupancy.ReasonEvacuated}
	}
	ctx, cancel := context.WithTimeout(s.ctx, StartTimeout)
	defer cancel()
	return s.client.StartRun(ctx, req)
}

// handleStartReply handles the result of a start call.
func (s *supervisor) handleStartReply(req StartRequest, reply StartReply) {
	r, run := s.runner, req.Run
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	// A call with an earlier token may have been answered by an earlier worker process.
	if req.FencingToken == s.fencingToken {
		if reply.ClockMs > 0 { // replies to start calls may lack the clock
			s.setClockOffset(now, reply.ClockMs)
		}
		if reply.Fenced {
			s.fencingToken += fencingTokenStep
		}
	}
	// A replaced supervisor's call also has to end: the machine waits for each answer.
	if reply.Result == occupancy.Unanswered {
		event.LogRateLimited(event.OrderUnanswered, "order", "start", "job", run.Task.Job, "task", run.Task.Index, "worker", r.report.ID, "reason", reply.Reason)
	}
	r.machine.StartAnswered(now, run, reply.Result, reply.Reason)
	if reply.Unreachable && r.supervisor == s {
		r.machine.WorkerUnreachable(now)
	}
	s.wake()
}

// stopRun sends a stop call for a run in a new goroutine; mu is held.
func (s *supervisor) stopRun(run work.RunID) {
	fencingToken := s.fencingToken
	go func() {
		if !s.takeSlot(s.stopSlots) {
			return // the machine repeats the stop call
		}
		ctx, cancel := context.WithTimeout(s.ctx, StartTimeout)
		err := s.client.StopRun(ctx, run, fencingToken)
		cancel()
		<-s.stopSlots
		r := s.runner
		now := r.lockAndDropSilentOwners()
		defer r.runMachineAndUnlock(now)
		if r.supervisor != s {
			return
		}
		if err != nil {
			event.LogRateLimited(event.OrderUnanswered, "order", "stop", "job", run.Task.Job, "task", run.Task.Index, "worker", r.report.ID, "err", err)
			if errors.Is(err, ErrRefused) {
				r.machine.StopRefused(now, run)
			}
			return
		}
		r.machine.StopConfirmed(now, run)
		s.wake()
	}()
}

// wake ends waitForRuns.
func (s *supervisor) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}
