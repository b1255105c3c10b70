package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Tick answers jobs whose time is up, notices silent workers and tries again
// what found no worker. It returns when it is due again, zero if nothing waits.
func (m *Machine) Tick(now time.Duration) time.Duration {
	for len(m.deadlines) > 0 && m.deadlines[0].deadline <= now {
		m.giveUp(now, m.deadlines[0], work.ReasonDeadline)
	}
	m.checkSilence(now)
	m.retryWaiting(now)
	next := time.Duration(0)
	if len(m.deadlines) > 0 {
		next = m.deadlines[0].deadline
	}
	for _, j := range m.waiting {
		if at := max(j.again, now+settle); next == 0 || at < next {
			next = at
		}
	}
	return next
}

// waitingPoll is the least wait for a task that no worker can take at the
// moment.
const waitingPoll = 50 * time.Millisecond

func (m *Machine) retryWaiting(now time.Duration) {
	if len(m.waiting) == 0 {
		return
	}
	list := m.waiting
	m.waiting = nil
	for _, j := range list {
		j.listed = false
		switch {
		case j.answered:
		case now < j.again:
			m.wait(j)
		case j.untouched():
			m.again(now, j)
		default:
			m.place(now, j)
		}
	}
}

// again places all tasks of a job of which nothing has run once more, or
// refuses it.
func (m *Machine) again(now time.Duration, j *job) {
	p := m.plan(now, j, j.ready())
	if !p.inTime {
		m.answer(now, j, refusal(work.ReasonOverload, m.retryAfter(p.wait)))
		return
	}
	m.carryOut(now, j, p)
}

// Ends takes the ends of runs at a sidecar.
func (m *Machine) Ends(now time.Duration, sidecar ident.Process, ends []wire.RunEnd) {
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	for _, e := range ends {
		if t := w.tasks[e.Run]; t != nil {
			m.ended(now, t, e)
		}
	}
	m.retryWaiting(now)
}

func (m *Machine) ended(now time.Duration, t *task, e wire.RunEnd) {
	j, w := t.job, t.worker
	m.detach(t)
	if e.Outcome != work.Done && e.Outcome != work.NoRoom {
		j.facts.LastOutcome, j.facts.LastReason, j.facts.LastWorker = e.Outcome, e.Reason, w.info.Worker
	}
	if e.Outcome != work.NotRun && e.Outcome != work.NoRoom && e.Outcome != work.Outdated {
		j.touched = true
	}
	if j.answered {
		m.forget(j)
		return
	}
	switch e.Outcome {
	case work.Done:
		m.calibration(j.spec.Queue).Observe(j.spec.Steps[t.step].Estimate, time.Duration(e.RunMs)*time.Millisecond)
		m.done(now, t)
		return
	case work.RunFailed:
		t.failures++
		t.avoid = append(t.avoid, w)
		if t.failures >= max(j.spec.MaxFailedRuns, 1) {
			m.answer(now, j, work.Answer{State: work.Failed, Reason: work.ReasonMaxFailedRuns})
			return
		}
	case work.Outdated:
	case work.NoRoom:
		t.returns++
		j.facts.Returns++
		if j.untouched() {
			m.again(now, j)
			return
		}
	case work.NotRun:
		t.tries++
		t.avoid = append(t.avoid, w)
		if !j.touched {
			// Its other tasks may come back, too.
			j.again = now + settle
			m.wait(j)
			return
		}
	default:
		t.avoid = append(t.avoid, w)
	}
	m.place(now, j)
}

// settle is how long a job of which nothing is known to have run waits for the
// other tasks that found no room before they are placed again: if none of them
// has started, the job is refused.
const settle = 8 * time.Millisecond

func (m *Machine) done(now time.Duration, t *task) {
	j := t.job
	t.done = true
	j.done++
	j.left[t.step]--
	if j.done == len(j.tasks) {
		m.answer(now, j, work.Answer{State: work.Completed})
		return
	}
	if j.left[t.step] == 0 {
		m.place(now, j)
	}
}

// place sends the tasks of a job that are ready. If no worker can finish them
// while the caller waits, the job is given up.
func (m *Machine) place(now time.Duration, j *job) {
	if j.answered {
		return
	}
	tasks := j.ready()
	if len(tasks) == 0 {
		return
	}
	plan := m.plan(now, j, tasks)
	if now+plan.least > j.deadline {
		m.giveUp(now, j, work.ReasonDeadline)
		return
	}
	m.carryOut(now, j, plan)
}

// wait keeps a job for a later attempt to place its tasks.
func (m *Machine) wait(j *job) {
	if !j.listed {
		j.listed = true
		m.waiting = append(m.waiting, j)
	}
}
