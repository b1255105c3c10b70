package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// SetEvacuation sets the zones whose workers get no runs. The caller compares the revisions. Runs
// that are at these workers go on; the sidecars return those that have not started.
func (m *Machine) SetEvacuation(now time.Duration, state evacuation.State) {
	m.checkContacts(now)
	m.evacuation = state
	for _, w := range m.workers {
		w.evacuated = !state.Allows(w.info.Sidecar.Zone)
	}
	m.retryWaiting(now)
}

// usable reports whether the worker can be given runs. It gets none while its newest load summary
// belongs to a description that no heartbeat has brought yet, or while its zone is evacuated.
func (w *worker) usable() bool {
	return w.load.AcceptsRuns && w.load.Description == w.description && !w.evacuated && !w.unreachable && !w.unresponsive && w.pool != nil
}

// hasUsableWorker reports whether any worker of the pool is usable.
func (p *pool) hasUsableWorker() bool {
	for _, w := range p.workers {
		if w.usable() {
			return true
		}
	}
	return false
}

// canFit reports whether each task of a job is within maxCapacity.
func (p *pool) canFit(spec *work.Job) bool {
	for _, s := range spec.Steps {
		if !s.Need.FitsIn(p.maxCapacity) {
			return false
		}
	}
	return true
}
