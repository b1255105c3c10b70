package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is one job of the workload.
type Arrival struct {
	// At is the time, since the start of the run, at which the caller sends the job.
	At time.Duration
	// Request is the caller's token for the job, unique within the workload.
	Request string
	Team    string
	Kind    string
	// EntryIndex is the index of the entry instance to which the caller sends the
	// job.
	EntryIndex int
	// RunTimes holds the run time of each task.
	RunTimes []time.Duration
	// Flood is true for the jobs that cause the overload.
	Flood bool
}

// TotalRunTime returns the sum of the run times of the tasks.
func (a Arrival) TotalRunTime() time.Duration {
	var sum time.Duration
	for _, r := range a.RunTimes {
		sum += r
	}
	return sum
}

// Spec specifies a workload.
type Spec struct {
	Duration time.Duration
	// Utilization is the share of the slots that the steady jobs occupy on average.
	Utilization float64
	// FloodLoad is the load that the jobs of the flood kind offer between FloodFrom
	// and FloodTo, as a multiple of all slots; zero for no overload.
	FloodLoad          float64
	FloodFrom, FloodTo time.Duration
	// MaxTasks is the maximum number of tasks of a job; zero selects 330.
	MaxTasks int
}

// jobSizes is the distribution of the numbers of tasks of a job. Most jobs are
// small, and few reach the maximum. The numbers within a row are equally likely.
var jobSizes = []struct {
	cumulative float64 // cumulative probability of this row and those before it
	min, max   int
}{{0.60, 1, 1}, {0.85, 2, 8}, {0.97, 9, 40}, {1, 41, 330}}

// Generate returns the jobs of a workload, ordered by arrival time. The same seed
// and spec give the same workload. For every seed, the total run time of the jobs
// gives the specified utilization: jobs are generated until they reach it, and their
// arrival times are then scaled to the duration.
func Generate(d Deployment, s Spec, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	var steady []KindLoad
	var flood KindLoad
	for _, k := range d.Kinds {
		if k.ArrivalWeight > 0 {
			steady = append(steady, k)
		}
		if k.Name == d.FloodKind {
			flood = k
		}
	}
	work := s.Utilization * float64(d.TotalSlots()) * float64(s.Duration)
	all := d.arrivals(rng, s, steady, work, 0, s.Duration, "s")
	if s.FloodLoad > 0 {
		work = s.FloodLoad * float64(d.TotalSlots()) * float64(s.FloodTo-s.FloodFrom)
		floodJobs := d.arrivals(rand.New(rand.NewPCG(seed, 2)), s, []KindLoad{flood}, work, s.FloodFrom, s.FloodTo, "f")
		for i := range floodJobs {
			floodJobs[i].Flood = true
		}
		all = append(all, floodJobs...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// arrivals generates jobs until their total run time reaches work, in nanoseconds,
// and distributes their arrivals over the interval as a Poisson process.
func (d Deployment) arrivals(rng *rand.Rand, s Spec, kinds []KindLoad, work float64, from, to time.Duration, prefix string) []Arrival {
	var jobs []Arrival
	var arrivalTimes []float64
	var elapsed float64
	for work > 0 {
		k := drawKind(rng, kinds)
		a := Arrival{
			Request: fmt.Sprintf("%s%d", prefix, len(jobs)),
			Team:    d.Teams[rng.IntN(len(d.Teams))], Kind: k.Name, EntryIndex: rng.IntN(d.Entries),
		}
		for n := drawJobSize(rng, s.MaxTasks); n > 0 && work > 0; n-- {
			runTime := k.drawRunTime(rng)
			a.RunTimes = append(a.RunTimes, runTime)
			work -= float64(runTime)
		}
		elapsed += rng.ExpFloat64()
		arrivalTimes = append(arrivalTimes, elapsed)
		jobs = append(jobs, a)
	}
	end := elapsed + rng.ExpFloat64()
	for i := range jobs {
		jobs[i].At = from + time.Duration(arrivalTimes[i]/end*float64(to-from))
	}
	return jobs
}

// drawKind draws a kind by the arrival weights.
func drawKind(rng *rand.Rand, kinds []KindLoad) KindLoad {
	var sum float64
	for _, k := range kinds {
		sum += k.ArrivalWeight
	}
	x := rng.Float64() * sum
	for _, k := range kinds {
		if x -= k.ArrivalWeight; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

// drawJobSize draws the number of tasks of a job, at most maxTasks if that is set.
func drawJobSize(rng *rand.Rand, maxTasks int) int {
	x := rng.Float64()
	for _, s := range jobSizes {
		if x < s.cumulative {
			n := s.min + rng.IntN(s.max-s.min+1)
			if maxTasks > 0 {
				n = min(n, maxTasks)
			}
			return n
		}
	}
	return 1
}

// drawRunTime draws the run time of one task.
func (k KindLoad) drawRunTime(rng *rand.Rand) time.Duration {
	if rng.Float64() < k.SlowShare {
		return minSlowRun + time.Duration(rng.Int64N(int64(maxSlowRun-minSlowRun)))
	}
	ratio := math.Pow(float64(k.MaxRunTime)/float64(k.MinRunTime), rng.Float64())
	return time.Duration(float64(k.MinRunTime) * ratio).Truncate(time.Microsecond)
}

// meanRunTime returns the expected run time of a task.
func (k KindLoad) meanRunTime() time.Duration {
	fast := float64(k.MaxRunTime-k.MinRunTime) / math.Log(float64(k.MaxRunTime)/float64(k.MinRunTime))
	slow := float64(minSlowRun+maxSlowRun) / 2
	return time.Duration((1-k.SlowShare)*fast + k.SlowShare*slow)
}
