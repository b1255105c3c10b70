// Package admission decides whether a job is admitted whole or refused whole,
// and when a refused one is worth submitting again.
package admission

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// minRetry and maxRetry bound the retry delay before jitter.
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
	// jitter is the part by which a retry delay varies up and down, so that
	// refused callers don't return at the same time.
	jitter = 0.5
	// drainingRetry is the delay when another entry instance should be tried.
	drainingRetry = minRetry
	// setupRetry is the delay when a configuration or a worker is missing.
	setupRetry = 2 * time.Second
	// longestFactor is the factor by which the longest estimate must exceed
	// the time left before a job counts as infeasible for it alone: half of
	// the tasks of a kind end before the median.
	longestFactor = 2
)

// Job is what is known of a job and of the state it arrives in.
type Job struct {
	// Configured is false before the first document; Draining is true if no
	// new jobs are accepted.
	Configured, Draining bool
	// KnownTeam and KnownKind say whether the resources exist.
	KnownTeam, KnownKind bool
	// LimitZero is true if a limit admits nothing of the class.
	LimitZero bool
	// NeverRuns is true if no worker of the last minutes is large enough for
	// one of the tasks.
	NeverRuns bool
	// NoWorker is true if no worker of the service was known in the last
	// minutes, although the entry instance runs for longer.
	NoWorker bool
	// QueueFull is true if the tasks exceed a queue bound.
	QueueFull bool

	// Deadline is the time until the job must be answered.
	Deadline time.Duration
	// Work is the sum of the tasks' median run times, Longest the largest.
	Work, Longest time.Duration
	// Backlog is the sum of the median run times of the class's waiting tasks.
	Backlog time.Duration
	// Slots is the number of known slots of the service, Share the class's
	// guaranteed part of them, Running the tasks of the class that run now.
	Slots   int
	Share   float64
	Running int
}

// Refusal is why a job is refused; Reason is empty if it is admitted.
type Refusal struct {
	Reason jobapi.Reason
	// Retry is the suggested delay; zero if repeating is of no use.
	Retry   time.Duration
	Message string
}

// Decide admits a job or refuses it.
func Decide(j Job, rnd *rand.Rand) Refusal {
	switch {
	case j.Draining:
		return Refusal{jobapi.ReasonDraining, Jitter(drainingRetry, rnd), "this entry instance is draining; submit to another"}
	case !j.Configured:
		return Refusal{jobapi.ReasonNoConfiguration, Jitter(setupRetry, rnd), "no configuration has been received yet"}
	case !j.KnownTeam:
		return Refusal{jobapi.ReasonUnknownTeam, 0, "the team is not configured"}
	case !j.KnownKind:
		return Refusal{jobapi.ReasonUnknownKind, 0, "the kind is not configured"}
	case j.LimitZero:
		return Refusal{jobapi.ReasonLimitIsZero, 0, "a limit admits no task of this team and kind"}
	case j.NeverRuns:
		return Refusal{jobapi.ReasonNeverRuns, 0, "a task is larger than any known worker of the service"}
	case j.NoWorker:
		return Refusal{jobapi.ReasonNoWorker, Jitter(setupRetry, rnd), "no worker of the service is known"}
	case j.QueueFull:
		return Refusal{jobapi.ReasonQueueFull, Jitter(j.drain(), rnd), "the queue of this team and kind is full"}
	case j.infeasible():
		return Refusal{jobapi.ReasonDeadline, Jitter(j.drain(), rnd), "the waiting work ahead of the job outlasts its deadline"}
	}
	return Refusal{}
}

// slots returns the slots that the class can count on at best: its guaranteed
// share, or what it uses now if that is more.
func (j *Job) slots() float64 {
	return max(j.Share*float64(j.Slots), float64(j.Running), 1)
}

// drain returns the time in which the class's waiting work is done.
func (j *Job) drain() time.Duration {
	return time.Duration(float64(j.Backlog) / j.slots())
}

// infeasible reports whether the job can't end in time even by an optimistic
// estimate. Without known slots nothing is certain: a worker may attach.
func (j *Job) infeasible() bool {
	if j.Slots == 0 {
		return false
	}
	if j.Longest > longestFactor*j.Deadline {
		return true
	}
	return time.Duration(float64(j.Backlog+j.Work)/j.slots()) > j.Deadline
}

// Jitter returns the bounded delay, varied evenly by ±50%.
func Jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	d = min(max(d, minRetry), maxRetry)
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*rnd.Float64()))
}
