package dispatch

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/health"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Results handles task results of a sidecar. It counts results that match no task
// in flight at the sidecar as duplicates and ignores them.
func (m *Machine) Results(now time.Duration, sidecar ident.Process, results []wire.TaskResult) {
	m.now = now
	for i := range results {
		r := &results[i]
		t := m.inFlightTask(sidecar, r.Task)
		if t == nil || t.credit != r.Credit || !r.State.Final() {
			m.waste.Duplicates++
			continue
		}
		m.applyResult(t, r)
	}
}

// applyResult applies a final result to a task in flight. A task that has not run
// is retried if the retry budget allows it; any other task ends.
func (m *Machine) applyResult(t *task, r *wire.TaskResult) {
	switch r.State {
	case jobapi.TaskCompleted:
		run := time.Duration(r.RunMs) * time.Millisecond
		c := t.job.class
		c.runTime.Observe(run)
		m.recordHealth(t, true, c.runTime.RatioToMedian(run))
		t.body, t.runMs = r.Body, r.RunMs
		m.endTask(t, completed)
	case jobapi.TaskFailed:
		m.recordHealth(t, false, 0)
		t.body, t.runMs, t.err = r.Body, r.RunMs, r.Error
		m.failJob(t.job, causeFailed)
		m.endTask(t, failed)
	case jobapi.TaskNotRun:
		m.recordHealth(t, false, 0)
		t.notRunAt = append(t.notRunAt, t.worker.process)
		m.retryOrFail(t, r.Error)
	default:
		m.recordHealth(t, false, 0)
		t.err = r.Error
		m.endUnknown(t)
	}
}

// recordHealth records a result in the health of the worker. ratio is the run
// time divided by the median. For an ejected worker only the result of the probe
// counts.
func (m *Machine) recordHealth(t *task, ok bool, ratio float64) {
	w := t.worker
	if w.health == nil || w.rank == health.RankProbe || w.rank == health.RankEjected && !t.probe {
		return
	}
	if t.probe {
		t.probe = false
		m.scheduleProbe(w)
	}
	kind, change := t.job.class.key.Kind, health.Unchanged
	if ok {
		change = w.health.RecordCompleted(m.now, kind, ratio)
	} else {
		change = w.health.RecordFailed(m.now, kind)
	}
	m.refreshWorker(w)
	m.applyHealthChange(w, change)
	if ok {
		m.evaluateSuspects(w.pool)
	}
}

// evaluateSuspects evaluates the suspect workers again, because the results of
// other workers have changed.
func (m *Machine) evaluateSuspects(p *pool) {
	for _, w := range p.suspects {
		if w.pool != p {
			continue
		}
		change := w.health.EvaluateSuspect(m.now)
		m.refreshWorker(w)
		m.applyHealthChange(w, change)
	}
}

// applyHealthChange updates the list of suspect workers and reports the ejection
// or readmission of the worker.
func (m *Machine) applyHealthChange(w *worker, change health.Change) {
	p := w.pool
	index := slices.Index(p.suspects, w)
	switch suspect := w.health.Suspect(); {
	case suspect && index < 0:
		p.suspects = append(p.suspects, w)
	case !suspect && index >= 0:
		p.suspects = slices.Delete(slices.Clone(p.suspects), index, index+1)
	}
	switch change {
	case health.Ejected:
		until, _ := w.health.NextProbe()
		m.notice(WorkerEjected{Sidecar: w.process, Until: until})
		m.scheduleProbe(w)
	case health.Readmitted:
		m.notice(WorkerReadmitted{Sidecar: w.process})
	}
}

// retryOrFail requeues a task that has certainly not run, at the expense of the
// retry budget of its class. If the budget is spent, the job fails.
func (m *Machine) retryOrFail(t *task, err string) {
	c := t.job.class
	if c.retryBudget.TryRetry(m.now) {
		m.requeue(t)
		return
	}
	m.notice(RetriesExhausted{Class: c.key})
	t.err = err
	m.failJob(t.job, causeRetries)
	m.endTask(t, notRun)
}

// requeue puts a task that did not start back at the front of its class queue. If
// the job was withdrawn, the task ends as not run.
func (m *Machine) requeue(t *task) {
	c := t.job.class
	m.removeFromWorker(t)
	m.returnCapacity(c)
	t.worker, t.state = nil, queued
	if c.pool.queue.Requeue(t.job.queueEntry, fair.Task[*task]{Cost: t.cost, Value: t}) {
		m.addQueued(c, 1)
		m.markDirty(c.pool)
		return
	}
	m.setFinalState(t, notRun)
	m.answerIfEnded(t.job)
}

// endUnknown ends a task whose outcome is unknown.
func (m *Machine) endUnknown(t *task) {
	m.failJob(t.job, causeUnknown)
	m.endTask(t, mayHaveRun)
}

// endTask ends a task in flight with a final state.
func (m *Machine) endTask(t *task, s state) {
	m.removeFromWorker(t)
	if s == mayHaveRun {
		m.holdCapacity(t.job)
	} else {
		m.returnCapacity(t.job.class)
	}
	m.setFinalState(t, s)
	m.answerIfEnded(t.job)
}

// setFinalState sets the final state of a task and counts the task as ended.
func (m *Machine) setFinalState(t *task, s state) {
	t.state = s
	t.job.ended++
	if s == notRun || s == mayHaveRun {
		t.body = nil
	}
}

// removeFromWorker removes a task in flight from its worker. The caller must
// then call returnCapacity or holdCapacity.
func (m *Machine) removeFromWorker(t *task) {
	w, c := t.worker, t.job.class
	last := len(w.inflight) - 1
	w.inflight[t.pos] = w.inflight[last]
	w.inflight[t.pos].pos = t.pos
	w.inflight[last] = nil
	w.inflight = w.inflight[:last]
	if t.probe && w.health != nil {
		w.health.RecordInconclusiveProbe()
		m.scheduleProbe(w)
		m.refreshWorker(w)
	}
	t.probe = false
	if w.health != nil && w.health.Suspect() {
		m.refreshWorker(w)
	}
	t.job.inFlight--
	c.pool.queue.RecordEnd(c.queue)
}

// failJob records why a job can't complete, unless a cause is already recorded,
// and withdraws the waiting tasks.
func (m *Machine) failJob(j *job, cause failureCause) {
	if j.cause.reason == "" {
		j.cause = cause
	}
	if n := j.class.pool.queue.Withdraw(j.queueEntry); n > 0 {
		m.addQueued(j.class, -n)
	}
}
