package load

import (
	"math/rand/v2"
	"slices"
	"time"
)

// IdealResponseTimes returns the response time of each job under a central
// work-conserving queue, which serves the jobs in order of arrival and the longest
// task of a job first. The queue knows the state of all slots without messages. The
// response times include only the delays that every system has: between the caller
// and its entry instance, and between the zones of that entry instance and of the
// worker. The jobs must be ordered by arrival time.
func IdealResponseTimes(d Deployment, jobs []Arrival) []time.Duration {
	return schedule(d, jobs, func() (int, int) { return 0, d.TotalSlots() })
}

// BaselineResponseTimes returns the response time of each job under random push:
// each task is sent at once to a random worker and waits in the FIFO queue of that
// worker. The times are simulated for the given jobs, not measured.
func BaselineResponseTimes(d Deployment, jobs []Arrival, seed uint64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, 3))
	return schedule(d, jobs, func() (int, int) {
		w := rng.IntN(d.Workers)
		return w * d.SlotsPerWorker, (w + 1) * d.SlotsPerWorker
	})
}

// schedule returns the response time of each job. For each task, candidates returns
// the first of the slots that may run the task and the slot after the last one. The
// task runs on the slot among them on which it can start first.
func schedule(d Deployment, jobs []Arrival, candidates func() (int, int)) []time.Duration {
	freeAt := make([]time.Duration, d.TotalSlots())
	responseTimes := make([]time.Duration, len(jobs))
	for i, a := range jobs {
		ready := a.At + d.ClientDelay
		runTimes := slices.Clone(a.RunTimes)
		slices.SortFunc(runTimes, func(x, y time.Duration) int { return int(y - x) })
		for _, runTime := range runTimes {
			from, to := candidates()
			chosen, start := from, time.Duration(-1)
			for s := from; s < to; s++ {
				at := max(freeAt[s], ready+d.OneWayDelay(a.EntryIndex, s/d.SlotsPerWorker))
				if start < 0 || at < start {
					chosen, start = s, at
				}
			}
			freeAt[chosen] = start + runTime
			end := freeAt[chosen] + d.OneWayDelay(a.EntryIndex, chosen/d.SlotsPerWorker) + d.ClientDelay
			responseTimes[i] = max(responseTimes[i], end-a.At)
		}
	}
	return responseTimes
}
