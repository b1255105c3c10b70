package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// fenceGap is the first, maxFenceGap the longest time between two Fence
	// actions for the same dispatches.
	fenceGap    = 100 * time.Millisecond
	maxFenceGap = 2 * time.Second
	// limitGap is the time between two tries to start tasks of limited classes.
	limitGap = 5 * time.Millisecond
)

// Tick handles deadlines, credit expiry, probes, repeated fences and limited
// classes. Call it every 5 ms or at Next.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	m.expireJobs()
	m.endHeld()
	m.dropOld()
	m.probeDue()
	for _, p := range m.pools {
		if len(p.bound) > 0 {
			m.touch(p)
		}
	}
	if m.limited {
		m.limited = false
		m.touchAll()
	}
}

// Next returns when Tick is due at the latest; ok is false if nothing waits
// for time.
func (m *Machine) Next() (at time.Duration, ok bool) {
	next := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	if len(m.deadlines) > 0 {
		next(m.deadlines[0].deadline)
	}
	if len(m.held) > 0 {
		next(m.held[0].until)
	}
	if len(m.workers) > 0 {
		next(m.sweep)
	}
	for _, w := range m.ejected {
		if until, due := w.due(); due {
			next(until)
		}
	}
	for _, w := range m.fencing {
		next(w.fenceAt)
	}
	if m.limited {
		next(m.now + limitGap)
	}
	return at, ok
}

// watchProbe makes Tick look for the time of the worker's next probe.
func (m *Machine) watchProbe(w *worker) {
	for _, o := range m.ejected {
		if o == w {
			return
		}
	}
	m.ejected = append(m.ejected, w)
}

// due returns when an ejected worker may be probed; ok is false if it is not
// ejected, is being probed or has no pool.
func (w *worker) due() (time.Duration, bool) {
	if w.health == nil {
		return 0, false
	}
	return w.health.NextProbe()
}

// probeDue makes ejected workers usable for a probe when their time has come.
func (m *Machine) probeDue() {
	keep := m.ejected[:0]
	for _, w := range m.ejected {
		until, waits := w.due()
		if waits && m.now < until {
			keep = append(keep, w)
			continue
		}
		m.refresh(w)
	}
	m.ejected = keep
}

// fence queues the Fence actions that are due.
func (m *Machine) fence() {
	keep := m.fencing[:0]
	for _, w := range m.fencing {
		open := w.fenced[:0]
		for _, t := range w.fenced {
			if t.state == fencing && t.worker == w {
				open = append(open, t)
			}
		}
		w.fenced = open
		if len(open) == 0 || w.gone {
			w.fenced = nil
			continue
		}
		keep = append(keep, w)
		if m.now >= w.fenceAt {
			m.sendFence(w)
		}
	}
	m.fencing = keep
}

func (m *Machine) sendFence(w *worker) {
	starts := make([]wire.FencedStart, len(w.fenced))
	for i, t := range w.fenced {
		starts[i] = wire.FencedStart{Credit: t.credit, Task: t.key()}
	}
	w.fenceAt = m.now + w.fenceGap
	w.fenceGap = min(2*w.fenceGap, maxFenceGap)
	m.waste.Fences++
	m.out = append(m.out, Fence{Sidecar: w.proc, Starts: starts})
}
