package placement

import "time"

// minFreeShare is the part of the processor capacity of all candidates that has to be free for a
// second plan of an inadmissible job. With less, a job that needs one would make others late.
const minFreeShare = 0.25

// reconsider returns a second plan for a job whose plan is not admissible, if that one is and much
// of the capacity is free. The first plan may wait for a fast worker although a slower one has free
// capacity, if the task is expected to end earlier so. Admission counts the wait with waitMargin,
// and so does the second plan.
func (m *Machine) reconsider(now time.Duration, j *job, p plan, candidates []*worker) plan {
	factor := waitMargin(j.spec.Rank, len(candidates))
	if p.admissible || factor == 1 || freeShare(candidates) < minFreeShare {
		return p
	}
	if second := m.planAmong(now, j, p.tasks, candidates, factor); second.admissible {
		return second
	}
	return p
}

// freeShare returns the free part of the processor capacity of workers, 0 to 1.
func freeShare(workers []*worker) float64 {
	free, capacity := int64(0), int64(0)
	for _, w := range workers {
		free += w.load.Free.MilliCPU
		capacity += w.load.Capacity.MilliCPU
	}
	return float64(free) / float64(max(capacity, 1))
}
