package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Submit queues runs of an owner and starts the runs for which the worker has free
// capacity. It ignores runs that the owner has submitted before and that have not
// ended. A run with NoWait that can't start immediately is returned to the owner, and so is
// one for which the owner has chosen the worker by another description than the present one.
func (m *Machine) Submit(now time.Duration, owner ident.Process, reqs []wire.RunRequest) {
	for _, q := range reqs {
		if known := m.runs[q.Run]; known != nil && known.owner == owner {
			continue
		}
		if m.resolveOwners(now, owner, &q) {
			continue
		}
		m.lastSequence++
		r := &run{RunRequest: q, owner: owner, sequence: m.lastSequence, jobSubmittedAt: jobSubmittedAt(now, &q),
			latestStart: now + time.Duration(q.MaxWaitMs)*time.Millisecond}
		m.runs[q.Run] = r
		m.runsOfOwner[owner]++
		m.byTask[q.Run.Task] = append(m.byTask[q.Run.Task], r)
		m.queue.push(r)
		if q.Description != 0 && q.Description != m.description {
			m.endRun(now, r, work.NotRun, reasonEarlierDescription)
			continue
		}
		if !q.Need.FitsIn(m.worker.Capacity) {
			m.endRun(now, r, work.NotRun, reasonTooLarge)
		}
	}
	m.startOrReturnQueued(now)
	for _, q := range reqs {
		if r := m.runs[q.Run]; q.NoWait && r != nil && r.owner == owner && r.phase == queued {
			m.endRun(now, r, work.NoRoom, reasonNoCapacityNow)
		}
	}
}

const reasonNoCapacityNow = "no room at once"

// startQueued starts queued runs in order while the worker has enough free
// capacity. A run that does not fit blocks the runs behind it, so that small runs
// don't starve large ones; if it has NoWait, it is returned to its owner instead.
func (m *Machine) startQueued(now time.Duration) {
	if !m.AcceptsRuns() {
		return
	}
	for m.queue.Len() > 0 {
		r := m.queue.head()
		if now > r.latestStart {
			m.endRun(now, r, work.NotRun, "no room in time")
			continue
		}
		if !m.fits(now, r.Need) {
			if !r.NoWait {
				return
			}
			m.endRun(now, r, work.NoRoom, reasonNoCapacityNow)
			continue
		}
		m.queue.remove(r)
		r.phase, r.startedAt, r.progressedAt, r.startPending = starting, now, now, true
		m.used = m.used.Add(r.Need)
		m.load.recordStart(now, r)
		m.actions = append(m.actions, StartRun{Run: r.Run, Payload: r.Payload})
	}
}

// StartResult is the result of a start call.
type StartResult uint8

// Results of a start call.
const (
	// Accepted means that the worker has started the run.
	Accepted StartResult = iota
	// Rejected means that the worker has not started the run and never will.
	Rejected
	// Outdated means that the worker has a record of a run of the task with the
	// same or a higher attempt, so that it has not started this run.
	Outdated
	// Unanswered means that the worker did not answer and may still start the run
	// at any time.
	Unanswered
	// Withdrawn means that the sidecar has not made the call, for which the worker is not to blame.
	Withdrawn
)

// StartAnswered records the result of the start call of a StartRun action.
func (m *Machine) StartAnswered(now time.Duration, id work.RunID, result StartResult, reason string) {
	r := m.runs[id]
	if r == nil || !r.startPending {
		return
	}
	r.startPending = false
	if r.phase == running && result != Accepted {
		return // a status has already listed the run
	}
	switch result {
	case Accepted:
		r.confirmedAt, r.progressedAt = now, now
		if r.phase == starting {
			r.phase = running
		}
	case Rejected:
		m.health.recordEnd(now, r.Run.Task.Job, false)
		m.endRun(now, r, work.NotRun, reason)
	case Withdrawn:
		m.endRun(now, r, work.NotRun, reason)
	case Outdated:
		m.endRun(now, r, work.Outdated, reason)
	case Unanswered:
		r.unansweredAt = now
		if r.phase == starting {
			r.phase = unconfirmed
		}
	}
}
