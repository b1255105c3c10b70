package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

func (m *Machine) calibration(queue string) *estimate.Calibration {
	c := m.learned[queue]
	if c == nil {
		c = &estimate.Calibration{}
		m.learned[queue] = c
	}
	return c
}

// Room is what a refusal was decided on.
type Room struct {
	// FreeMilliCPU and QueuedMilliCPU are sums over the workers of the service
	// that take work, Usable their number.
	FreeMilliCPU, QueuedMilliCPU int64
	Usable                       int
	// Oldest is the age of the oldest summary of them.
	Oldest time.Duration
}

// Room sums up what the machine knows of the workers of a service.
func (m *Machine) Room(now time.Duration, service string) Room {
	var r Room
	for _, w := range m.candidates(service) {
		r.Usable++
		r.FreeMilliCPU += w.load.Free.MilliCPU
		r.QueuedMilliCPU += w.queuedUpTo(wire.NumRanks - 1)
		r.Oldest = max(r.Oldest, now-w.loaded)
	}
	return r
}

// Submit admits a job or refuses it at once. An admitted job gets one Answered.
func (m *Machine) Submit(now time.Duration, spec *work.Job) (refused work.Answer, ok bool) {
	if m.draining {
		return refusal(work.ReasonDraining, drainRetry), false
	}
	if m.jobs[spec.ID] != nil {
		return work.Answer{State: work.Unfinished, Reason: work.ReasonDuplicate}, false
	}
	j := newJob(now, spec, m.calibration(spec.Queue))
	p := m.pools[spec.Service]
	if p == nil || !p.live() {
		return refusal(work.ReasonNoWorker, noWorkerRetry), false
	}
	if !p.canHold(spec) {
		return refusal(work.ReasonNeverFits, 0), false
	}
	plan := m.plan(now, j, j.ready())
	if !plan.inTime {
		return refusal(work.ReasonOverload, m.retryAfter(plan.wait)), false
	}
	m.jobs[spec.ID] = j
	m.deadlines.Add(j)
	m.carryOut(now, j, plan)
	return work.Answer{}, true
}

func refusal(reason work.Reason, retry time.Duration) work.Answer {
	return work.Answer{State: work.Refused, Reason: reason, RetryAfter: retry}
}

const (
	// drainRetry sends a caller to another instance at once.
	drainRetry = 100 * time.Millisecond
	// noWorkerRetry is about the time in which a worker is found lost and
	// another one announces itself.
	noWorkerRetry = 2 * time.Second
	// minRetry bounds Retry-After from below, and retrySpread is the span over
	// which returns are spread, so that those refused together do not return
	// together.
	minRetry    = 500 * time.Millisecond
	retrySpread = time.Second
)

// retryAfter returns when a job that would have waited so long is worth
// submitting again.
func (m *Machine) retryAfter(wait time.Duration) time.Duration {
	return max(wait, minRetry) + time.Duration(m.rnd.Int63n(int64(retrySpread)))
}

// CallerLeft gives a job up whose caller does not wait any more.
func (m *Machine) CallerLeft(now time.Duration, id string) {
	if j := m.jobs[id]; j != nil && !j.answered {
		m.answer(now, j, work.Answer{State: work.Unfinished, Reason: work.ReasonCallerLeft})
	}
}

// Abandon answers all jobs: the process stops.
func (m *Machine) Abandon(now time.Duration) {
	for len(m.deadlines) > 0 {
		m.giveUp(now, m.deadlines[0], work.ReasonStopping)
	}
}

// giveUp answers a job that can't be finished: as refused if nothing of it has
// run or can still run.
func (m *Machine) giveUp(now time.Duration, j *job, reason work.Reason) {
	if j.untouched() {
		m.answer(now, j, refusal(reason, m.retryAfter(0)))
		return
	}
	m.answer(now, j, work.Answer{State: work.Unfinished, Reason: reason})
}

// answer ends a job and stops what is left of it.
func (m *Machine) answer(now time.Duration, j *job, a work.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	m.deadlines.Remove(j)
	for _, t := range j.inFlight() {
		m.stopRun(t)
	}
	f := j.facts
	f.Queue, f.Tasks, f.Ended, f.Elapsed = j.spec.Queue, len(j.tasks), j.done, now-j.at
	m.out = append(m.out, Answered{ID: j.spec.ID, Answer: a, Facts: f})
	m.forget(j)
}

// forget drops a job when nothing of it may be at work any more.
func (m *Machine) forget(j *job) {
	if j.answered && j.flying == 0 {
		delete(m.jobs, j.spec.ID)
	}
}
