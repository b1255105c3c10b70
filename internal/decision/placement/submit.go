package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// calibration returns the calibration of the declared run times of a queue.
func (m *Machine) calibration(queue string) *estimate.Calibration {
	c := m.calibrations[queue]
	if c == nil {
		c = &estimate.Calibration{}
		m.calibrations[queue] = c
	}
	return c
}

// ServiceLoad summarizes the load of the workers of a service, for the log entry
// about a refused job.
type ServiceLoad struct {
	// UsableWorkers is the number of usable workers of the service, at most
	// maxCandidates. FreeMilliCPU and QueuedMilliCPU are sums over them.
	FreeMilliCPU, QueuedMilliCPU int64
	UsableWorkers                int
	// OldestSummary is the age of the oldest of their load summaries.
	OldestSummary time.Duration
}

// ServiceLoad sums up the load summaries of the candidates for a task of a service.
func (m *Machine) ServiceLoad(now time.Duration, service string) ServiceLoad {
	var load ServiceLoad
	for _, w := range m.candidates(service) {
		load.UsableWorkers++
		load.FreeMilliCPU += w.load.Free.MilliCPU
		load.QueuedMilliCPU += w.queuedUpTo(wire.NumRanks - 1)
		load.OldestSummary = max(load.OldestSummary, now-w.loadReceived)
	}
	return load
}

// Submit admits a job or refuses it at once. Each admitted job gets one JobAnswer
// later.
func (m *Machine) Submit(now time.Duration, spec *work.Job) (refused work.Answer, ok bool) {
	m.checkContacts(now)
	if m.draining {
		return refusal(work.ReasonDraining, drainingRetryAfter), false
	}
	if m.canceled.contains(now, spec.ID) {
		return work.Answer{State: work.Canceled, Reason: work.ReasonCanceled}, false
	}
	if m.jobs[spec.ID] != nil {
		return work.Answer{State: work.Unfinished, Reason: work.ReasonDuplicate}, false
	}
	j := newJob(now, spec, m.calibration(spec.Queue))
	if a, ended := m.crashAnswer(j); ended {
		return a, false
	}
	if a, unplaceable := m.unplaceable(j); unplaceable {
		if m.hold(now, j) {
			return work.Answer{}, true
		}
		return a, false
	}
	plan := m.planTasks(now, j, j.ready())
	if !plan.admissible {
		if m.hold(now, j) {
			return work.Answer{}, true
		}
		return refusal(work.ReasonOverload, m.retryAfter(plan.maxWait)), false
	}
	m.jobs[spec.ID] = j
	m.unanswered.Add(j)
	m.executePlan(now, j, plan)
	return work.Answer{}, true
}

func refusal(reason work.Reason, retryAfter time.Duration) work.Answer {
	return work.Answer{State: work.Refused, Reason: reason, RetryAfter: retryAfter}
}

const (
	// drainingRetryAfter is short, because the caller can reach another entry
	// instance immediately.
	drainingRetryAfter = 100 * time.Millisecond
	// noWorkerRetryAfter is about the time until the loss of a worker is detected
	// and another worker has sent its first heartbeat.
	noWorkerRetryAfter = 2 * time.Second
	// minRetryAfter is the lower bound of the Retry-After time. retryAfterSpread is
	// the range of a random addition to it, so that callers refused at the same time
	// do not submit again at the same time.
	minRetryAfter    = 500 * time.Millisecond
	retryAfterSpread = time.Second
)

// retryAfter returns the time after which the caller should submit a refused job
// again. The argument is the wait that the job would have had.
func (m *Machine) retryAfter(wait time.Duration) time.Duration {
	return max(wait, minRetryAfter) + time.Duration(m.random.Int63n(int64(retryAfterSpread)))
}

// CallerLeft ends a job whose caller no longer waits for the answer.
func (m *Machine) CallerLeft(now time.Duration, id string) {
	if j := m.jobs[id]; j != nil && !j.answered {
		m.answer(now, j, work.Answer{State: work.Unfinished, Reason: work.ReasonCallerLeft})
	}
}

// AbandonJobs answers all unanswered jobs because the process stops.
func (m *Machine) AbandonJobs(now time.Duration) {
	for len(m.unanswered) > 0 {
		m.abandon(now, m.unanswered[0], work.ReasonStopping)
	}
}

// abandon answers a job that can't be finished. The job is refused if none of its
// tasks has run or can still run, and unfinished otherwise.
func (m *Machine) abandon(now time.Duration, j *job, reason work.Reason) {
	if j.notRun() {
		m.answer(now, j, refusal(reason, m.retryAfter(0)))
		return
	}
	m.answer(now, j, work.Answer{State: work.Unfinished, Reason: reason})
}

// answer emits the final answer to a job and stops its open runs.
func (m *Machine) answer(now time.Duration, j *job, a work.Answer) {
	if j.answered {
		return
	}
	j.answered = true
	m.release(j)
	m.unanswered.Remove(j)
	for _, t := range j.tasksWithRun() {
		m.stopRun(t)
	}
	m.dropRackWaits(now, j)
	stats := j.stats
	stats.Queue, stats.Tasks, stats.DoneTasks, stats.Elapsed = j.spec.Queue, len(j.tasks), j.doneTasks, now-j.submittedAt
	m.actions = append(m.actions, JobAnswer{JobID: j.spec.ID, Answer: a, Stats: stats})
	m.removeIfEnded(j)
}

// removeIfEnded removes an answered job once none of its runs can be queued or
// running any more.
func (m *Machine) removeIfEnded(j *job) {
	if j.answered && j.openRuns == 0 {
		delete(m.jobs, j.spec.ID)
	}
}
