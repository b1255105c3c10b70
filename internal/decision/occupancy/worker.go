package occupancy

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// SetWorker sets the current worker process, its new capacity, or its ID if only its
// incarnation was known. If the process is a new one, the runs of the earlier process have
// ended with it, and the queued runs, which were chosen for that one, are returned.
func (m *Machine) SetWorker(now time.Duration, w Worker) {
	idLearned := m.worker.ID == "" && w.Incarnation != 0
	if m.worker.Incarnation == w.Incarnation && (m.worker.ID == w.ID || idLearned) {
		if m.worker != w {
			m.worker = w
			m.returnTooLarge(now)
			m.startQueued(now)
		}
		return
	}
	m.endIncarnation(now)
	m.worker = w
	m.statusKnown = false
	m.returnQueued(now, reasonEarlierProcess)
	clear(m.unknownRuns)
	m.health = health{}
}

// SetDescription sets the number by which owners name the present description of the worker. The
// queued runs, which were chosen by an earlier one, are returned.
func (m *Machine) SetDescription(now time.Duration, number uint64) {
	if m.description == number {
		return
	}
	m.description = number
	m.returnQueued(now, reasonEarlierDescription)
}

// returnQueued returns all queued runs to their owners.
func (m *Machine) returnQueued(now time.Duration, reason string) {
	for m.queue.Len() > 0 {
		m.endRun(now, m.queue.head(), work.NotRun, reason)
	}
}

// reasonEarlierProcess is the reason for which a run is returned that its owner has chosen for a
// worker process that has been replaced. The next one may be of another kind or service.
const reasonEarlierProcess = "chosen for an earlier worker process"

const reasonEarlierDescription = "chosen by an earlier description of the worker"

// returnTooLarge returns the queued runs that need more than the worker's capacity.
func (m *Machine) returnTooLarge(now time.Duration) {
	for _, r := range slices.Clone(m.queue.runs) {
		if !r.Need.FitsIn(m.worker.Capacity) {
			m.endRun(now, r, work.NotRun, reasonTooLarge)
		}
	}
}

const reasonTooLarge = "needs more than the worker's capacity"

// WorkerLeaving records that the current worker process has said that it will exit.
func (m *Machine) WorkerLeaving() { m.worker.Leaving = true }

// WorkerUnreachable records that no connection for a start call leads to the worker process. It gets
// no further runs before its next status, because they would all be returned.
func (m *Machine) WorkerUnreachable(now time.Duration) {
	m.statusKnown = false
	m.startOrReturnQueued(now)
}

// Leases says for which runs the leases have expired.
type Leases uint8

const (
	// OfKnownProcess are the leases of the runs that a status has listed. They are at work in the
	// worker process whose clock is known.
	OfKnownProcess Leases = iota
	// OfAnyProcess are all leases. The worker may have started again unnoticed, and then the next
	// process has read the end of a lease on its own clock, so that it lasts as long as the worker
	// allows.
	OfAnyProcess
)

// LeasesExpired records that leases granted to the worker have expired. A run
// whose start the worker has not confirmed stays active: its start call may still
// take effect until a stop call prevents it.
func (m *Machine) LeasesExpired(now time.Duration, leases Leases) {
	for _, r := range m.activeRuns() {
		if r.listed && leases == OfKnownProcess || r.confirmedAt > 0 && leases == OfAnyProcess {
			r.crash, r.crashedIncarnation = work.SilentWorker, m.worker.Incarnation
			m.lapsedRuns = append(m.lapsedRuns, r.Run)
			m.endRun(now, r, work.Lost, "the lease expired")
		}
	}
	if leases == OfAnyProcess {
		clear(m.unknownRuns)
	}
}

// endIncarnation ends the runs of a worker process that another one has replaced. A start call
// that was in flight may have reached the next process, which can have the same ID, so the runs that
// no status has listed stay active until one shows whether the next process executes them.
func (m *Machine) endIncarnation(now time.Duration) {
	crash := m.newCrash()
	for _, r := range m.activeRuns() {
		if r.listed {
			m.addCrashed(&crash, r)
			m.endRun(now, r, work.Lost, reasonRestarted)
			continue
		}
		if !r.restarted {
			r.restarted, r.exited, r.crashCertain = true, m.worker, m.listsAllEnds() && r.confirmedAt > 0
		}
		r.stopConfirmed = false // the next worker process may not have received the stop call
		if r.stopOutcome == work.NotRun {
			r.stopOutcome = work.Lost // the process that has exited may have executed the run
		}
	}
	m.recordCrash(crash)
}

const reasonRestarted = "the worker restarted"

// SetWorkerAvailable sets whether the worker can accept new runs: the sidecar is in
// contact with the worker, and the worker is not draining. When the worker becomes
// unavailable, the queued runs are returned to their owners.
func (m *Machine) SetWorkerAvailable(now time.Duration, available bool) {
	if m.workerAvailable == available {
		return
	}
	m.workerAvailable = available
	m.startOrReturnQueued(now)
}

// Drain makes the sidecar accept no new runs from now on and returns the queued
// runs to their owners.
func (m *Machine) Drain(now time.Duration) {
	m.draining = true
	m.startOrReturnQueued(now)
}

// AcceptsRuns reports whether new runs may start on the worker.
func (m *Machine) AcceptsRuns() bool {
	return m.workerAvailable && !m.draining && !m.evacuated && m.statusKnown && len(m.unknownRuns) == 0 && m.worker.ID != ""
}

// startOrReturnQueued starts queued runs. If no runs are accepted, it returns all
// queued runs to their owners instead.
func (m *Machine) startOrReturnQueued(now time.Duration) {
	if m.AcceptsRuns() {
		m.startQueued(now)
		return
	}
	reason := "the worker accepts no new runs"
	if m.evacuated {
		reason = ReasonEvacuated
	}
	m.returnQueued(now, reason)
}
