// Package simulation plays a load in virtual time against the decisions of several
// entry instances and sidecars, with the delays of a network between them, and
// tells what callers got. It is for tests of queueing, refusing and placing.
package simulation

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Class is a kind of job of one step.
type Class struct {
	Name string
	Rank int
	// PerSecond is the usual rate of jobs, and Worth what one in time is worth.
	PerSecond, Worth float64
	// Width is the mean number of tasks, and MaxWidth bounds it.
	Width, MaxWidth int
	// Run is the mean run time, and MilliCPU the mean need of a task.
	Run      time.Duration
	MilliCPU int64
}

// Burst raises the rate of one class for a while.
type Burst struct {
	Class    string
	From, To time.Duration
	Factor   float64
}

// Load is what is played.
type Load struct {
	Classes []Class
	Bursts  []Burst
	// Entries is the number of entry instances, which get uneven shares.
	Entries, Workers int
	// MilliCPU is the usual capacity of a worker; each third one has half as much
	// again. Another third, some of them large, takes SlowBy times as long.
	MilliCPU int64
	SlowBy   float64
	// Delay is the time on the way between two processes, and Beat the time
	// between two heartbeats of a sidecar.
	Delay, Beat time.Duration
	Length      time.Duration
	Seed        int64
}

// Distributions of the load.
const (
	runSpread, taskSpread, needSpread, widthSpread = 0.4, 0.15, 0.2, 0.4
	// declaredFault is how far declared run times are off.
	declaredFault   = 0.4
	objective       = 60 * time.Millisecond
	objectiveFactor = 1.6
	lateFactor      = 3
	// lateWorth is the worth of a late answer.
	lateWorth = 0.2
)

// Result is what the callers of a class got.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	// Starts counts the runs that were sent to sidecars.
	Starts int
	owed   float64
	earned float64
}

// Worth returns what was earned of what was owed, 0 to 1.
func (r *Result) Worth() float64 { return r.earned / max(r.owed, 1e-9) }

// String is a row of figures.
func (r *Result) String() string {
	return fmt.Sprintf("asked %6d in time %.3f late %.3f refused %.3f failed %.3f worth %.3f starts %d", r.Asked,
		r.part(r.InTime), r.part(r.Late), r.part(r.Refused), r.part(r.Failed), r.Worth(), r.Starts)
}

func (r *Result) part(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }

// Outcome is what callers got, by class and in all.
type Outcome struct {
	Classes map[string]*Result
	All     Result
	// Batches counts the messages to sidecars.
	Batches int
}

// source draws the jobs of a class.
type source struct {
	*Class
	rnd *rand.Rand
}

// spread draws a value with a logarithmic normal distribution.
func (s *source) spread(mean, spread float64) float64 {
	return mean * math.Exp(spread*s.rnd.NormFloat64()-spread*spread/2)
}

// arrive plans the next job of a class after a time.
func (p *player) arrive(c *source, after time.Duration) {
	rate := c.PerSecond
	for _, b := range p.load.Bursts {
		if b.Class == c.Name && after >= b.From && after < b.To {
			rate *= b.Factor
		}
	}
	at := after + time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second))
	if at > p.load.Length {
		return
	}
	p.at(at, func() {
		p.submit(c)
		p.arrive(c, at)
	})
}

func (p *player) submit(c *source) {
	r := p.out.Classes[c.Name]
	r.Asked++
	width := min(max(int(c.spread(float64(c.Width), widthSpread)+0.5), 1), c.MaxWidth)
	mean := c.spread(c.Run.Seconds(), runSpread)
	j := &job{id: fmt.Sprintf("%s-%d", c.Name, r.Asked), result: r, begun: p.now}
	longest := time.Duration(0)
	for range width {
		run := time.Duration(c.spread(mean, taskSpread) * float64(time.Second))
		j.runs = append(j.runs, run)
		longest = max(longest, run)
	}
	need := int64(c.spread(float64(c.MilliCPU), needSpread))
	j.objective = objective + time.Duration(objectiveFactor*float64(longest))
	const base = 0.3
	size := float64(width) * mean * float64(need) / (float64(c.Width) * c.Run.Seconds() * float64(c.MilliCPU))
	j.worth = min(base+(1-base)*size, 4) * c.Worth
	r.owed += j.worth
	p.jobs[j.id] = j
	declared := time.Duration(mean * math.Exp(declaredFault*c.rnd.NormFloat64()) * float64(time.Second))
	// The square makes the shares of entry instances uneven.
	u := c.rnd.Float64()
	e := p.entries[int((0.5*u+0.5*u*u)*float64(len(p.entries)))]
	e.submit(j, &work.Job{
		ID: j.id, Queue: c.Name, Service: service, Rank: c.Rank, MaxFailedRuns: 3, Objective: objective, ObjectiveFactor: objectiveFactor,
		Timeout: 4 * j.objective,
		Steps:   []work.Step{{Count: width, Need: work.Resources{MilliCPU: need, MemoryMB: 64}, Estimate: declared}},
	})
}
