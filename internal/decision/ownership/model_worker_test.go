package ownership_test

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// worker runs tasks under leases. It outlives the processes of its sidecar.
type worker struct {
	world   *world
	index   int
	running map[work.RunID]bool
	// leaseEnd is the end of the leases of all runs.
	leaseEnd time.Duration
	highest  map[work.TaskID]int
	ended    []endedTask
	token    int64 // highest fencing token seen
}

type endedTask struct {
	run     work.RunID
	outcome work.Outcome
}

const (
	lease             = 950 * ms
	leaseExpiryMargin = 70 * ms
	// orderTimeout is the time after which a sidecar no longer waits for the answer to an
	// order, and workerTimeout the time without a status after which it extends no leases.
	orderTimeout  = 40 * ms
	workerTimeout = 500 * ms
)

// accept reports whether an order with a fencing token has an effect.
func (k *worker) accept(token int64) bool {
	if token < k.token {
		return false
	}
	k.token = token
	return true
}

// start starts a run, and checks that no other run of the task is running anywhere.
func (k *worker) start(token int64, run work.RunID, owner ident.Process, leaseEnd, duration time.Duration) bool {
	if !k.accept(token) {
		return false
	}
	k.leaseEnd = max(k.leaseEnd, leaseEnd)
	if run.Attempt <= k.highest[run.Task] || k.leaseEnd <= k.world.now {
		return false
	}
	k.highest[run.Task] = run.Attempt
	for _, other := range k.world.workers {
		for running := range other.running {
			if running.Task == run.Task {
				k.world.violate(run, "worker %d starts attempt %d of %v while worker %d runs attempt %d", k.index, run.Attempt, run.Task, other.index, running.Attempt)
			}
		}
	}
	k.world.note("%s worker %d starts task %d attempt %d of %v", run.Task.Job, k.index, run.Task.Index, run.Attempt, owner)
	k.running[run] = true
	k.world.jobs[run.Task.Job].started(run, owner)
	k.world.after(duration, func() { k.end(run, work.Done) })
	k.watchLease(run)
	return true
}

func (k *worker) watchLease(run work.RunID) {
	k.world.after(k.leaseEnd-k.world.now, func() {
		switch {
		case !k.running[run]:
		case k.world.now >= k.leaseEnd:
			k.end(run, work.Lost)
		default:
			k.watchLease(run)
		}
	})
}

func (k *worker) stop(token int64, run work.RunID) bool {
	if !k.accept(token) {
		return false
	}
	k.highest[run.Task] = max(k.highest[run.Task], run.Attempt)
	k.end(run, work.Lost)
	return true
}

// end ends a run unless it has ended before.
func (k *worker) end(run work.RunID, outcome work.Outcome) {
	if !k.running[run] {
		return
	}
	k.world.note("%s worker %d ends task %d attempt %d: %v", run.Task.Job, k.index, run.Task.Index, run.Attempt, outcome)
	delete(k.running, run)
	k.ended = append(k.ended, endedTask{run, outcome})
}

// order sends an order to the worker, which leaves a share of such orders unanswered. A
// pause of the sidecar can come before the order and before the answer.
func (s *sidecarProcess) order(unanswered float64, carryOut func(), done func(answered bool)) {
	w := s.world
	s.after(w.random(0, ms), func() {
		answered, delay := w.rnd.Float64() >= unanswered, w.random(0, 2*ms)
		if answered {
			carryOut()
		} else {
			delay = orderTimeout
			w.after(w.random(2*time.Second, 6*time.Second), carryOut)
		}
		s.after(delay, func() {
			s.dropSilentOwners()
			done(answered)
			s.step()
		})
	})
}

// poll requests the worker's status at regular intervals and extends the leases.
func (s *sidecarProcess) poll() {
	s.dropSilentOwners()
	s.step()
	k := s.worker
	status := occupancy.WorkerStatus{RequestedAt: s.clock()}
	leaseEnd := time.Duration(0)
	if s.m.NumActive() > 0 && s.inContact() {
		leaseEnd = s.leaseEnd()
	}
	seen, fenced := 0, false
	s.order(s.world.unanswered, func() {
		if fenced = !k.accept(s.token); fenced {
			return
		}
		k.leaseEnd = max(k.leaseEnd, leaseEnd)
		for run := range k.running {
			if s.world.guards.leftovers || !s.started[run].IsZero() {
				status.Running = append(status.Running, occupancy.Progress{Run: run, Percent: int(s.world.now / ms)})
			}
		}
		seen = len(k.ended)
	}, func(answered bool) {
		s.after(30*ms, s.poll)
		if !answered {
			if !s.inContact() && s.clock() > s.leasesExpireAt {
				s.m.LeasesExpired(s.clock())
			}
			s.m.SetWorkerAvailable(s.clock(), s.inContact())
			return
		}
		if fenced {
			return
		}
		s.statusAt = s.clock()
		s.m.SetWorkerAvailable(s.clock(), true)
		for _, e := range k.ended[min(s.lastSeen, seen):seen] {
			status.Ended = append(status.Ended, occupancy.EndedRun{Run: e.run, Outcome: e.outcome})
		}
		s.lastSeen = max(s.lastSeen, seen)
		s.m.ApplyStatus(s.clock(), status)
	})
}

// inContact reports whether the worker answers status requests.
func (s *sidecarProcess) inContact() bool { return s.clock()-s.statusAt <= workerTimeout }
