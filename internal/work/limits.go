package work

import "time"

// Limits of a job. They bound the memory and the time that one request can use, and
// keep sums and products of the declared amounts within an int64.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 330
	// MaxPayloadBytes bounds the payload, so that a batch with all tasks of a job fits
	// into one internal message.
	MaxPayloadBytes = 8 << 10
	// MaxLabelBytes bounds the names of labels and racks.
	MaxLabelBytes = 256
	// MaxEstimate bounds the declared run time of a task.
	MaxEstimate = 24 * time.Hour
	// MaxTimeout bounds the time for which a caller waits for the answer.
	MaxTimeout = 24 * time.Hour
	// MaxAmount bounds the amount of each resource.
	MaxAmount = int64(1) << 31
)

// Check returns the reason for which the job can't run anywhere, and ReasonNone if
// there is none. Its time and memory don't grow with the number of tasks.
func (j *Job) Check() Reason {
	if len(j.Steps) == 0 {
		return ReasonMalformed
	}
	if len(j.Steps) > MaxTasks || len(j.Payload) > MaxPayloadBytes {
		return ReasonTooLarge
	}
	tasks := 0
	for i := range j.Steps {
		step := &j.Steps[i]
		if reason := step.check(i); reason != ReasonNone {
			return reason
		}
		if tasks += min(step.Count, MaxTasks+1); tasks > MaxTasks {
			return ReasonTooLarge
		}
	}
	return ReasonNone
}

// check checks one step, which has the given index.
func (s *Step) check(index int) Reason {
	if s.Count <= 0 || s.MaxPerWorker < 0 || s.Estimate < 0 || s.Need.anyBelowZero() {
		return ReasonMalformed
	}
	// Each earlier step is named once at most.
	if len(s.DependsOn) > index || len(s.RequiredLabel) > MaxLabelBytes || len(s.PreferredRack) > MaxLabelBytes {
		return ReasonMalformed
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= index {
			return ReasonMalformed
		}
	}
	if max(s.Need.MilliCPU, s.Need.MemoryMB, s.Need.Accelerators) > MaxAmount {
		return ReasonNeverFits
	}
	return ReasonNone
}

// anyBelowZero reports whether an amount is negative.
func (a Resources) anyBelowZero() bool { return min(a.MilliCPU, a.MemoryMB, a.Accelerators) < 0 }

// Valid reports whether each amount is between 0 and MaxAmount, so that sums and products
// with run times fit into an int64.
func (a Resources) Valid() bool {
	return !a.anyBelowZero() && max(a.MilliCPU, a.MemoryMB, a.Accelerators) <= MaxAmount
}
