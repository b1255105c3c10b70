package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// minFenceInterval and maxFenceInterval are the first and the longest time
	// between two Fence actions for the same starts. The interval doubles after
	// each Fence.
	minFenceInterval = 100 * time.Millisecond
	maxFenceInterval = 2 * time.Second
	// limitedRetryInterval is the time between two attempts to start tasks of
	// limited classes.
	limitedRetryInterval = 5 * time.Millisecond
)

// Tick handles deadlines, held capacity, credit expiry, probes, assigned credits
// and limited classes. Call it, and then Actions, every 5 ms or at the time that
// NextTick returns; Actions repeats the fences that are due.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.expireJobs()
	m.returnHeldCapacity()
	m.expireCredits()
	m.enableDueProbes()
	for _, p := range m.pools {
		if len(p.assigned) > 0 {
			m.markDirty(p)
		}
	}
	if m.classLimited {
		m.classLimited = false
		m.markAllDirty()
	}
}

// NextTick returns the time by which Tick must be called again. ok is false if
// Tick has nothing to do.
func (m *Machine) NextTick() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(m.deadlines) > 0 {
		consider(m.deadlines[0].deadline)
	}
	if len(m.heldCapacity) > 0 {
		consider(m.heldCapacity[0].until)
	}
	if len(m.workers) > 0 {
		consider(m.nextCreditExpiry)
	}
	for _, w := range m.awaitingProbe {
		if until, waits := w.nextProbe(); waits {
			consider(until)
		}
	}
	for _, w := range m.fencingWorkers {
		consider(w.nextFenceAt)
	}
	if m.classLimited {
		consider(m.now + limitedRetryInterval)
	}
	return at, ok
}

// scheduleProbe makes Tick refresh the worker when its next probe is due.
func (m *Machine) scheduleProbe(w *worker) {
	for _, o := range m.awaitingProbe {
		if o == w {
			return
		}
	}
	m.awaitingProbe = append(m.awaitingProbe, w)
}

// nextProbe returns the time at which an ejected worker is due for a probe. The
// second result is false if the worker is not ejected, is being probed or has no
// pool.
func (w *worker) nextProbe() (time.Duration, bool) {
	if w.health == nil {
		return 0, false
	}
	return w.health.NextProbe()
}

// enableDueProbes refreshes the workers in awaitingProbe whose probe is due, so
// that they become usable for one task, and those that need no probe.
func (m *Machine) enableDueProbes() {
	remaining := m.awaitingProbe[:0]
	for _, w := range m.awaitingProbe {
		until, waits := w.nextProbe()
		if waits && m.now < until {
			remaining = append(remaining, w)
			continue
		}
		m.refreshWorker(w)
	}
	m.awaitingProbe = remaining
}

// queueFences queues the Fence actions that are due.
func (m *Machine) queueFences() {
	remaining := m.fencingWorkers[:0]
	for _, w := range m.fencingWorkers {
		unresolved := w.fencingTasks[:0]
		for _, t := range w.fencingTasks {
			if t.state == fencing && t.worker == w {
				unresolved = append(unresolved, t)
			}
		}
		w.fencingTasks = unresolved
		if len(unresolved) == 0 || w.detached {
			w.fencingTasks = nil
			continue
		}
		remaining = append(remaining, w)
		if m.now >= w.nextFenceAt {
			m.queueFence(w)
		}
	}
	m.fencingWorkers = remaining
}

func (m *Machine) queueFence(w *worker) {
	starts := make([]wire.FencedStart, len(w.fencingTasks))
	for i, t := range w.fencingTasks {
		starts[i] = wire.FencedStart{Credit: t.credit, Task: t.key()}
	}
	w.nextFenceAt = m.now + w.fenceInterval
	w.fenceInterval = min(2*w.fenceInterval, maxFenceInterval)
	m.waste.Fences++
	m.actions = append(m.actions, Fence{Sidecar: w.process, Starts: starts})
}
