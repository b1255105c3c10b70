package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// SidecarLost records that a sidecar process has ended or is out of contact, so that a batch
// to it has been abandoned. The runs at its worker end when their leases expire or the next
// process of that sidecar has stopped them. If the sidecar is heard again, the runs of
// answered jobs are stopped again.
func (m *Machine) SidecarLost(now time.Duration, sidecar ident.Process) {
	if w := m.workers[sidecar]; w != nil && !w.unreachable {
		m.markUnreachable(now, w)
	}
}

// BatchAbandoned records that a batch that may have arrived is not sent again, because its
// sidecar has ended or is out of contact. If the sidecar is heard again in the same session
// and has not carried out the batch, the runs in it are stopped and placed again.
func (m *Machine) BatchAbandoned(now time.Duration, batch Batch) {
	m.SidecarLost(now, batch.Sidecar)
	if w := m.workers[batch.Sidecar]; w != nil && w.session == batch.Session && len(batch.Runs) > 0 {
		w.abandoned = append(w.abandoned, batch)
	}
}

// stopAbandonedRuns stops the runs of unanswered jobs in the abandoned batches that a sidecar
// has not carried out. The batch with the stops has a higher sequence, so the abandoned ones
// have no effect after it.
func (m *Machine) stopAbandonedRuns(w *worker) {
	for _, batch := range w.abandoned {
		if batch.Session != w.session || batch.Sequence <= w.load.AppliedSequence {
			continue
		}
		for _, r := range batch.Runs {
			if t := w.tasks[r.Run]; t != nil && !t.job.answered {
				m.stopRun(t)
			}
		}
	}
	w.abandoned = nil
}

// contactCheckInterval is the time between two checks of all workers for messages that
// have not come.
const contactCheckInterval = 20 * time.Millisecond

// checkContacts stops using workers that are out of contact, and removes workers whose
// leases have expired. It precedes all other work.
//
// After a pause of this process, or without a message from any sidecar, the callers may
// have submitted their jobs again at another entry instance. checkContacts then abandons
// all jobs before a message can make them run again, and stops using all workers: what
// this process reads from them may be older than the pause.
func (m *Machine) checkContacts(now time.Duration) {
	m.startup.begin(now)
	paused := m.lastCall > 0 && now-m.lastCall > m.cfg.HeartbeatTimeout
	m.lastCall = now
	if now < m.nextContactCheck && !paused {
		return
	}
	m.nextContactCheck = now + contactCheckInterval
	cutOff := len(m.workers) > 0 && now-m.lastMessage > m.cfg.IsolationTimeout
	if paused || cutOff {
		for len(m.unanswered) > 0 {
			m.abandon(now, m.unanswered[0], work.ReasonOutOfContact)
		}
	}
	for _, id := range m.silentSidecars(now, paused) {
		w := m.workers[id]
		if !w.unreachable && (paused || m.outOfContact(now, w)) {
			m.markUnreachable(now, w)
		}
		if w.unreachable && now > m.leasesEnd(w) {
			m.loseTasks(now, w, "no heartbeat arrived before the leases expired")
			m.removeFromPool(w)
			delete(m.workers, id)
			m.forgetIncarnations(now)
		}
	}
}

// silentSidecars returns the sidecars that are out of contact, or all after a pause, in the order
// of their names, so that a simulation gives the same result in each run.
func (m *Machine) silentSidecars(now time.Duration, paused bool) []ident.Process {
	var list []ident.Process
	for id, w := range m.workers {
		if w.unreachable || paused || m.outOfContact(now, w) {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b ident.Process) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// minRetransmission is the least time after which TCP sends lost data again.
const minRetransmission = 200 * time.Millisecond

// recordMessage records a message from a sidecar. After a silence of all sidecars, this process was
// cut off or suspended, and maybe from its callers, too. What they have sent meanwhile is sent again
// after delays that double, so it arrives at most as long after the silence as that has lasted.
func (m *Machine) recordMessage(now time.Duration) {
	if silence := now - m.lastMessage; m.lastMessage > 0 && silence > m.cfg.IsolationTimeout {
		m.delayedUntil = now + silence + minRetransmission
	}
	m.lastMessage = now
}

// MayBeDelayed reports whether a request that arrives now may have been held back so long that its
// caller has submitted the job again elsewhere.
func (m *Machine) MayBeDelayed(now time.Duration) bool {
	return m.lastMessage > 0 && (now < m.delayedUntil || now-m.lastMessage > m.cfg.IsolationTimeout)
}

// outOfContact reports whether a message from the sidecar of a worker is overdue.
func (m *Machine) outOfContact(now time.Duration, w *worker) bool {
	if len(w.tasks) == 0 {
		return now-w.lastContact > m.cfg.IdleTimeout
	}
	return now-max(w.lastContact, w.activeSince) > m.cfg.HeartbeatTimeout
}

// leasesEnd returns the time by which the runs at a worker have ended if no further
// message arrives. A batch also proves to the sidecar that this entry instance is alive.
func (m *Machine) leasesEnd(w *worker) time.Duration {
	return max(w.lastContact, w.lastRunAt) + m.cfg.LeaseTimeout
}

// markUnreachable stops using a worker. It abandons each job with a task there
// whose deadline is too early to run the task again after the leases have expired.
func (m *Machine) markUnreachable(now time.Duration, w *worker) {
	w.unreachable = true
	leasesEnd := m.leasesEnd(w)
	for _, t := range sortedTasks(w) {
		j := t.job
		if j.answered {
			continue
		}
		if leasesEnd+j.minRunTime(t.step) > j.deadline {
			j.mayHaveRun = true
			j.stats.LastOutcome, j.stats.LastReason, j.stats.LastWorker = work.Lost, "the worker is unreachable", w.info.Worker
			m.answer(now, j, work.Answer{State: work.Unfinished, Reason: work.ReasonWorkerLost})
		}
	}
}

// endPredecessors ends the runs of earlier incarnations of a sidecar. The current
// incarnation has verified that none of them is running.
func (m *Machine) endPredecessors(now time.Duration, w *worker) {
	w.predecessors = m.predecessorsOf(w.info.Sidecar.Process)
	for id, other := range m.workers {
		if other == w || id.Instance != w.info.Sidecar.Process.Instance || other.info.FencingToken > w.info.FencingToken {
			continue
		}
		m.loseTasks(now, other, "the sidecar has restarted")
		m.removeFromPool(other)
		delete(m.workers, id)
	}
}

// stopAnsweredTasks stops the runs of answered jobs at a worker again. The batch with their
// first stops may have been abandoned while the sidecar was out of contact.
func (m *Machine) stopAnsweredTasks(w *worker) {
	for _, t := range sortedTasks(w) {
		if t.job.answered {
			m.stopRun(t)
		}
	}
}

// loseTasks ends all runs at a worker with the outcome work.Lost.
func (m *Machine) loseTasks(now time.Duration, w *worker, reason string) {
	w.reservations = nil
	for _, t := range sortedTasks(w) {
		if t.worker != w {
			continue // an earlier iteration answered the job and canceled this unsent run
		}
		m.endRun(now, t, wire.RunEnd{Run: t.runID(), Outcome: work.Lost, Reason: reason, Crash: work.SilentWorker})
	}
}

// sortedTasks returns the tasks at a worker in a deterministic order.
func sortedTasks(w *worker) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	sortTasks(list)
	return list
}

// Workers returns the numbers of known and of usable workers.
func (m *Machine) Workers() (known, usable int) {
	for _, w := range m.workers {
		if w.usable() {
			usable++
		}
	}
	return len(m.workers), usable
}

// InContact reports whether a sidecar is known and no message from it is overdue.
func (m *Machine) InContact(now time.Duration, sidecar ident.Process) bool {
	w := m.workers[sidecar]
	return w != nil && !w.unreachable && !m.outOfContact(now, w)
}
