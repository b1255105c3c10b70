package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// maxStartup is the time after the start of the process in which workers may still become
	// known, for the first time or after a loss of power of all machines.
	maxStartup = 2 * time.Second
	// heldRetryInterval is the time between two plans of a held job.
	heldRetryInterval = 20 * time.Millisecond
	// maxHeldJobs bounds the held jobs, and maxFailedPlans the plans for a service in a row that
	// are not admissible before its other held jobs wait for the next interval: the first ones are
	// the most urgent.
	maxHeldJobs    = 500
	maxFailedPlans = 8
)

// startup knows whether an entry instance has just started, so that more workers become known at
// any moment. A job that is refused meanwhile for want of room would often find some a moment later.
type startup struct {
	began, running bool
	beganAt        time.Duration
	// workerAddedAt is the newest time at which a worker accepted runs for the first time, zero if
	// none has.
	workerAddedAt time.Duration
	// settle is the time without a further worker after which those known count as all. Zero
	// means that no job is held.
	settle      time.Duration
	held        int            // number of held jobs
	failedPlans map[string]int // by service, since failedSince
	failedSince time.Duration
}

// begin notes the first call of the machine.
func (s *startup) begin(now time.Duration) {
	if !s.began {
		s.began, s.running, s.beganAt = true, s.settle > 0, now
	}
}

func (s *startup) workerAdded(now time.Duration) { s.workerAddedAt = now }

// incomplete reports whether further workers may become known at any moment.
func (s *startup) incomplete(now time.Duration) bool {
	if s.running && (now-s.beganAt > maxStartup || s.workerAddedAt > 0 && now-s.workerAddedAt > s.settle) {
		s.running = false
	}
	return s.running
}

// hold admits a job that has no admissible plan, if further workers may become known before it is
// too late to end within its objective. It reports whether it has.
func (m *Machine) hold(now time.Duration, j *job) bool {
	if m.startup.held >= maxHeldJobs || !m.mayHold(now, j) {
		return false
	}
	m.jobs[j.spec.ID] = j
	m.unanswered.Add(j)
	j.held, j.stats.Held = true, true
	m.startup.held++
	m.holdOn(now, j)
	// The most urgent jobs get the first workers.
	slices.SortStableFunc(m.waiting, func(a, b *job) int { return a.spec.Rank - b.spec.Rank })
	return true
}

// mayHold reports whether a job may wait for its first plan.
func (m *Machine) mayHold(now time.Duration, j *job) bool {
	return m.startup.incomplete(now) && now+heldRetryInterval < j.latestStart(0)
}

// retryHeld plans a held job. Without an admissible plan it is held on, or refused if no further
// worker is expected in time.
func (m *Machine) retryHeld(now time.Duration, j *job) {
	if !m.mayHold(now, j) {
		m.release(j)
		if a, unplaceable := m.unplaceable(j); unplaceable {
			m.answer(now, j, a)
			return
		}
		m.replan(now, j)
		return
	}
	if _, unplaceable := m.unplaceable(j); unplaceable {
		m.holdOn(now, j)
		return
	}
	if m.startup.skipPlan(now, j.spec.Service) {
		m.addWaiting(j)
		return
	}
	if p := m.planTasks(now, j, j.ready()); p.admissible {
		m.release(j)
		delete(m.startup.failedPlans, j.spec.Service)
		m.executePlan(now, j, p)
		return
	}
	m.startup.failedPlans[j.spec.Service]++
	m.holdOn(now, j)
}

// holdOn makes a held job wait for its next plan.
func (m *Machine) holdOn(now time.Duration, j *job) {
	j.retryAt = now + heldRetryInterval
	m.addWaiting(j)
}

// skipPlan reports whether so many plans for a service have failed just now that others would, too.
func (s *startup) skipPlan(now time.Duration, service string) bool {
	if s.failedPlans == nil || now-s.failedSince >= heldRetryInterval {
		s.failedSince, s.failedPlans = now, map[string]int{}
	}
	return s.failedPlans[service] >= maxFailedPlans
}

// release ends the hold of a job.
func (m *Machine) release(j *job) {
	if j.held {
		j.held = false
		m.startup.held--
	}
}

// unplaceable reports whether no known worker can take a job whatever its load, and the refusal for it.
func (m *Machine) unplaceable(j *job) (refused work.Answer, unplaceable bool) {
	p := m.pools[j.spec.Service]
	if p == nil || !p.hasUsableWorker() {
		return refusal(work.ReasonNoWorker, noWorkerRetryAfter), true
	}
	if !p.canFit(j.spec) {
		return refusal(work.ReasonNeverFits, 0), true
	}
	return work.Answer{}, false
}
