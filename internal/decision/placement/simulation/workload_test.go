// Package simulation runs the state machines of several entry instances and
// sidecars against a workload in virtual time, with network delays between them,
// and measures how many jobs are answered in time. It tests admission, placement
// and queueing together.
package simulation

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// JobClass describes jobs of one step each.
type JobClass struct {
	Name string
	Rank int
	// JobsPerSecond is the usual rate of jobs, and Value the mean value of a job that
	// is answered in time.
	JobsPerSecond, Value float64
	// MeanTasks is the mean number of tasks of a job, and MaxTasks the upper bound.
	MeanTasks, MaxTasks int
	// MeanRunTime and MeanMilliCPU are the mean run time of a task and its mean
	// processor need in thousandths of a core.
	MeanRunTime  time.Duration
	MeanMilliCPU int64
	// HotShare is the part of the jobs, 0 to 1, that prefer the first rack. The others prefer
	// any rack, each with the same probability. It needs Workload.Racks.
	HotShare float64
}

// Burst multiplies the job rate of a class by Factor between two times.
type Burst struct {
	Class    string
	From, To time.Duration
	Factor   float64
}

// Workload describes the jobs and the processes of a simulation.
type Workload struct {
	Classes []JobClass
	Bursts  []Burst
	// EntryInstances is the number of entry instances, which get uneven shares of the
	// jobs.
	EntryInstances, Workers int
	// MilliCPU is the usual capacity of a worker. One third of the workers have 1.5
	// times that capacity. Another third, which overlaps with the first, takes
	// SlowFactor times as long for a task.
	MilliCPU   int64
	SlowFactor float64
	// Speeds, if any, are the speeds of the workers in turn, in place of SlowFactor.
	Speeds []float64
	// TailShare is the part of the tasks that take TailFactor times as long as the others.
	TailShare, TailFactor float64
	// Departures are the times at which one worker each stops accepting runs.
	Departures []time.Duration
	// MaxRunTimeFactor bounds the run time of a task as a multiple of the mean of its class,
	// zero for no bound.
	MaxRunTimeFactor float64
	// Placement holds the settings of the entry instances except the zone.
	Placement placement.Config
	// CountFrom and CountUntil bound the submission times of the jobs that the results count. A
	// CountUntil of zero counts all jobs.
	CountFrom, CountUntil time.Duration
	// NetworkDelay is the mean delay of a message between two processes, and
	// HeartbeatInterval the time between two heartbeats of a sidecar.
	NetworkDelay, HeartbeatInterval time.Duration
	// Duration is the time in which jobs arrive.
	Duration time.Duration
	Seed     int64
	// Racks is the number of racks of the same size; zero means that no job prefers one. A
	// task takes RemoteFactor times as long on another rack than the preferred one.
	Racks        int
	RemoteFactor float64
	// LostAt is the time at which the first rack is lost, zero for never.
	LostAt time.Duration
	// DecideWaits is that of the placement machines.
	DecideWaits func(*locality.Job) []locality.Decision
}

// Parameters of the distributions and of the value of an answer. Each sigma is the
// standard deviation of the logarithm.
const (
	jobRunTimeSigma, taskRunTimeSigma, needSigma, taskCountSigma = 0.4, 0.15, 0.2, 0.4
	// declarationSigma describes the error of the declared run times.
	declarationSigma = 0.4
	objective        = 60 * time.Millisecond
	objectiveFactor  = 1.6
	lateFactor       = 3
	timeoutFactor    = 4
	// lateValueFactor is the part of its value that a job earns if it is answered
	// after its objective, but within lateFactor times the objective.
	lateValueFactor = 0.2
)

// ClassResult counts the jobs of a class by the way in which they were answered.
type ClassResult struct {
	Submitted, InTime, Late, Refused, Failed int
	// CPUSeconds is the processor time of the tasks of the jobs in time, at speed 1.
	CPUSeconds float64
	// Runs is the number of run requests to sidecars.
	Runs int
	// AwayRuns is the number of them on another rack than the preferred one. Waits counts
	// the waits for racks by outcome.
	AwayRuns     int
	Waits        map[placement.WaitOutcome]int
	offeredValue float64
	earnedValue  float64
	// responseTime is the sum over the jobs of the time until the answer. A job that was not
	// completed counts with its timeout.
	responseTime time.Duration
}

// MeanResponse returns the mean response time.
func (r *ClassResult) MeanResponse() time.Duration {
	return r.responseTime / time.Duration(max(r.Submitted, 1))
}

// add adds the counts of another result.
func (r *ClassResult) add(o *ClassResult) {
	r.Submitted += o.Submitted
	r.InTime += o.InTime
	r.Late += o.Late
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.CPUSeconds += o.CPUSeconds
	r.offeredValue += o.offeredValue
	r.earnedValue += o.earnedValue
	r.Runs += o.Runs
	r.AwayRuns += o.AwayRuns
	r.responseTime += o.responseTime
}

// ValueShare returns the earned value divided by the value of all submitted jobs,
// 0 to 1.
func (r *ClassResult) ValueShare() float64 { return r.earnedValue / max(r.offeredValue, 1e-9) }

// String returns the result as one line for the test log.
func (r *ClassResult) String() string {
	return fmt.Sprintf("submitted %6d in time %.3f late %.3f refused %.3f failed %.3f value share %.3f runs %d", r.Submitted,
		r.share(r.InTime), r.share(r.Late), r.share(r.Refused), r.share(r.Failed), r.ValueShare(), r.Runs)
}

func (r *ClassResult) share(n int) float64 { return float64(n) / float64(max(r.Submitted, 1)) }

// Results holds the results of a simulation by class and over all classes.
type Results struct {
	Classes map[string]*ClassResult
	All     ClassResult
	// Batches is the number of batches sent to sidecars.
	Batches int
}

// jobSource generates the random jobs of a class.
type jobSource struct {
	*JobClass
	random *rand.Rand
	// jobs is the number of jobs generated so far.
	jobs int
}

// counts reports whether the results count a job submitted at a time.
func (w *Workload) counts(at time.Duration) bool {
	return w.CountUntil == 0 || at >= w.CountFrom && at < w.CountUntil
}

// logNormal returns a random value with a log-normal distribution.
func (s *jobSource) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
}

// scheduleArrival schedules the first arrival of a job of a class after a time.
func (sim *simulator) scheduleArrival(src *jobSource, after time.Duration) {
	rate := src.JobsPerSecond
	for _, b := range sim.workload.Bursts {
		if b.Class == src.Name && after >= b.From && after < b.To {
			rate *= b.Factor
		}
	}
	at := after + time.Duration(src.random.ExpFloat64()/rate*float64(time.Second))
	if at > sim.workload.Duration {
		return
	}
	sim.schedule(at, func() {
		sim.submit(src)
		sim.scheduleArrival(src, at)
	})
}

// submit generates a job and submits it to a random entry instance.
func (sim *simulator) submit(src *jobSource) {
	r := sim.results.Classes[src.Name]
	if !sim.workload.counts(sim.now) {
		r = &ClassResult{}
	}
	r.Submitted++
	src.jobs++
	tasks := min(max(int(src.logNormal(float64(src.MeanTasks), taskCountSigma)+0.5), 1), src.MaxTasks)
	meanRunTime := src.logNormal(src.MeanRunTime.Seconds(), jobRunTimeSigma)
	j := &job{id: fmt.Sprintf("%s-%d", src.Name, src.jobs), result: r, submittedAt: sim.now}
	longest := time.Duration(0)
	for range tasks {
		runTime := time.Duration(src.logNormal(meanRunTime, taskRunTimeSigma) * float64(time.Second))
		if sim.workload.TailShare > 0 && src.random.Float64() < sim.workload.TailShare {
			runTime = time.Duration(sim.workload.TailFactor * float64(runTime))
		}
		if bound := sim.workload.MaxRunTimeFactor; bound > 0 {
			runTime = min(runTime, time.Duration(bound*float64(src.MeanRunTime)))
		}
		j.runTimes = append(j.runTimes, runTime)
		longest = max(longest, runTime)
	}
	need := int64(src.logNormal(float64(src.MeanMilliCPU), needSigma))
	j.cpuSeconds = cpuSeconds(j.runTimes, need)
	j.objective = objective + time.Duration(objectiveFactor*float64(longest))
	const baseValue = 0.3
	size := float64(tasks) * meanRunTime * float64(need) / (float64(src.MeanTasks) * src.MeanRunTime.Seconds() * float64(src.MeanMilliCPU))
	j.value = min(baseValue+(1-baseValue)*size, 4) * src.Value
	r.offeredValue += j.value
	sim.jobs[j.id] = j
	sim.chooseRack(src, j)
	declaredRunTime := time.Duration(meanRunTime * math.Exp(declarationSigma*src.random.NormFloat64()) * float64(time.Second))
	// The square makes the shares of entry instances uneven.
	u := src.random.Float64()
	e := sim.entries[int((0.5*u+0.5*u*u)*float64(len(sim.entries)))]
	e.submit(j, &work.Job{
		ID: j.id, Queue: src.Name, Service: service, Rank: src.Rank, MaxFailedRuns: 3, Objective: objective, ObjectiveFactor: objectiveFactor,
		Timeout: timeoutFactor * j.objective,
		Steps:   []work.Step{{Count: tasks, Need: work.Resources{MilliCPU: need, MemoryMB: 64}, Estimate: declaredRunTime, PreferredRack: j.rack}},
	})
}

// cpuSeconds returns the processor time of tasks with a need in thousandths of a core.
func cpuSeconds(runTimes []time.Duration, need int64) float64 {
	sum := 0.0
	for _, runTime := range runTimes {
		sum += runTime.Seconds()
	}
	return sum * float64(need) / 1000
}
