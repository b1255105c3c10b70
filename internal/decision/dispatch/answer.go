package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// hangFactor is the multiple of the estimated p90 run time after which a task
// that is still in flight when its job ends counts as a failure of the worker.
const hangFactor = 3

// answerIfEnded answers a job if none of its tasks can change state any more.
func (m *Machine) answerIfEnded(j *job) {
	if j.answered || j.inFlight > 0 {
		return
	}
	if j.cause.reason == "" && j.ended < len(j.tasks) {
		return
	}
	m.answerJob(j)
}

// endJob answers a job immediately. Its tasks in flight may have run.
func (m *Machine) endJob(j *job, cause failureCause) {
	m.failJob(j, cause)
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.inFlight() {
			continue
		}
		if m.now-t.dispatchedAt > hangFactor*j.class.runTime.P90() {
			m.recordHealth(t, false, 0)
		}
		m.removeFromWorker(t)
		m.holdCapacity(j)
		m.setFinalState(t, mayHaveRun)
	}
	m.answerIfEnded(j)
}

// answerJob builds the final answer of a job that has no tasks in flight. Tasks
// that are still waiting are answered as not run.
func (m *Machine) answerJob(j *job) {
	a := jobapi.JobAnswer{SubmissionID: j.id, State: jobapi.JobComplete, Tasks: make([]jobapi.TaskAnswer, len(j.tasks))}
	ran := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == queued {
			t.state, t.body = notRun, nil
		}
		ran = ran || t.state != notRun
		if t.state != completed {
			a.State = jobapi.JobFailed
		}
		ta := &a.Tasks[i]
		ta.State, ta.Result, ta.Error, ta.RunMs = taskStates[t.state], t.body, t.err, t.runMs
		if t.worker != nil && t.state != notRun {
			ta.Worker = t.worker.name()
		}
	}
	if a.State == jobapi.JobFailed {
		a.Reason, a.Message = j.cause.reason, j.cause.message
		a.NotRun = !ran
		a.SafeToResubmit = !ran || j.class.spec.Idempotent
		j.class.counters.failed++
	} else {
		j.class.counters.completed++
	}
	j.answered, j.answer = true, a
	j.tasks, j.queueEntry = nil, nil
	m.payloadBytes -= j.payloadBytes
	m.deadlines.Remove(j)
	m.history.retain(j)
	m.actions = append(m.actions, Answered{ID: j.id, Class: j.class.key, Answer: a, Response: m.now - j.submittedAt})
}

// expireJobs ends the jobs whose deadline has passed.
func (m *Machine) expireJobs() {
	for len(m.deadlines) > 0 && m.deadlines[0].deadline <= m.now {
		j := m.deadlines[0]
		cause := causeDeadline
		if len(j.class.pool.workers) == 0 && j.inFlight+j.ended == 0 {
			cause = causeNoWorker
		}
		m.endJob(j, cause)
	}
}

// milliseconds returns the whole milliseconds of a duration.
func milliseconds(d time.Duration) int64 { return int64(d / time.Millisecond) }
