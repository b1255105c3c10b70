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

// Results handles the ends of tasks. Those that don't match a task in flight
// at the sidecar are duplicates and are ignored.
func (m *Machine) Results(now time.Duration, sidecar ident.Process, results []wire.TaskResult) {
	m.now = now
	for i := range results {
		r := &results[i]
		t := m.task(sidecar, r.Task)
		if t == nil || t.credit != r.Credit || !r.State.Final() {
			m.waste.Duplicates++
			continue
		}
		m.result(t, r)
	}
}

// result ends a task in flight.
func (m *Machine) result(t *task, r *wire.TaskResult) {
	switch r.State {
	case jobapi.TaskCompleted:
		run := time.Duration(r.RunMs) * time.Millisecond
		c := t.job.class
		c.run.Observe(run)
		m.judge(t, true, c.run.RatioToMedian(run))
		t.body, t.runMs = r.Body, r.RunMs
		m.finish(t, completed)
	case jobapi.TaskFailed:
		m.judge(t, false, 0)
		t.body, t.runMs, t.err = r.Body, r.RunMs, r.Error
		m.fail(t.job, causeFailed)
		m.finish(t, failed)
	case jobapi.TaskNotRun:
		m.judge(t, false, 0)
		t.unstarted = append(t.unstarted, t.worker.proc)
		m.retry(t, r.Error)
	default:
		m.judge(t, false, 0)
		t.err = r.Error
		m.lose(t)
	}
}

// judge records a result for the health of the worker. Of an ejected worker
// only the probe counts.
func (m *Machine) judge(t *task, ok bool, ratio float64) {
	w := t.worker
	if w.health == nil || w.rank == health.RankProbe || w.rank == health.RankEjected && !t.probe {
		return
	}
	if t.probe {
		t.probe = false
		m.watchProbe(w)
	}
	kind, change := t.job.class.key.Kind, health.Unchanged
	if ok {
		change = w.health.RecordCompleted(m.now, kind, ratio)
	} else {
		change = w.health.RecordFailed(m.now, kind)
	}
	m.refresh(w)
	m.judged(w, change)
	if ok {
		m.reconsider(w.pool)
	}
}

// reconsider judges the suspect workers again by the results of the others.
func (m *Machine) reconsider(p *pool) {
	for _, w := range p.suspects {
		if w.pool != p {
			continue
		}
		change := w.health.EvaluateSuspect(m.now)
		m.refresh(w)
		m.judged(w, change)
	}
}

// judged reports a change of a worker and keeps the list of suspect workers.
func (m *Machine) judged(w *worker, change health.Change) {
	p := w.pool
	at := slices.Index(p.suspects, w)
	switch suspect := w.health.Suspect(); {
	case suspect && at < 0:
		p.suspects = append(p.suspects, w)
	case !suspect && at >= 0:
		p.suspects = slices.Delete(slices.Clone(p.suspects), at, at+1)
	}
	switch change {
	case health.Ejected:
		until, _ := w.health.NextProbe()
		m.notice(WorkerEjected{Sidecar: w.proc, Until: until})
		m.watchProbe(w)
	case health.Readmitted:
		m.notice(WorkerReadmitted{Sidecar: w.proc})
	}
}

// retry requeues a task that was proved not started at a cost to the retry
// budget.
func (m *Machine) retry(t *task, err string) {
	c := t.job.class
	if c.budget.TryRetry(m.now) {
		m.requeue(t)
		return
	}
	m.notice(RetriesExhausted{Class: c.key})
	t.err = err
	m.fail(t.job, causeRetries)
	m.finish(t, notRun)
}

// requeue puts a task that did not start back to the front of its class.
func (m *Machine) requeue(t *task) {
	c := t.job.class
	m.release(t)
	m.ended(c)
	t.worker, t.state = nil, queued
	if c.pool.queue.Requeue(t.job.wait, fair.Task[*task]{Cost: t.cost, Value: t}) {
		m.queued(c, 1)
		m.touch(c.pool)
		return
	}
	m.count(t, notRun)
	m.settle(t.job)
}

// lose ends a task of which nobody can tell whether it ran.
func (m *Machine) lose(t *task) {
	m.fail(t.job, causeUnknown)
	m.finish(t, mayHaveRun)
}

// finish ends a task in flight with a final state.
func (m *Machine) finish(t *task, s state) {
	m.release(t)
	if s == mayHaveRun {
		m.hold(t.job)
	} else {
		m.ended(t.job.class)
	}
	m.count(t, s)
	m.settle(t.job)
}

// count gives a task its final state.
func (m *Machine) count(t *task, s state) {
	t.state = s
	t.job.done++
	if s == notRun || s == mayHaveRun {
		t.body = nil
	}
}

// release takes a task off its worker. Its capacity is given back by ended or
// hold.
func (m *Machine) release(t *task) {
	w, c := t.worker, t.job.class
	last := len(w.inflight) - 1
	w.inflight[t.pos] = w.inflight[last]
	w.inflight[t.pos].pos = t.pos
	w.inflight[last] = nil
	w.inflight = w.inflight[:last]
	if t.probe && w.health != nil {
		w.health.ProbeInconclusive()
		m.watchProbe(w)
		m.refresh(w)
	}
	t.probe = false
	if w.health != nil && w.health.Suspect() {
		m.refresh(w)
	}
	t.job.inFlight--
	c.pool.queue.RecordEnd(c.queue)
}

// fail records why a job can't complete and withdraws its waiting tasks.
func (m *Machine) fail(j *job, why cause) {
	if j.cause.reason == "" {
		j.cause = why
	}
	if n := j.class.pool.queue.Withdraw(j.wait); n > 0 {
		m.queued(j.class, -n)
	}
}
