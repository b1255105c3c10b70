package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Submit queues runs of an owner and starts those that there is room for. Runs
// that are known already are ignored, and those that are to start at once or not
// at all are given back if there is no room.
func (m *Machine) Submit(now time.Duration, owner ident.Process, reqs []wire.RunRequest) {
	for _, q := range reqs {
		if old := m.runs[q.Run]; old != nil && old.owner == owner {
			continue
		}
		if m.contested(now, owner, q.Run.Task) {
			m.out = append(m.out, Report{Owner: owner, End: wire.RunEnd{
				Run: q.Run, Outcome: work.NotRun, Reason: "a run of the task for another owner is being stopped"}})
			continue
		}
		m.orders++
		r := &run{RunRequest: q, owner: owner, order: m.orders,
			expires: now + time.Duration(q.MaxWaitMs)*time.Millisecond}
		m.runs[q.Run] = r
		m.byTask[q.Run.Task] = append(m.byTask[q.Run.Task], r)
		m.queue.push(r)
		if !q.Need.FitsIn(m.worker.Capacity) {
			m.end(now, r, work.NotRun, "does not fit the worker")
		}
	}
	m.admit(now)
	for _, q := range reqs {
		if r := m.runs[q.Run]; q.NoWait && r != nil && r.owner == owner && r.phase == queued {
			m.end(now, r, work.NoRoom, noRoomAtOnce)
		}
	}
}

const noRoomAtOnce = "no room at once"

// contested reports whether runs of the same task for another owner are still
// here, and stops them: the caller has submitted the job again, so nobody waits
// for the earlier owner's answer.
func (m *Machine) contested(now time.Duration, owner ident.Process, task work.TaskID) bool {
	found := false
	for _, r := range m.byTask[task] {
		if r.owner != owner {
			found = true
			m.Stop(now, r.Run)
		}
	}
	return found
}

// fill starts queued runs in order while they fit. A run that does not fit
// holds back those behind it, so that small runs don't starve large ones, unless
// it is to start at once: it is given back then.
func (m *Machine) fill(now time.Duration) {
	if !m.Ready() {
		return
	}
	for m.queue.Len() > 0 {
		r := m.queue.head()
		if now > r.expires {
			m.end(now, r, work.NotRun, "no room in time")
			continue
		}
		if !m.used.Add(r.Need).FitsIn(m.worker.Capacity) {
			if !r.NoWait {
				return
			}
			m.end(now, r, work.NoRoom, noRoomAtOnce)
			continue
		}
		m.queue.remove(r)
		r.phase, r.started, r.moved, r.calling = starting, now, now, true
		m.used = m.used.Add(r.Need)
		m.load.start(now, r)
		m.out = append(m.out, Order{Run: r.Run, Payload: r.Payload})
	}
}

// Result is the worker's answer to an order.
type Result uint8

// Answers to an order.
const (
	// Accepted: the worker has started the run.
	Accepted Result = iota
	// Rejected: the worker has not started the run and will not.
	Rejected
	// Outdated: the worker knows a run of the task that is not lower.
	Outdated
	// Unanswered: the worker may start the run at any time.
	Unanswered
)

// Ordered is the worker's answer to an Order.
func (m *Machine) Ordered(now time.Duration, id work.RunID, result Result, reason string) {
	r := m.runs[id]
	if r == nil || !r.calling {
		return
	}
	r.calling = false
	if r.phase == running && result != Accepted {
		return // a look has listed it
	}
	switch result {
	case Accepted:
		r.confirmed, r.moved = now, now
		if r.phase == starting {
			r.phase = running
		}
	case Rejected:
		m.health.ended(now, r.Run.Task.Job, false)
		m.end(now, r, work.NotRun, reason)
	case Outdated:
		m.end(now, r, work.Outdated, reason)
	case Unanswered:
		r.absentAfter = now
		if r.phase == starting {
			r.phase = doubtful
		}
	}
}
