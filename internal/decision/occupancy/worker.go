package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// SetWorker names the life of the worker that runs tasks. The runs of an
// earlier life are gone with it.
func (m *Machine) SetWorker(now time.Duration, w Worker) {
	if m.worker.ID == w.ID && m.worker.Born == w.Born {
		if m.worker.Capacity != w.Capacity {
			m.worker.Capacity = w.Capacity
			m.fill(now)
		}
		return
	}
	m.vanish(now, "the worker started again")
	m.worker = w
	m.looked = false
	clear(m.strangers)
	m.health = health{}
}

// WorkerGone says that the worker has ended and runs nothing.
func (m *Machine) WorkerGone(now time.Duration) {
	m.vanish(now, "the worker is gone")
	m.looked = false
	clear(m.strangers)
}

// LeasesLapsed says that all leases at the worker have run out. Orders that
// were not confirmed still hold their room until they are voided.
func (m *Machine) LeasesLapsed(now time.Duration) {
	for _, r := range m.ordered() {
		if r.confirmed > 0 {
			m.end(now, r, work.Lost, "the lease ran out")
		}
	}
	clear(m.strangers)
}

// vanish ends the runs of a life of the worker that is over. An order that is
// still under way may reach the next life: its run is held until the answer
// comes. One that has timed out can't, because its connection is closed.
func (m *Machine) vanish(now time.Duration, reason string) {
	for _, r := range m.ordered() {
		if r.confirmed > 0 || !r.calling {
			m.end(now, r, work.Lost, reason)
			continue
		}
		r.stopped = false // the next life knows of no stop
	}
}

// SetOpen says whether the worker takes new runs: it is in contact, not
// draining, and healthy enough. Queued runs are given back when it closes.
func (m *Machine) SetOpen(now time.Duration, open bool) {
	if m.open == open {
		return
	}
	m.open = open
	m.admit(now)
}

// Close makes the sidecar take no new runs for good; queued runs are given back.
func (m *Machine) Close(now time.Duration) {
	m.closed = true
	m.admit(now)
}

// Ready reports whether the worker takes new runs.
func (m *Machine) Ready() bool {
	return m.open && !m.closed && m.looked && len(m.strangers) == 0 && m.worker.ID != ""
}

// admit starts queued runs, or gives them back while no runs are taken.
func (m *Machine) admit(now time.Duration) {
	if m.Ready() {
		m.fill(now)
		return
	}
	for m.queue.Len() > 0 {
		m.end(now, m.queue.head(), work.NotRun, "the worker takes no new runs")
	}
}
