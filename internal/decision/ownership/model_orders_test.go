package ownership_test

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	startStopTimeout = 40 * ms
	statusTimeout    = 80 * ms
	workerTimeout    = 500 * ms
	// leaseExpiryMargin is the additional time after which a lease has certainly expired.
	leaseExpiryMargin = 70 * ms
)

// leaseLimit returns the latest end of a lease that the contact with the owners allows, and
// whether there is a limit.
func (s *sidecarProcess) leaseLimit() (limit time.Duration, limited bool) {
	for _, o := range s.owners {
		if at := o.LastContact() + ownership.LeaseAfterContact; o.busy(s) && (o.Live() || s.world.guards.droppedOwners) && s.world.guards.leaseLimit && (!limited || at < limit) {
			limit, limited = at, true
		}
	}
	return limit, limited
}

// requestLease returns the end of a lease that is requested now, on the world's clock.
func (s *sidecarProcess) requestLease() time.Duration {
	end := s.clock() + lease
	if limit, limited := s.leaseLimit(); limited {
		end = max(min(end, limit), s.clock())
	}
	s.leasesExpireAt = max(s.leasesExpireAt, end+leaseExpiryMargin)
	return end - clockSkew
}

// callWorker makes a call to the worker and handles the reply. A pause of the sidecar can
// come before the call and before the reply.
func (s *sidecarProcess) callWorker(timeout time.Duration, call func(), done func(answered bool)) {
	finish := func(answered bool) {
		s.dropSilentOwners()
		done(answered)
		s.step()
	}
	w := s.world
	s.after(w.random(0, ms), func() {
		if w.unansweredOrders == 0 || w.rnd.Float64() >= w.unansweredOrders {
			call()
			s.after(w.random(0, 2*ms), func() { finish(true) })
			return
		}
		switch w.rnd.Intn(3) {
		case 0:
			call()
		case 1:
			s.worker.afterInSameProcess(w.random(2*time.Second, 12*time.Second), call)
		}
		s.after(timeout, func() { finish(false) })
	})
}

// afterInSameProcess calls f after a time, unless the worker has restarted until then.
func (k *worker) afterInSameProcess(d time.Duration, f func()) {
	incarnation := k.incarnation
	k.world.after(d, func() {
		if k.incarnation == incarnation {
			f()
		}
	})
}

// restart ends the worker process. The next one accepts calls at once and has the same ID.
func (k *worker) restart() {
	k.world.note("worker %d restarts", k.index)
	k.incarnation++
	k.token, k.ended = 0, nil
	clear(k.running)
	clear(k.highest)
}

func (s *sidecarProcess) setWorker(incarnation int64) {
	s.workerIncarnation, s.lastSeen = incarnation, 0
	s.m.SetWorker(s.clock(), occupancy.Worker{ID: s.id.Instance, Incarnation: incarnation, Capacity: work.Resources{MilliCPU: 4000, MemoryMB: 1000}})
}

func (s *sidecarProcess) startRun(run work.RunID) {
	owner, leaseEnd, duration := s.started[run], s.requestLease(), s.world.jobs[run.Task.Job].duration
	var result occupancy.StartResult
	s.callWorker(startStopTimeout, func() { result = s.worker.start(s.token, run, owner, leaseEnd, duration) }, func(answered bool) {
		if !answered {
			result = occupancy.Unanswered
		}
		s.m.StartAnswered(s.clock(), run, result, "")
	})
}

func (s *sidecarProcess) stopRun(run work.RunID) {
	if w := s.world; w.lateStops {
		s.worker.afterInSameProcess(w.random(2*time.Second, 12*time.Second), func() { s.worker.stop(s.token, run) })
		return
	}
	stopped := false
	s.callWorker(startStopTimeout, func() { stopped = s.worker.stop(s.token, run) }, func(answered bool) {
		if answered && stopped {
			s.m.StopConfirmed(s.clock(), run)
		}
	})
}

// poll requests the worker's status at regular intervals and extends the leases.
func (s *sidecarProcess) poll() {
	s.dropSilentOwners()
	requestedAt, leaseEnd := s.clock(), time.Duration(0)
	if s.inContact && s.m.NumActive() > 0 {
		leaseEnd = s.requestLease()
	}
	var status occupancy.WorkerStatus
	seen, incarnation := 0, int64(0)
	s.callWorker(statusTimeout, func() { status, seen = s.worker.status(s, leaseEnd); incarnation = s.worker.incarnation }, func(answered bool) {
		now := s.clock()
		if answered {
			if incarnation != s.workerIncarnation {
				s.setWorker(incarnation)
			}
			s.inContact, s.lastStatusAt = true, now
			s.lastSeen = max(s.lastSeen, seen)
			status.RequestedAt = requestedAt
			s.m.ApplyStatus(now, status)
		}
		if now-s.lastStatusAt > workerTimeout {
			s.inContact = false
		}
		if !s.inContact && now > s.leasesExpireAt {
			s.m.LeasesExpired(now)
		}
		limit, limited := s.leaseLimit()
		s.m.SetWorkerAvailable(now, s.inContact && (!limited || limit > now))
		s.after(30*ms, s.poll)
	})
}

// status extends the leases to leaseEnd and returns the runs, and the number of ends so far.
func (k *worker) status(s *sidecarProcess, leaseEnd time.Duration) (status occupancy.WorkerStatus, seen int) {
	if s.token < k.token {
		return status, 0
	}
	k.token = s.token
	for run, t := range k.running {
		t.leaseEnd = max(t.leaseEnd, leaseEnd)
		if k.world.guards.leftovers || !s.started[run].IsZero() {
			status.Running = append(status.Running, occupancy.Progress{Run: run, Percent: int(k.world.now / ms)})
		}
	}
	for _, e := range k.ended[min(s.lastSeen, len(k.ended)):] {
		status.Ended = append(status.Ended, occupancy.EndedRun{Run: e.run, Outcome: e.outcome})
	}
	return status, len(k.ended)
}

// TestModelUnansweredOrders guards against the same as TestModel with such workers.
func TestModelUnansweredOrders(t *testing.T) {
	const worlds = 60
	completed := 0
	for seed := range int64(worlds) {
		w := playWith(seed, allGuards, func(w *world) {
			w.unansweredOrders, w.workerRestarts = []float64{0.05, 0.2, 0.5}[seed%3], true
		})
		completed += w.completed
		for _, v := range w.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	if completed < worlds*40 {
		t.Errorf("%d jobs completed in %d worlds, so the model tests little", completed, worlds)
	}
}
