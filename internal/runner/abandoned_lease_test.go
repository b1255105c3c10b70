package runner

import (
	"syscall"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestLeasesOfAbandonedRun guards against two runs of a task when the worker refuses or leaves
// unanswered the stops of a run whose caller has left, and its leases are extended for other runs.
func TestLeasesOfAbandonedRun(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
	abandoned, other := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, work.RunID{Task: work.TaskID{Job: "b"}, Attempt: 1}
	submitRun(r, abandoned)
	submitRun(r, other)
	running := StatusReply{Incarnation: 1, ClockMs: 6, Running: []occupancy.Progress{{Run: abandoned, Percent: 1}, {Run: other, Percent: 1}}}
	s.handleStatus(clock.SinceBoot(), running)
	r.mu.Lock()
	now := clock.SinceBoot()
	r.machine.Stop(now, ident.Process{Instance: "entry"}, abandoned)
	leaseAt := func(at time.Duration) time.Duration {
		return time.Duration(s.recordLeaseRequest(at))*time.Millisecond - s.clockOffset - now
	}
	for since := time.Duration(0); since < 3*time.Second; since += 100 * time.Millisecond {
		r.machine.StopRefused(now+since, abandoned)
		if end := leaseAt(now + since); end > max(abandonedLease, since) {
			t.Errorf("%v after the caller has left, leases are extended to %v after it, want at most %v", since, end, abandonedLease)
		}
	}
	r.updateAvailability(now + abandonedLease)
	if r.machine.AcceptsRuns() {
		t.Error("runs start without a lease")
	}
	r.machine.StopConfirmed(now+time.Second, abandoned)
	if end := leaseAt(now + time.Second); end <= time.Second+minUsefulLease {
		t.Errorf("leases are extended to %v only, a second after the stop was confirmed", end)
	}
	r.mu.Unlock()
}

// TestLeaseOnAnotherClock guards against a run that is given up while the worker is at work on it,
// because the worker has started again unnoticed, and has read the end of the lease in the start call
// on a clock that began anew.
func TestLeaseOnAnotherClock(t *testing.T) {
	for _, listed := range []bool{false, true} {
		r := newSilentRunner(t)
		handleReport(r, report(1, 1))
		s := r.supervisor
		s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
		run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
		submitRun(r, run)
		r.mu.Lock()
		startedAt := clock.SinceBoot()
		s.recordLeaseRequest(startedAt)
		r.machine.StartAnswered(startedAt, run, occupancy.Accepted, "") // by the next process
		r.mu.Unlock()
		set := func(change func()) {
			r.mu.Lock()
			defer r.mu.Unlock()
			change()
		}
		active := func() (n int) {
			set(func() { n = r.machine.NumActive() })
			return n
		}
		set(func() { s.leasesExpireAt = startedAt - time.Millisecond }) // those of the known process
		if listed {
			s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 20, Running: []occupancy.Progress{{Run: run, Percent: 1}}})
		}
		past := clock.SinceBoot() - time.Minute
		set(func() { s.lastStatusAt = past })
		s.handleStatusFailure(syscall.ECONNRESET, 5, 0)
		var longest time.Duration
		set(func() { longest = s.longLeasesExpireAt - startedAt })
		if n := active(); n != 1 || longest < r.cfg.MaxLease {
			t.Errorf("listed %v: %d runs are active, want the one of the next process; its lease may last %v, the worker allows %v", listed, n, longest, r.cfg.MaxLease)
		}
		set(func() { s.leasesExpireAt, s.longLeasesExpireAt = past, past })
		s.handleStatusFailure(syscall.ECONNRESET, 6, 0)
		if n := active(); n != 0 {
			t.Errorf("listed %v: %d runs are active after all leases have expired", listed, n)
		}
	}
}
