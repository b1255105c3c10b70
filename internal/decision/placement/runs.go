package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Tick answers jobs whose deadline has passed, stops using workers whose
// heartbeats have timed out and tries again to place waiting tasks. It returns the
// time of the next call, or zero if no job waits for one.
func (m *Machine) Tick(now time.Duration) time.Duration {
	for len(m.unanswered) > 0 && m.unanswered[0].deadline <= now {
		m.abandon(now, m.unanswered[0], work.ReasonDeadline)
	}
	m.checkContacts(now)
	m.retryWaiting(now)
	next := m.reviewRackWaits(now)
	if len(m.unanswered) > 0 {
		next = earlier(next, m.unanswered[0].deadline)
	}
	for _, j := range m.waiting {
		next = earlier(next, max(j.retryAt, now+settleDelay))
	}
	return next
}

// earlier returns the earlier of two times, of which a may be zero for none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// noWorkerDelay is the expected minimum time until a task that no worker can take
// now gets one.
const noWorkerDelay = 50 * time.Millisecond

// retryWaiting places the tasks of waiting jobs whose retry time has come.
func (m *Machine) retryWaiting(now time.Duration) {
	if len(m.waiting) == 0 {
		return
	}
	waiting := m.waiting
	m.waiting = nil
	for _, j := range waiting {
		j.waiting = false
		switch {
		case j.answered:
		case now < j.retryAt:
			m.addWaiting(j)
		case j.held:
			m.retryHeld(now, j)
		case j.notRun():
			m.replan(now, j)
		default:
			m.placeReadyTasks(now, j)
		}
	}
}

// replan tries again to place the tasks of a job that has not run at all. It
// refuses the job if the new plan is not admissible.
func (m *Machine) replan(now time.Duration, j *job) {
	p := m.planTasks(now, j, j.ready())
	if !p.admissible {
		m.answer(now, j, refusal(work.ReasonOverload, m.retryAfter(p.maxWait)))
		return
	}
	m.executePlan(now, j, p)
}

// RunsEnded records the ends of runs that a sidecar has reported. It ignores a report of an
// earlier session and the ends that an earlier report has named: these runs are known to have
// ended, and a job that has been submitted again uses their numbers again. Sidecars of earlier
// releases report the session 0. RunsEnded returns false if it ignored the whole report.
func (m *Machine) RunsEnded(now time.Duration, report *wire.EndBatch) bool {
	m.checkContacts(now)
	w := m.workers[report.Sidecar]
	if w == nil || report.Session != 0 && report.Session != w.session {
		return false
	}
	ends := m.newEnds(report)
	for _, e := range ends {
		if t := w.tasks[e.Run]; t != nil {
			m.endRun(now, t, e)
		}
	}
	m.retryWaiting(now)
	return len(ends) > 0
}

// endRun records the end of a task's newest run. It answers the job, places the
// task again or starts the next steps, depending on the outcome.
func (m *Machine) endRun(now time.Duration, t *task, e wire.RunEnd) {
	j, w := t.job, t.worker
	m.detach(t)
	if e.Outcome != work.Done && e.Outcome != work.NoRoom {
		j.stats.LastOutcome, j.stats.LastReason, j.stats.LastWorker = e.Outcome, e.Reason, w.info.Worker
	}
	if e.Outcome != work.NotRun && e.Outcome != work.NoRoom { // after work.Outdated, an earlier submission may have run
		j.mayHaveRun = true
	}
	if e.Outcome != work.NotRun && e.Outcome != work.NoRoom {
		t.returns = 0
	}
	m.recordCrash(now, t, w, e)
	m.recordWaitResult(now, t, e.Outcome)
	if j.answered {
		m.removeIfEnded(j)
		return
	}
	switch e.Outcome {
	case work.Done:
		runTime := float64(time.Duration(e.RunMs)*time.Millisecond) / m.remoteFactor(&j.spec.Steps[t.step], w)
		m.calibration(j.spec.Queue).Observe(j.spec.Steps[t.step].Estimate, time.Duration(runTime))
		m.finishTask(now, t)
		return
	case work.RunFailed:
		t.failures++
		t.avoid(w)
		if t.failures >= max(j.spec.MaxFailedRuns, 1) {
			m.answer(now, j, work.Answer{State: work.Failed, Reason: work.ReasonMaxFailedRuns})
			return
		}
	case work.Superseded:
		// Nobody waits for the answer here, and a run elsewhere would be a second one.
		m.answer(now, j, work.Answer{State: work.Unfinished, Reason: work.ReasonSuperseded})
		return
	case work.Outdated:
	case work.NoRoom:
		t.noRoomEnds++
		j.stats.NoRoomEnds++
		if m.delayRetry(now, t) {
			return
		}
		if j.notRun() {
			m.replan(now, j)
			return
		}
	case work.NotRun:
		t.notRunEnds++
		t.avoid(w)
		if m.delayRetry(now, t) {
			return
		}
		if !j.mayHaveRun {
			// Other runs of the job may end without having started, too.
			j.retryAt = now + settleDelay
			m.addWaiting(j)
			return
		}
	default:
		t.avoid(w)
	}
	m.placeReadyTasks(now, j)
}

const (
	// maxPromptReturns is the number of runs in a row that end without having started before
	// the task waits for its next one. minRetryDelay is that wait, which doubles with each
	// further such run up to maxRetryDelay.
	maxPromptReturns = 6
	minRetryDelay    = 5 * time.Millisecond
	maxRetryDelay    = 160 * time.Millisecond
)

// delayRetry counts a run of a task that has ended without having started, or for which there was
// no worker. It reports whether the task waits before its next run, because there were several in
// a row.
func (m *Machine) delayRetry(now time.Duration, t *task) bool {
	t.returns++
	if t.returns <= maxPromptReturns {
		return false
	}
	doublings := min(t.returns-maxPromptReturns-1, 10)
	delay := min(minRetryDelay<<doublings, maxRetryDelay)
	t.job.retryAt = now + delay/2 + time.Duration(m.random.Int63n(int64(delay/2)))
	m.addWaiting(t.job)
	return true
}

// settleDelay is the delay before a job that is not known to have run places its
// unstarted tasks again. In the meantime the ends of its other runs arrive. If none
// of them has started, the job can still be refused. Tick also uses settleDelay as
// the minimum time until its next attempt to place the tasks of waiting jobs.
const settleDelay = 8 * time.Millisecond

// finishTask marks a task as done. It answers the job after its last task, and
// places the tasks of later steps after the last task of a step.
func (m *Machine) finishTask(now time.Duration, t *task) {
	j := t.job
	t.done = true
	j.doneTasks++
	j.unfinished[t.step]--
	if j.doneTasks == len(j.tasks) {
		m.answer(now, j, work.Answer{State: work.Completed})
		return
	}
	if j.unfinished[t.step] == 0 {
		m.placeReadyTasks(now, j)
	}
}

// placeReadyTasks starts the tasks of a job that can run now. It abandons the job
// if no worker can finish them before the deadline.
func (m *Machine) placeReadyTasks(now time.Duration, j *job) {
	if j.answered {
		return
	}
	if m.endCrashingJob(now, j) {
		return
	}
	tasks := slices.DeleteFunc(j.ready(), m.withheld)
	if len(tasks) == 0 {
		return
	}
	p := m.planTasks(now, j, tasks)
	if now+p.minTime > j.deadline {
		m.abandon(now, j, work.ReasonDeadline)
		return
	}
	m.executePlan(now, j, p)
}

// addWaiting makes retryWaiting place the tasks of a job later.
func (m *Machine) addWaiting(j *job) {
	if !j.waiting {
		j.waiting = true
		m.waiting = append(m.waiting, j)
	}
}
