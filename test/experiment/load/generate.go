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
	// At is when the caller sends the job, from the start of the run.
	At time.Duration
	// Request is unique within the workload.
	Request string
	Team    string
	Kind    string
	// Entry is the entry instance that the caller uses.
	Entry int
	// Runs are the run times of the tasks.
	Runs []time.Duration
	// Flood is true for jobs of the overload.
	Flood bool
}

// Work is the sum of the run times.
func (a Arrival) Work() time.Duration {
	var sum time.Duration
	for _, r := range a.Runs {
		sum += r
	}
	return sum
}

// Spec selects a workload.
type Spec struct {
	Duration time.Duration
	// Fraction of the slots that the steady work occupies on average.
	Fraction float64
	// Flood is the offered load of the flood kind as a multiple of all slots
	// between FloodFrom and FloodTo; zero for none.
	Flood              float64
	FloodFrom, FloodTo time.Duration
	// MaxTasks bounds the job sizes; zero selects 330.
	MaxTasks int
}

// sizes of jobs: most are small, few reach the maximum.
var sizes = []struct {
	upTo     float64 // cumulative probability
	min, max int
}{{0.60, 1, 1}, {0.85, 2, 8}, {0.97, 9, 40}, {1, 41, 330}}

// Generate returns a workload, ordered by arrival. The same seed and spec
// give the same workload. The arrival times are stretched so that the work
// amounts to the wanted fraction exactly, whatever the seed.
func Generate(d Deployment, s Spec, seed uint64) []Arrival {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var steady []KindLoad
	var flood KindLoad
	for _, k := range d.Kinds {
		if k.Share > 0 {
			steady = append(steady, k)
		}
		if k.Name == d.FloodKind {
			flood = k
		}
	}
	work := s.Fraction * float64(d.TotalSlots()) * float64(s.Duration)
	list := d.arrivals(rnd, s, steady, work, 0, s.Duration, "s")
	if s.Flood > 0 {
		work = s.Flood * float64(d.TotalSlots()) * float64(s.FloodTo-s.FloodFrom)
		jobs := d.arrivals(rand.New(rand.NewPCG(seed, 2)), s, []KindLoad{flood}, work, s.FloodFrom, s.FloodTo, "f")
		for i := range jobs {
			jobs[i].Flood = true
		}
		list = append(list, jobs...)
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return int(a.At - b.At) })
	return list
}

// arrivals generates jobs until their work is used up and spreads them as a
// Poisson process over the interval.
func (d Deployment) arrivals(rnd *rand.Rand, s Spec, kinds []KindLoad, work float64, from, to time.Duration, prefix string) []Arrival {
	var list []Arrival
	var gaps []float64
	var clock float64
	for work > 0 {
		k := pickKind(rnd, kinds)
		a := Arrival{
			Request: fmt.Sprintf("%s%d", prefix, len(list)),
			Team:    d.Teams[rnd.IntN(len(d.Teams))], Kind: k.Name, Entry: rnd.IntN(d.Entries),
		}
		for n := jobSize(rnd, s.MaxTasks); n > 0 && work > 0; n-- {
			run := k.run(rnd)
			a.Runs = append(a.Runs, run)
			work -= float64(run)
		}
		clock += rnd.ExpFloat64()
		gaps = append(gaps, clock)
		list = append(list, a)
	}
	end := clock + rnd.ExpFloat64()
	for i := range list {
		list[i].At = from + time.Duration(gaps[i]/end*float64(to-from))
	}
	return list
}

func pickKind(rnd *rand.Rand, kinds []KindLoad) KindLoad {
	var sum float64
	for _, k := range kinds {
		sum += k.Share
	}
	x := rnd.Float64() * sum
	for _, k := range kinds {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func jobSize(rnd *rand.Rand, limit int) int {
	x := rnd.Float64()
	for _, s := range sizes {
		if x < s.upTo {
			n := s.min + rnd.IntN(s.max-s.min+1)
			if limit > 0 {
				n = min(n, limit)
			}
			return n
		}
	}
	return 1
}

func (k KindLoad) run(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < k.SlowShare {
		return slowMin + time.Duration(rnd.Int64N(int64(slowMax-slowMin)))
	}
	ratio := math.Pow(float64(k.MaxRun)/float64(k.MinRun), rnd.Float64())
	return time.Duration(float64(k.MinRun) * ratio).Truncate(time.Microsecond)
}

// meanRun is the expected run time.
func (k KindLoad) meanRun() time.Duration {
	fast := float64(k.MaxRun-k.MinRun) / math.Log(float64(k.MaxRun)/float64(k.MinRun))
	slow := float64(slowMin+slowMax) / 2
	return time.Duration((1-k.SlowShare)*fast + k.SlowShare*slow)
}
