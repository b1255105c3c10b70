package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// silentWorker answers no call until the sidecar closes its client.
type silentWorker struct {
	polled, closed chan struct{}
	once           *sync.Once
}

func newSilentWorker(string) WorkerClient {
	return silentWorker{make(chan struct{}), make(chan struct{}), &sync.Once{}}
}

func (w silentWorker) StartRun(context.Context, StartRequest) StartReply {
	<-w.closed
	return StartReply{Result: occupancy.Unanswered}
}

func (w silentWorker) StopRun(context.Context, work.RunID, int64) error {
	<-w.closed
	return context.Canceled
}

func (w silentWorker) PollStatus(context.Context, StatusRequest) (StatusReply, error) {
	w.once.Do(func() { close(w.polled) })
	<-w.closed
	return StatusReply{}, context.Canceled
}

func (w silentWorker) Close() { close(w.closed) }

// disableTicks keeps the timer of a sidecar from changing its state beside the test.
func disableTicks(r *Runner) {
	r.tickTimer.Stop()
	r.tickTimer = time.AfterFunc(time.Hour, func() {})
}

// handleReport hands a report to a sidecar whose worker is silent. It returns when the sidecar waits
// for an answer of the worker, so that no goroutine changes its state beside the test.
func handleReport(r *Runner, report Report) {
	r.HandleReport(report)
	r.mu.Lock()
	s := r.supervisor
	r.mu.Unlock()
	if s != nil {
		<-s.client.(silentWorker).polled
	}
}

// newSilentRunner returns a sidecar whose worker answers no call, so that the test alone
// decides what the sidecar hears.
func newSilentRunner(t *testing.T) *Runner {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second, ReportInterval: time.Minute},
		newSilentWorker, nil)
	if err != nil {
		t.Fatal(err)
	}
	disableTicks(r)
	t.Cleanup(func() {
		r.listener.Close()
		r.cancel()
		r.mu.Lock()
		if r.supervisor != nil {
			r.supervisor.close()
		}
		r.mu.Unlock()
		r.wg.Wait()
	})
	return r
}

func report(incarnation int64, sequence uint64) Report {
	return Report{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Incarnation: incarnation, Sequence: sequence, Capacity: work.Resources{MilliCPU: 4000}}
}

// newRunnerWithDroppedOwner returns a sidecar with a run of an owner that is dropped at the
// returned time, the time of its newest contact.
func newRunnerWithDroppedOwner(t *testing.T, run work.RunID) (r *Runner, droppedAt time.Duration) {
	r = newSilentRunner(t)
	handleReport(r, report(1, 1))
	r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
	entry := ident.Process{Instance: "entry", Incarnation: 1}
	o := &owner{Owner: ownership.New(4), runner: r, process: entry, client: &entryClient{runner: r, rpcClient: rpcnet.NewClient(r.Address()), wakeCh: make(chan struct{}, 1)}}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.SinceBoot()
	o.HeartbeatAnswered(now, now, 4)
	r.owners[entry] = o
	r.machine.Submit(now, entry, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, EstimateMs: 3000, MaxWaitMs: 100}})
	r.machine.StartAnswered(now, run, occupancy.Accepted, "")
	r.dropOwner(now, o, "test", 0)
	return r, now
}

// Guards against two runs of a task when the worker leaves a dropped owner's stops unanswered.
func TestLeasesOfDroppedOwner(t *testing.T) {
	r, droppedAt := newRunnerWithDroppedOwner(t, work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1})
	r.mu.Lock()
	defer r.mu.Unlock()
	end := time.Duration(r.supervisor.recordLeaseRequest(droppedAt+time.Second))*time.Millisecond - r.supervisor.clockOffset
	if end > droppedAt+ownership.LeaseAfterContact {
		t.Errorf("leases end %v after the newest contact with the owner, want at most %v", end-droppedAt, ownership.LeaseAfterContact)
	}
}

// Guards against starts that get no lease, and against a worker that stays closed after that.
func TestNoStartsWithoutLease(t *testing.T) {
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r, _ := newRunnerWithDroppedOwner(t, run)
	r.mu.Lock()
	defer r.mu.Unlock()
	limit, _ := r.leaseLimit()
	now := limit - minUsefulLease
	if r.updateAvailability(now - time.Millisecond); !r.machine.AcceptsRuns() {
		t.Error("no runs are accepted although they can get a lease")
	}
	if r.updateAvailability(now); r.machine.AcceptsRuns() {
		t.Error("runs are accepted that can't get a lease")
	}
	r.machine.ApplyStatus(now, occupancy.WorkerStatus{RequestedAt: now, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Lost, Reason: "lapsed"}}})
	if r.updateAvailability(now); !r.machine.AcceptsRuns() {
		t.Error("no runs are accepted after the dropped owner's run has ended")
	}
}

// Guards against a worker that stays closed, with leases that are not extended, because an
// owner was dropped while the rejection of its run waited for the end of another owner's run.
func TestRejectionOfDroppedOwner(t *testing.T) {
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r, now := newRunnerWithDroppedOwner(t, run)
	r.mu.Lock()
	defer r.mu.Unlock()
	second := ident.Process{Instance: "second", Incarnation: 1}
	o := &owner{Owner: ownership.New(4), runner: r, process: second, client: &entryClient{runner: r, wakeCh: make(chan struct{}, 1)}}
	o.HeartbeatAnswered(now, now, 4)
	r.owners[second] = o
	r.machine.Submit(now, second, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, EstimateMs: 3000, MaxWaitMs: 100}})
	r.dropOwner(now, o, "test", 0)
	r.machine.ApplyStatus(now, occupancy.WorkerStatus{RequestedAt: now, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Lost, Reason: "stopped"}}})
	r.runMachine(now)
	if limit, limited := r.leaseLimit(); limited {
		t.Errorf("leases are limited to %v after the last run has ended", limit-now)
	}
	if r.updateAvailability(now + ownership.LeaseAfterContact); !r.machine.AcceptsRuns() {
		t.Error("no runs are accepted after the last run has ended")
	}
}

// Guards against a longer lease for runs that are to end, which outlive the next submission of
// their job if the worker leaves their stop calls unanswered and the sidecar is paused or killed.
func TestLeaseOfRunsThatAreToEnd(t *testing.T) {
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	for name, begin := range map[string]func(s *supervisor){
		"started by an earlier sidecar process": func(s *supervisor) {
			s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 6, Running: []occupancy.Progress{{Run: run}}})
		},
		"stopped by its owner": func(s *supervisor) {
			submitRun(s.runner, run)
			if req, _ := s.nextStatusRequest(); req.LeaseEndMs == 0 {
				t.Error("no lease is requested for a run that is to go on")
			}
			s.runner.mu.Lock()
			s.runner.machine.Stop(clock.SinceBoot(), ident.Process{Instance: "entry"}, run)
			s.runner.mu.Unlock()
		},
	} {
		r := newSilentRunner(t)
		handleReport(r, report(1, 1))
		s := r.supervisor
		s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
		begin(s)
		if req, _ := s.nextStatusRequest(); req.LeaseEndMs != 0 {
			t.Errorf("%s: the leases are extended to %d ms", name, req.LeaseEndMs)
		}
		submitRun(r, work.RunID{Task: work.TaskID{Job: "b"}, Attempt: 1})
		if req, _ := s.nextStatusRequest(); r.machine.NeedsLease() && req.LeaseEndMs == 0 {
			t.Errorf("%s: no lease is requested for another run", name)
		}
	}
}

// submitRun submits a run, whose start call does not return, if the worker accepts runs.
func submitRun(r *Runner, run work.RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.Submit(clock.SinceBoot(), ident.Process{Instance: "entry"}, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, EstimateMs: 3000, MaxWaitMs: 100}})
	r.machine.Actions() // the test sends the calls
}

// Guards against leases that end later than the contact with the owners allows, because the
// worker's clock has lost time since it was read.
func TestLeaseAfterIdleTime(t *testing.T) {
	const idle, clockMs = time.Minute, 1000
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: clockMs})
	r.mu.Lock()
	defer r.mu.Unlock()
	now := s.clockReadAt + idle
	leaseMs := runLease.Milliseconds()
	slowClockMs := clockMs + (idle * 98 / 100).Milliseconds()
	if end := s.recordLeaseRequest(now); end > slowClockMs+leaseMs {
		t.Errorf("leases end in %d ms on a clock that is 2%% slow, want %d ms", end-slowClockMs, leaseMs)
	}
	s.setReportedClock(now, slowClockMs-10)
	if end := s.recordLeaseRequest(now); end < slowClockMs+leaseMs {
		t.Errorf("leases end in %d ms after a delayed report, want %d ms", end-slowClockMs, leaseMs)
	}
	s.setReportedClock(now, slowClockMs+10)
	if end := s.recordLeaseRequest(now); end != slowClockMs+10+leaseMs {
		t.Errorf("leases end in %d ms of the reported clock, want %d ms", end-slowClockMs-10, leaseMs)
	}
}
