package evacuation

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// rampSteps is the number of steps in which the capacity of a worker grows after an
	// evacuation, each as large as the first, and stepTime the time between two of them. Caches
	// and pools of a worker that did nothing are cold.
	rampSteps = 8
	stepTime  = 500 * time.Millisecond
)

// Ramp limits the capacity of a worker for a few seconds after an evacuation. The zero Ramp limits
// nothing. The parameter now of its methods is a time that all calls measure from the same origin.
type Ramp struct {
	startedAt time.Duration
	growing   bool
}

// Start begins the ramp at its first step.
func (r *Ramp) Start(now time.Duration) { *r = Ramp{startedAt: now, growing: true} }

// Stop ends the ramp.
func (r *Ramp) Stop() { *r = Ramp{} }

// step returns the number of steps that have been reached, at most rampSteps.
func (r *Ramp) step(now time.Duration) int64 {
	if !r.growing {
		return rampSteps
	}
	return min(int64(max(now-r.startedAt, 0)/stepTime)+1, rampSteps)
}

// Limit returns the part of a capacity that may be in use. It rounds up, so that a single
// accelerator is usable from the first step.
func (r *Ramp) Limit(now time.Duration, capacity work.Resources) work.Resources {
	step := r.step(now)
	if step == rampSteps {
		return capacity
	}
	part := func(amount int64) int64 { return (amount*step + rampSteps - 1) / rampSteps }
	return work.Resources{MilliCPU: part(capacity.MilliCPU), MemoryMB: part(capacity.MemoryMB), Accelerators: part(capacity.Accelerators)}
}

// Remaining returns the time until the whole capacity may be in use.
func (r *Ramp) Remaining(now time.Duration) time.Duration {
	if r.step(now) == rampSteps {
		return 0
	}
	return r.startedAt + (rampSteps-1)*stepTime - now
}

// NextStep returns the time of the next step, zero if there is none.
func (r *Ramp) NextStep(now time.Duration) time.Duration {
	step := r.step(now)
	if step == rampSteps {
		return 0
	}
	return r.startedAt + time.Duration(step)*stepTime
}
