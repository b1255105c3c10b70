package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// ReasonEvacuated is the reason for which a run is returned while the worker's zone is evacuated.
const ReasonEvacuated = "the zone is evacuated"

// SetEvacuated sets whether the worker's zone is evacuated. During the evacuation, the queued runs
// and all new ones are returned to their owners, and the active ones go on. After it, the worker's
// capacity is limited for some time, because the worker may be cold.
func (m *Machine) SetEvacuated(now time.Duration, evacuated bool) {
	if m.evacuated == evacuated {
		return
	}
	m.evacuated = evacuated
	if evacuated {
		m.ramp.Stop()
	} else {
		m.ramp.Start(now)
	}
	m.startOrReturnQueued(now)
}

// fits reports whether a run may start beside the active ones. While the capacity is limited, a
// worker without active runs may start any single run that fits into its whole capacity, so that
// a large one is not returned in the meantime.
func (m *Machine) fits(now time.Duration, need work.Resources) bool {
	if m.used == (work.Resources{}) {
		return need.FitsIn(m.worker.Capacity)
	}
	return m.used.Add(need).FitsIn(m.ramp.Limit(now, m.worker.Capacity))
}

// withheldWork returns the capacity beyond the limit that no run holds, as remaining work in thousandths
// of a core times milliseconds. It becomes free evenly until the limit ends, so that its mean
// remaining time is half of that. Entry instances estimate their waits by it.
func (m *Machine) withheldWork(now time.Duration) int64 {
	limit := m.ramp.Limit(now, m.worker.Capacity)
	withheld := max(m.worker.Capacity.MilliCPU-max(limit.MilliCPU, m.used.MilliCPU), 0)
	return withheld * m.ramp.Remaining(now).Milliseconds() / 2
}
