package placement

import "time"

const (
	// delaySampleWeight is the weight of a new sample in the average of the delays.
	delaySampleWeight = 1.0 / 64
	// maxDelaySample bounds a sample, so that a paused sidecar counts little.
	maxDelaySample = 100 * time.Millisecond
	// maxAdaptedRandomCost bounds the random cost. A larger one sends tasks to workers
	// on which they wait or run much longer than on the best one.
	maxAdaptedRandomCost = 60 * time.Millisecond
	// randomCostPerDelay is the random cost as a multiple of the delay.
	randomCostPerDelay = 2
	// maxReturnTime is the time that the returns of a task may take before its next run waits
	// in the queue of its worker.
	maxReturnTime = 45 * time.Millisecond
)

// batchDelay is the moving average of the time from a run's placement to the first load summary
// that includes the run. It is zero before the first sample.
//
// If it is long, entry instances choose the same few workers, and the tasks of an urgent job are
// returned until it is late. Config.AdaptToDelay therefore makes the spread of the choices grow with
// it, and the number of returns fall.
type batchDelay struct{ average time.Duration }

func (d *batchDelay) observe(sample time.Duration) {
	sample = min(max(sample, 0), maxDelaySample)
	if d.average == 0 {
		d.average = sample
		return
	}
	d.average += time.Duration(delaySampleWeight * float64(sample-d.average))
}

// randomCostBound returns the upper bound of the random cost of a worker.
func (m *Machine) randomCostBound() time.Duration {
	if !m.cfg.AdaptToDelay {
		return maxRandomCost
	}
	return min(max(randomCostPerDelay*m.delay.average, maxRandomCost), maxAdaptedRandomCost)
}

// noRoomEndsBeforeWait returns the number of runs of a task that end with work.NoRoom before the
// next one waits in the queue of its worker, 1 to maxNoRoomEnds.
func (m *Machine) noRoomEndsBeforeWait() int {
	if !m.cfg.AdaptToDelay || m.delay.average == 0 {
		return maxNoRoomEnds
	}
	return int(min(max(maxReturnTime/m.delay.average, 1), maxNoRoomEnds))
}

// PlacementDelay returns the average time from the placement of a run to the arrival of the first
// load summary that includes it, zero before the first one.
func (m *Machine) PlacementDelay() time.Duration { return m.delay.average }
