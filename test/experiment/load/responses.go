package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Ideal returns the response time of each job under a central work-conserving
// queue that serves jobs in order of arrival and the longest task of a job
// first. It knows all slots without messages; only the delays that no system
// could avoid are added: between the caller and its entry instance, and
// between the zones of that entry instance and of the worker. Arrivals must
// be ordered by time.
func Ideal(d Deployment, jobs []Arrival) []time.Duration {
	return schedule(d, jobs, func() (int, int) { return 0, d.TotalSlots() })
}

// Baseline returns the response times under random push: each task goes to a
// random worker at once and waits in that worker's FIFO queue. It is computed
// by event time on the same arrivals, not measured.
func Baseline(d Deployment, jobs []Arrival, seed uint64) []time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 3))
	return schedule(d, jobs, func() (int, int) {
		w := rnd.IntN(d.Workers)
		return w * d.Slots, (w + 1) * d.Slots
	})
}

// schedule starts each task on the slot of a range that can run it first.
func schedule(d Deployment, jobs []Arrival, slots func() (int, int)) []time.Duration {
	free := make([]time.Duration, d.TotalSlots())
	responses := make([]time.Duration, len(jobs))
	for i, a := range jobs {
		ready := a.At + d.ClientDelay
		runs := slices.Clone(a.Runs)
		slices.SortFunc(runs, func(x, y time.Duration) int { return int(y - x) })
		for _, run := range runs {
			from, to := slots()
			best, start := from, time.Duration(-1)
			for s := from; s < to; s++ {
				at := max(free[s], ready+d.ZoneToZone(a.Entry, s/d.Slots))
				if start < 0 || at < start {
					best, start = s, at
				}
			}
			free[best] = start + run
			end := free[best] + d.ZoneToZone(a.Entry, best/d.Slots) + d.ClientDelay
			responses[i] = max(responses[i], end-a.At)
		}
	}
	return responses
}
