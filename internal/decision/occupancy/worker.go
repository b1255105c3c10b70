package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// SetWorker sets the current worker process, or its ID or capacity. If the process is a
// new one, the runs of the earlier process have ended with it. A run that may be on the
// new process is stopped.
func (m *Machine) SetWorker(now time.Duration, w Worker) {
	if m.worker.Incarnation == w.Incarnation && (m.worker.ID == w.ID || m.worker.ID == "") {
		if m.worker != w {
			m.worker = w
			m.startQueued(now)
		}
		return
	}
	const reason = "the worker restarted"
	for _, r := range m.activeRuns() {
		if m.reachedCurrentProcess(r) {
			m.endRun(now, r, work.Lost, reason)
			continue
		}
		r.stopConfirmed = false // the new worker process has not received a stop call
		m.requestStop(now, r, work.Lost, reason)
	}
	m.worker = w
	m.statusKnown = false
	clear(m.unknownRuns)
	m.health = health{}
}

// reachedCurrentProcess reports whether the start call of a run has certainly reached the
// current worker process or an earlier one, and no later one: the process has listed the
// run, or it has answered a status that was requested after the call had returned. A
// worker process is replaced some time before the sidecar notices it.
func (m *Machine) reachedCurrentProcess(r *run) bool {
	return r.listed || !r.startPending && r.startReturnedAt < m.lastStatusRequest
}

// WorkerExited records that the worker process has exited and executes no run. A start
// call that has not returned may reach the next worker process, so its run stays active at
// least until the call returns. A start call that has timed out can't reach the next
// process, because its connection is closed.
func (m *Machine) WorkerExited(now time.Duration) {
	for _, r := range m.activeRuns() {
		if r.confirmedAt > 0 || !r.startPending {
			m.endRun(now, r, work.Lost, "the worker exited")
			continue
		}
		r.stopConfirmed = false // the next worker process has not received the stop call
	}
	m.statusKnown = false
	clear(m.unknownRuns)
}

// LeasesExpired records that all leases granted to the worker have expired. A run
// whose start the worker has not confirmed stays active: its start call may still
// take effect until a stop call prevents it.
func (m *Machine) LeasesExpired(now time.Duration) {
	for _, r := range m.activeRuns() {
		if r.confirmedAt > 0 {
			m.endRun(now, r, work.Lost, "the lease expired")
		}
	}
	clear(m.unknownRuns)
}

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
	return m.workerAvailable && !m.draining && m.statusKnown && len(m.unknownRuns) == 0 && m.worker.ID != ""
}

// startOrReturnQueued starts queued runs. If no runs are accepted, it returns all
// queued runs to their owners instead.
func (m *Machine) startOrReturnQueued(now time.Duration) {
	if m.AcceptsRuns() {
		m.startQueued(now)
		return
	}
	for m.queue.Len() > 0 {
		m.endRun(now, m.queue.head(), work.NotRun, "the worker accepts no new runs")
	}
}
