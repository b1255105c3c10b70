package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// inFlightTask returns the task if it is in flight at the sidecar, otherwise nil.
func (m *Machine) inFlightTask(sidecar ident.Process, key wire.TaskKey) *task {
	j := m.jobs[key.Submission]
	if j == nil || key.Index < 0 || key.Index >= len(j.tasks) {
		return nil
	}
	t := &j.tasks[key.Index]
	if !t.state.inFlight() || t.worker.process != sidecar {
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
		t := m.inFlightTask(sidecar, s.Task)
		if t == nil || t.credit != s.Credit || t.state != dispatched {
			continue
		}
		if i >= len(codes) {
			m.requestOutcome(t)
			continue
		}
		m.applyStartCode(t, codes[i])
	}
}

func (m *Machine) applyStartCode(t *task, code wire.StartCode) {
	w := t.worker
	switch code {
	case wire.Accepted:
		if w.detached {
			m.endUnknown(t)
			return
		}
		t.state = running
	case wire.RefusedDuplicate:
		m.requestOutcome(t) // the sidecar has a start of the task on record
	case wire.RefusedFenced:
		m.suspended = true
		m.notice(OwnerFenced{Sidecar: w.process})
		m.requeue(t)
	case wire.RefusedLeaving:
		if !w.detached {
			m.changeLeaving(w, true)
		}
		m.requeue(t)
	case wire.RefusedCredit:
		m.requeue(t)
	default:
		m.requestOutcome(t)
	}
}

// DispatchFailed handles a Dispatch action that got no reply. sent is false if
// the Dispatch was certainly not delivered.
func (m *Machine) DispatchFailed(now time.Duration, sidecar ident.Process, starts []wire.Start, sent bool) {
	m.now = now
	for i := range starts {
		t := m.inFlightTask(sidecar, starts[i].Task)
		if t == nil || t.credit != starts[i].Credit || t.state != dispatched {
			continue
		}
		if !sent {
			m.requeue(t)
			continue
		}
		m.requestOutcome(t)
	}
}

// requestOutcome asks the sidecar for the outcome of a dispatch by a Fence
// action. If the sidecar incarnation is detached, the outcome stays unknown.
func (m *Machine) requestOutcome(t *task) {
	w := t.worker
	if w.detached {
		m.endUnknown(t)
		return
	}
	t.state = fencing
	if len(w.fencingTasks) == 0 {
		w.nextFenceAt, w.fenceInterval = m.now, minFenceInterval
		m.fencingWorkers = append(m.fencingWorkers, w)
	}
	w.fencingTasks = append(w.fencingTasks, t)
	w.nextFenceAt = min(w.nextFenceAt, m.now)
}

// FenceReply handles the reply to a Fence action.
func (m *Machine) FenceReply(now time.Duration, sidecar ident.Process, starts []wire.FencedStart, reply wire.FenceReply) {
	m.now = now
	for i, s := range starts {
		t := m.inFlightTask(sidecar, s.Task)
		if t == nil || t.credit != s.Credit || t.state != fencing {
			continue
		}
		switch {
		case reply.WrongIncarnation:
			m.endUnknown(t)
		case i < len(reply.Outcomes) && reply.Outcomes[i].Task == s.Task:
			m.applyFenceOutcome(t, reply.Outcomes[i])
		}
	}
}

// applyFenceOutcome applies the state of a task that the sidecar reported in its
// reply to a Fence.
func (m *Machine) applyFenceOutcome(t *task, entry wire.LedgerEntry) {
	switch {
	case entry.State == jobapi.TaskNotRun:
		t.notRunAt = append(t.notRunAt, t.worker.process)
		m.retryOrFail(t, "")
	case entry.State == jobapi.TaskRunning:
		t.state = running
	case entry.Result != nil:
		m.applyResult(t, entry.Result)
	case entry.State.Final():
		m.applyResult(t, &wire.TaskResult{Task: entry.Task, State: entry.State})
	}
}
