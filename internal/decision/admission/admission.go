// Package admission decides whether a job is admitted or refused as a whole, and
// after which delay a refused job may be submitted again.
package admission

import (
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// minRetryDelay and maxRetryDelay bound the retry delay before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// jitterFraction is the fraction by which a retry delay is randomly
	// lengthened or shortened, so that refused callers don't retry at the same
	// time.
	jitterFraction = 0.5
	// drainingRetryDelay is the delay while this entry instance is draining and
	// the caller should try another one.
	drainingRetryDelay = minRetryDelay
	// setupRetryDelay is the delay while there is no configuration or no worker.
	setupRetryDelay = 2 * time.Second
	// longestTaskFactor is the factor by which the longest estimated run time
	// must exceed the time to the deadline for a job to be infeasible because of
	// that task alone. It is above 1 because the estimate is a median: half of
	// the tasks of a kind end earlier.
	longestTaskFactor = 2
)

// Job describes a job and the state of the entry instance at its arrival.
type Job struct {
	// Configured is false until the first configuration document is received.
	// Draining is true if no new jobs are accepted.
	Configured, Draining bool
	// KnownTeam and KnownKind report whether the team and the kind of the job
	// are configured.
	KnownTeam, KnownKind bool
	// LimitZero is true if a limit or quota admits no task of the class.
	LimitZero bool
	// NeverRuns is true if one of the tasks is too large for every worker known in
	// the last minutes.
	NeverRuns bool
	// NoWorker is true if the entry instance has been running for some minutes
	// and has known no worker of the service in that time.
	NoWorker bool
	// QueueFull is true if the tasks of the job would exceed a queue limit.
	QueueFull bool

	// TimeToDeadline is the time left until the job must be answered.
	TimeToDeadline time.Duration
	// TotalRunTime is the sum of the estimated median run times of the job's
	// tasks, LongestRunTime the largest of them.
	TotalRunTime, LongestRunTime time.Duration
	// Backlog is the sum of the estimated median run times of the class's
	// waiting tasks.
	Backlog time.Duration
	// ServiceSlots is the number of known slots of the service. GuaranteedShare
	// is the part of them, from 0 to 1, that the class is guaranteed.
	// RunningTasks is the number of running tasks of the class.
	ServiceSlots    int
	GuaranteedShare float64
	RunningTasks    int
}

// Refusal states why a job is refused. Reason is empty if the job is admitted.
type Refusal struct {
	Reason jobapi.Reason
	// RetryAfter is the suggested delay before the next attempt. It is zero if a
	// repeated attempt can't succeed.
	RetryAfter time.Duration
	Message    string
}

// Decide decides whether a job is admitted. It returns the zero Refusal if so.
func Decide(j Job, rnd *rand.Rand) Refusal {
	switch {
	case j.Draining:
		return Refusal{jobapi.ReasonDraining, jitteredDelay(drainingRetryDelay, rnd), "this entry instance is draining; submit to another"}
	case !j.Configured:
		return Refusal{jobapi.ReasonNoConfiguration, jitteredDelay(setupRetryDelay, rnd), "no configuration has been received yet"}
	case !j.KnownTeam:
		return Refusal{jobapi.ReasonUnknownTeam, 0, "the team is not configured"}
	case !j.KnownKind:
		return Refusal{jobapi.ReasonUnknownKind, 0, "the kind is not configured"}
	case j.LimitZero:
		return Refusal{jobapi.ReasonLimitIsZero, 0, "a limit admits no task of this team and kind"}
	case j.NeverRuns:
		return Refusal{jobapi.ReasonNeverRuns, 0, "a task is larger than any known worker of the service"}
	case j.NoWorker:
		return Refusal{jobapi.ReasonNoWorker, jitteredDelay(setupRetryDelay, rnd), "no worker of the service is known"}
	case j.QueueFull:
		return Refusal{jobapi.ReasonQueueFull, jitteredDelay(j.backlogTime(), rnd), "the queue of this team and kind is full"}
	case j.infeasible():
		return Refusal{jobapi.ReasonDeadline, jitteredDelay(j.backlogTime(), rnd), "the job and the work waiting ahead of it can't finish before its deadline"}
	}
	return Refusal{}
}

// usableSlots returns an optimistic estimate of the slots available to the
// class: its guaranteed slots or its running tasks, whichever is more.
func (j *Job) usableSlots() float64 {
	return max(j.GuaranteedShare*float64(j.ServiceSlots), float64(j.RunningTasks), 1)
}

// backlogTime returns the time to run the class's waiting tasks on its usable
// slots.
func (j *Job) backlogTime() time.Duration {
	return time.Duration(float64(j.Backlog) / j.usableSlots())
}

// infeasible reports whether the job can't finish before its deadline even by an
// optimistic estimate. It returns false without known slots, because a worker
// may still attach.
func (j *Job) infeasible() bool {
	if j.ServiceSlots == 0 {
		return false
	}
	if j.LongestRunTime > longestTaskFactor*j.TimeToDeadline {
		return true
	}
	return time.Duration(float64(j.Backlog+j.TotalRunTime)/j.usableSlots()) > j.TimeToDeadline
}

// jitteredDelay bounds the delay by minRetryDelay and maxRetryDelay and then
// applies a uniformly distributed jitter of ±50%.
func jitteredDelay(d time.Duration, rnd *rand.Rand) time.Duration {
	d = min(max(d, minRetryDelay), maxRetryDelay)
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rnd.Float64()))
}
