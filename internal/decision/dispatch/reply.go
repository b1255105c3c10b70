package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// task returns the task that is in flight at the sidecar, else nil.
func (m *Machine) task(sidecar ident.Process, key wire.TaskKey) *task {
	j := m.jobs[key.Submission]
	if j == nil || key.Index < 0 || key.Index >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[key.Index]
	if !t.state.inFlight() || t.worker.proc != sidecar {
		return nil
	}
	return t
}

// DispatchReply handles the reply to a Dispatch action.
func (m *Machine) DispatchReply(now time.Duration, sidecar ident.Process, starts []wire.Start, codes []wire.StartCode) {
	m.now = now
	for i := range starts {
		s := &starts[i]
		if i < len(codes) && codes[i] != wire.Accepted {
			m.waste.RefusedStarts++
		}
		t := m.task(sidecar, s.Task)
		if t == nil || t.credit != s.Credit || t.state != dispatched {
			continue
		}
		if i >= len(codes) {
			m.lostReply(t)
			continue
		}
		m.replied(t, codes[i])
	}
}

func (m *Machine) replied(t *task, code wire.StartCode) {
	w := t.worker
	switch code {
	case wire.Accepted:
		if w.gone {
			m.lose(t)
			return
		}
		t.state = running
	case wire.RefusedDuplicate:
		m.lostReply(t) // a start of it is on record there; ask what became of it
	case wire.RefusedFenced:
		m.suspended = true
		m.notice(OwnerFenced{Sidecar: w.proc})
		m.requeue(t)
	case wire.RefusedLeaving:
		if !w.gone {
			m.setLeaving(w, true)
		}
		m.requeue(t)
	case wire.RefusedCredit:
		m.requeue(t)
	default:
		m.lostReply(t)
	}
}

// DispatchFailed handles a Dispatch action without reply; sent is false if it
// was certainly not delivered.
func (m *Machine) DispatchFailed(now time.Duration, sidecar ident.Process, starts []wire.Start, sent bool) {
	m.now = now
	for i := range starts {
		t := m.task(sidecar, starts[i].Task)
		if t == nil || t.credit != starts[i].Credit || t.state != dispatched {
			continue
		}
		if !sent {
			m.requeue(t)
			continue
		}
		m.lostReply(t)
	}
}

// lostReply asks the sidecar for the outcome of a dispatch; if its incarnation
// is gone nobody can tell.
func (m *Machine) lostReply(t *task) {
	w := t.worker
	if w.gone {
		m.lose(t)
		return
	}
	t.state = fencing
	if len(w.fenced) == 0 {
		w.fenceAt, w.fenceGap = m.now, fenceGap
		m.fencing = append(m.fencing, w)
	}
	w.fenced = append(w.fenced, t)
	w.fenceAt = min(w.fenceAt, m.now)
}

// FenceReply handles the reply to a Fence action.
func (m *Machine) FenceReply(now time.Duration, sidecar ident.Process, starts []wire.FencedStart, reply wire.FenceReply) {
	m.now = now
	for i, s := range starts {
		t := m.task(sidecar, s.Task)
		if t == nil || t.credit != s.Credit || t.state != fencing {
			continue
		}
		switch {
		case reply.WrongIncarnation:
			m.lose(t)
		case i < len(reply.Outcomes) && reply.Outcomes[i].Task == s.Task:
			m.fenced(t, reply.Outcomes[i])
		}
	}
}

// fenced applies what the sidecar knows of a task.
func (m *Machine) fenced(t *task, e wire.LedgerEntry) {
	switch {
	case e.State == jobapi.TaskNotRun:
		t.unstarted = append(t.unstarted, t.worker.proc)
		m.retry(t, "")
	case e.State == jobapi.TaskRunning:
		t.state = running
	case e.Result != nil:
		m.result(t, e.Result)
	case e.State.Final():
		m.result(t, &wire.TaskResult{Task: e.Task, State: e.State})
	}
}
