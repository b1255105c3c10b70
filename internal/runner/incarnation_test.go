package runner

import (
	"syscall"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against an old status whose end numbers acknowledge ends of the next process unseen.
func TestStatusOfExitedProcess(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 9))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
	requestedAt := clock.SinceBoot()
	handleReport(r, report(2, 1))
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	s.handleStatus(requestedAt, StatusReply{Incarnation: 1, ClockMs: 480000, NewestEnd: 57, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Done}}})
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
	if req, _ := s.nextStatusRequest(); req.LastSeenEnd != 0 {
		t.Errorf("the ends up to %d are acknowledged to a process that has listed none", req.LastSeenEnd)
	}
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 4, NewestEnd: 1, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Done}}})
	if req, _ := s.nextStatusRequest(); req.LastSeenEnd != 1 {
		t.Errorf("the ends up to %d are acknowledged, want the one that was listed", req.LastSeenEnd)
	}
}

// Guards against a fencing token that falls in the heartbeats of one process: an entry
// instance would take a late heartbeat of an ended process for one of its successor.
func TestFencingTokenNeverFalls(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Fenced: true})
	token := r.workerInfo().FencingToken
	r.HandleDeregistration("i-1", 1)
	if got := r.workerInfo().FencingToken; got < token {
		t.Errorf("token %d after the worker has left, %d before", got, token)
	}
	next := report(2, 1)
	next.Address = "127.0.0.1:2"
	handleReport(r, next)
	if got := r.workerInfo().FencingToken; got < token {
		t.Errorf("token %d of a worker at another address, %d before", got, token)
	}
}

// Guards against a worker that is never used again because the time of day was set back
// before it restarted, so that its reports look like those of an earlier incarnation.
func TestWorkerWithEarlierStartTime(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(100, 9))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 50, ClockMs: 480000})
	requestedAt := r.reportedAt + time.Millisecond
	s.handleStatus(requestedAt, StatusReply{Incarnation: 100, ClockMs: 480000})
	select {
	case <-s.wakeCh:
	default:
	}
	handleReport(r, report(50, 1))
	if r.report.Incarnation != 100 {
		t.Error("a report of an earlier incarnation is taken for news")
	}
	if len(s.wakeCh) == 0 {
		t.Error("no status request finds out whether the worker runs in that incarnation")
	}
	s.handleStatus(requestedAt+time.Millisecond, StatusReply{Incarnation: 50, ClockMs: 3})
	handleReport(r, report(50, 1))
	s.handleStatus(requestedAt+2*time.Millisecond, StatusReply{Incarnation: 50, ClockMs: 4})
	if !r.machine.AcceptsRuns() {
		t.Error("the worker accepts no runs after it has restarted")
	}
	handleReport(r, report(100, 10))
	if !r.machine.AcceptsRuns() {
		t.Error("a late report of the incarnation that has exited is taken for news")
	}
}

// Guards against a run that occupies capacity for good because the answer to its start call
// arrives after the worker has reported another address.
func TestStartAnsweredAfterNewAddress(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r.mu.Lock()
	r.machine.Submit(clock.SinceBoot(), ident.Process{Instance: "entry"}, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, EstimateMs: 3000, MaxWaitMs: 100}})
	r.machine.Actions() // the test sends the start call
	r.mu.Unlock()
	next := report(2, 1)
	next.Address = "127.0.0.1:2"
	handleReport(r, next)
	s.handleStartReply(StartRequest{Run: run}, StartReply{Result: occupancy.Accepted})
	r.supervisor.handleStatus(clock.SinceBoot()+time.Millisecond, StatusReply{Incarnation: 2, ClockMs: 3})
	if active := r.machine.NumActive(); active != 0 {
		t.Errorf("%d runs are active on a worker that executes none", active)
	}
}

// Guards against a worker that is closed by the late deregistration of its predecessor.
func TestDeregistrationOfExitedProcess(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	handleReport(r, report(2, 1))
	r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 5})
	r.HandleDeregistration("i-1", 1)
	if !r.machine.AcceptsRuns() {
		t.Error("the worker accepts no runs after the deregistration of its predecessor")
	}
	r.HandleDeregistration("i-1", 2)
	if r.machine.AcceptsRuns() {
		t.Error("the worker accepts runs after its own deregistration")
	}
}

// Guards against leases in the clock of a worker process that has exited, which its status,
// handled after the report of the next process, would set.
func TestClockOfExitedProcess(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 9))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
	r.mu.Lock()
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r.machine.Submit(clock.SinceBoot(), ident.Process{Instance: "entry"}, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, EstimateMs: 3000, MaxWaitMs: 100}})
	r.machine.Actions() // the test sends the start call, and it does not return
	r.mu.Unlock()
	requestedAt := clock.SinceBoot()
	handleReport(r, report(2, 1))
	s.handleStatus(requestedAt, StatusReply{Incarnation: 1, ClockMs: 480000})
	if req, _ := s.nextStatusRequest(); req.LeaseEndMs != 0 {
		t.Errorf("leases end at %d ms on a clock that began anew", req.LeaseEndMs)
	}
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
	if req, _ := s.nextStatusRequest(); req.LeaseEndMs == 0 || req.LeaseEndMs > 2000 {
		t.Errorf("leases end at %d ms on a clock that began anew", req.LeaseEndMs)
	}
}

// Guards against a call that an exited worker process has left unanswered and that has effect,
// seconds later, at the next process, beside another run of the task or unseen by the sidecar.
func TestEarlierCallsFenced(t *testing.T) {
	for name, notice := range map[string]func(s *supervisor) (pause bool){
		"seen in a status": func(s *supervisor) bool {
			return s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
		},
		"seen in a report": func(s *supervisor) bool {
			s.runner.HandleReport(report(2, 1))
			return s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
		},
		"after two refusals": func(s *supervisor) bool {
			s.handleStatusFailure(syscall.ECONNREFUSED, 2, 2)
			return false
		},
	} {
		r := newSilentRunner(t)
		handleReport(r, report(1, 1))
		s := r.supervisor
		if !s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000}) {
			t.Errorf("%s: an idle worker is polled", name)
		}
		before, _ := s.nextStatusRequest()
		if notice(s) {
			t.Errorf("%s: polling pauses before the next process has seen another fencing token", name)
		}
		after, requestedAt := s.nextStatusRequest()
		if after.FencingToken <= before.FencingToken {
			t.Errorf("%s: token %d, want more than that of the exited process, %d", name, after.FencingToken, before.FencingToken)
		}
		if !s.handleStatus(requestedAt, StatusReply{Incarnation: 2, ClockMs: 4}) {
			t.Errorf("%s: polling goes on after the next process has seen the fencing token", name)
		}
		if next, _ := s.nextStatusRequest(); next.FencingToken > after.FencingToken+1 {
			t.Errorf("%s: token %d, raised again from %d", name, next.FencingToken, after.FencingToken)
		}
	}
}

// Guards against leases in the clock of an exited worker process, and against a fencing token
// that no successor of the sidecar exceeds, from the late answer to a start call.
func TestStartAnsweredByExitedProcess(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
	req := StartRequest{FencingToken: s.fencingToken}
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
	offset, token := s.clockOffset, s.fencingToken
	s.handleStartReply(req, StartReply{Result: occupancy.Rejected, ClockMs: 480001, Fenced: true})
	if s.clockOffset != offset {
		t.Errorf("clock offset %v from a worker process that has exited, want %v", s.clockOffset, offset)
	}
	if s.fencingToken != token {
		t.Errorf("token %d after an earlier token was refused, want %d", s.fencingToken, token)
	}
}

// Guards against runs reported as lost while the worker executes them, because a late report of
// an exited incarnation is taken for news after the time of day was set back twice.
func TestLateReportAfterTwoSetBacks(t *testing.T) {
	r := newSilentRunner(t)
	for _, incarnation := range []int64{100, 50, 30} {
		if r.supervisor != nil {
			r.supervisor.handleStatus(r.reportedAt+time.Nanosecond, StatusReply{Incarnation: incarnation, ClockMs: 3})
		}
		handleReport(r, report(incarnation, 1))
		r.supervisor.handleStatus(r.reportedAt+time.Nanosecond, StatusReply{Incarnation: incarnation, ClockMs: 4})
	}
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	submitRun(r, run)
	r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 30, ClockMs: 5, Running: []occupancy.Progress{{Run: run}}})
	for _, exited := range []int64{100, 50} {
		handleReport(r, report(exited, 9))
		if r.report.Incarnation != 30 || r.machine.NumActive() != 1 {
			t.Errorf("a late report of incarnation %d is taken for news: %d runs are active", exited, r.machine.NumActive())
		}
	}
	r.supervisor.handleStatus(r.reportedAt+time.Nanosecond, StatusReply{Incarnation: 50, ClockMs: 6})
	if handleReport(r, report(50, 10)); r.report.Incarnation != 50 {
		t.Error("a report of the running incarnation is ignored")
	}
}

// loseWorker lets the known worker be out of contact for so long that its leases have expired.
func loseWorker(r *Runner) {
	s := r.supervisor
	s.handleStatusFailure(syscall.ECONNREFUSED, 2, 2)
	past := clock.SinceBoot() - time.Minute
	r.mu.Lock()
	r.reportedAt, s.lastStatusAt, s.leasesExpireAt, s.longLeasesExpireAt = past, past, past, past
	r.mu.Unlock()
	s.handleStatusFailure(syscall.ECONNREFUSED, 3, 3)
}

// Guards against a worker that is never used again because the time of day was set back before
// it restarted at another address, where no status request reaches it.
func TestEarlierStartTimeAtNewAddress(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(100, 9))
	next := report(50, 1)
	next.Address = "127.0.0.1:2"
	if handleReport(r, next); r.report.Incarnation != 100 {
		t.Error("a report of an earlier incarnation is taken for news while its successor may be running")
	}
	r.supervisor.handleStatusFailure(syscall.ECONNREFUSED, 2, 2)
	next.Sequence++
	if handleReport(r, next); r.report.Incarnation != 100 {
		t.Error("refused connections are taken for the end of a process")
	}
	if loseWorker(r); r.report.Incarnation != 50 {
		t.Fatal("the report is ignored after the known incarnation has been lost")
	}
	r.supervisor.handleStatus(r.reportedAt+time.Nanosecond, StatusReply{Incarnation: 50, ClockMs: 4})
	if !r.machine.AcceptsRuns() {
		t.Error("the worker accepts no runs after it has restarted at another address")
	}
	if handleReport(r, report(100, 10)); r.report.Incarnation != 50 {
		t.Error("a late report of the incarnation that has exited is taken for news")
	}
	loseWorker(r)
	handleReport(r, report(100, 10)) // late, but nothing shows it while no worker accepts connections
	loseWorker(r)
	next.Sequence++
	if handleReport(r, next); r.report.Incarnation != 50 {
		t.Error("a worker is not used again after a late report from another address")
	}
}

// Guards against late calls of an earlier sidecar process that a restarted worker carries out,
// because the time of day was set back before this process took its fencing token from it.
func TestTokenAboveEarlierProcess(t *testing.T) {
	now := clock.SinceBoot()
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	c := newTestClient(r, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.supervisor.fencingToken
	for _, reported := range []int64{0, own - 1, own} {
		if err := c.handleReply(now, now, 4, &wire.RunnerHeartbeatReply{Entry: c.owner.process, FencingToken: reported}); err != nil || r.supervisor.fencingToken != own {
			t.Errorf("token %d after a reply with %d, want %d (%v)", r.supervisor.fencingToken, reported, own, err)
		}
	}
	if err := c.handleReply(now, now, 4, &wire.RunnerHeartbeatReply{Entry: c.owner.process, FencingToken: own + 5000}); err != nil || r.supervisor.fencingToken != own+5001 {
		t.Errorf("token %d, want %d (%v)", r.supervisor.fencingToken, own+5001, err)
	}
	if err := c.handleReply(now, now, 4, &wire.RunnerHeartbeatReply{Entry: c.owner.process, FencingToken: 1 << 62}); err == nil || r.supervisor.fencingToken != own+5001 {
		t.Errorf("token %d after an impossible one (%v)", r.supervisor.fencingToken, err)
	}
}
