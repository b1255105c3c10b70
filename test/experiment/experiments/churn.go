package experiments

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	churnLoad = 0.5
	// churnMaxTasks limits the size of a job. A larger job could occupy all workers
	// for seconds, which would hide the effect of a fault.
	churnMaxTasks = 40
	// recoveryBound is the time from the start of a fault after which the goodput
	// must be at least minGoodput. It also bounds the recovery times that the
	// store-outage experiment measures.
	recoveryBound = 3 * time.Second
	minGoodput    = 0.95
	// A job counts as goodput if its response time is at most timelyFactor times
	// its ideal response time plus timelySlack.
	timelyFactor = 2
	timelySlack  = 500 * time.Millisecond
	// shortFaultDuration is the duration of a fault without a minDuration.
	shortFaultDuration = 2500 * time.Millisecond
	// measureTime is the time after recoveryBound, or after the end of a longer
	// fault, in which the arriving jobs are measured. quietTime is the time in which
	// these jobs end before the next fault.
	measureTime = time.Second
	quietTime   = 1500 * time.Millisecond
	// longFaultDuration is longer than the silence of an owner after which another entry
	// instance that is asked about a submission declares the owner dead and
	// recovers the submission.
	longFaultDuration = 5500 * time.Millisecond
	// statusInterval is the time between two rounds of status requests about the
	// open submissions. The requests go to other entry instances than the owner.
	statusInterval = 500 * time.Millisecond
)

// faultStep is one fault of the churn experiment. It applies action to the targets
// and applies undo to them after shortFaultDuration, or after minDuration if that is
// longer.
type faultStep struct {
	name         string
	action, undo string
	role         cluster.Role
	targets      []int
	minDuration  time.Duration
}

// Actions in addition to those of phase.applyFault. cutPair holds back the traffic
// between two targets, joinPair ends that, and replaceEach stops and starts one
// target after another.
const (
	cutPair     = "cut"
	joinPair    = "join"
	replaceEach = "replace"
)

// shortFaultSteps returns one step for each kind of fault that lasts for
// shortFaultDuration, with random targets.
func shortFaultSteps(d load.Deployment, rnd *rand.Rand) []faultStep {
	entry := func() []int { return []int{rnd.IntN(d.Entries)} }
	worker := func() []int { return []int{rnd.IntN(d.Workers)} }
	workersWithSame := func(key func(int) string) []int {
		value := key(rnd.IntN(d.Workers))
		var list []int
		for i := range d.Workers {
			if key(i) == value {
				list = append(list, i)
			}
		}
		return list
	}
	return []faultStep{
		{name: "killEntry", action: "kill", undo: "start", role: cluster.Entry, targets: entry()},
		{name: "pauseEntry", action: "pause", undo: "resume", role: cluster.Entry, targets: entry()},
		{name: "drainEntry", action: "stop", undo: "start", role: cluster.Entry, targets: entry()},
		{name: "killSidecar", action: "kill", undo: "start", role: cluster.Sidecar, targets: worker()},
		{name: "pauseSidecar", action: "pause", undo: "resume", role: cluster.Sidecar, targets: worker()},
		{name: "drainSidecar", action: "stop", undo: "start", role: cluster.Sidecar, targets: worker()},
		{name: "killBackend", action: "kill", undo: "start", role: cluster.Backend, targets: worker()},
		{name: "drainBackend", action: "stop", undo: "start", role: cluster.Backend, targets: worker()},
		{name: "rack", action: "kill", undo: "start", role: cluster.Sidecar, targets: workersWithSame(d.Rack)},
		{name: "zone", action: "kill", undo: "start", role: cluster.Sidecar, targets: workersWithSame(d.Zone)},
	}
}

// longFaultSteps returns faults of entry instances that last longer than the
// silence after which an entry instance counts as dead, and replacements of all
// processes of a role.
func longFaultSteps(d load.Deployment, rnd *rand.Rand) []faultStep {
	return []faultStep{
		{name: "deadEntry", action: "kill", undo: "start", role: cluster.Entry, targets: rnd.Perm(d.Entries)[:1], minDuration: longFaultDuration},
		{name: "killTwoEntries", action: "kill", undo: "start", role: cluster.Entry, targets: rnd.Perm(d.Entries)[:2], minDuration: longFaultDuration},
		{name: "cutEntries", action: cutPair, undo: joinPair, role: cluster.Entry, targets: rnd.Perm(d.Entries)[:2], minDuration: longFaultDuration},
		{name: "replaceEntries", action: replaceEach, role: cluster.Entry, targets: rnd.Perm(d.Entries), minDuration: longFaultDuration},
		{name: "replaceSidecars", action: replaceEach, role: cluster.Sidecar, targets: rnd.Perm(d.Workers), minDuration: longFaultDuration},
	}
}

// duration returns how long the fault lasts.
func (s faultStep) duration() time.Duration { return max(s.minDuration, shortFaultDuration) }

// measureEnd returns the time from the start of the step to the end of the
// measurement after it.
func (s faultStep) measureEnd() time.Duration { return max(s.duration(), recoveryBound) + measureTime }

// scheduleSteps returns the steps that fit into the time d, always including the
// first one, and the time at which each step begins. A quiet time follows the
// measurement after each step.
func scheduleSteps(steps []faultStep, d, quiet time.Duration) (scheduled []faultStep, at []time.Duration) {
	next := recoveryBound + measureTime
	for _, s := range steps {
		length := s.measureEnd() + quiet
		if len(scheduled) > 0 && next+length > d {
			continue
		}
		scheduled, at = append(scheduled, s), append(at, next)
		next += length
	}
	return scheduled, at
}

// withBackends reports whether a fault also applies to the backend servers of the
// targets.
func (s faultStep) withBackends() bool { return s.name == "rack" || s.name == "zone" }

// churn injects faults one after the other under load.
func churn(r *run) error {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: churnLoad, MaxTasks: churnMaxTasks}, r.Seed)
	rnd := rand.New(rand.NewPCG(r.Seed, 4))
	steps := append(shortFaultSteps(d, rnd), longFaultSteps(d, rnd)...)
	rnd.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	if len(r.Faults) > 0 {
		steps = slices.DeleteFunc(steps, func(s faultStep) bool { return !slices.Contains(r.Faults, s.name) })
	}
	steps, at := scheduleSteps(steps, r.Duration, quietTime)
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var injectErr error
	wg.Go(func() { injectErr = p.inject(steps, at) })
	done := make(chan struct{})
	wg.Go(func() { p.pollOtherEntries(done) })
	out := p.submitJobs(jobs)
	close(done)
	wg.Wait()
	if _, err := p.close(); err != nil {
		return err
	}
	r.recordGoodput(d, jobs, out, steps, at)
	return errors.Trace(injectErr)
}

// pollOtherEntries asks other entry instances than the owners about the open
// submissions, every statusInterval until done is closed.
func (p *phase) pollOtherEntries(done <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			wg.Go(p.callers.QueryNextEntries)
		}
	}
}

// inject runs the steps at their times. It undoes a step before the next one begins.
// A step can take longer than planned because a graceful stop waits for its jobs;
// inject then adds the delay to the times of the later steps in at.
func (p *phase) inject(steps []faultStep, at []time.Duration) error {
	for i, s := range steps {
		p.sleepUntil(at[i])
		if err := p.apply(s); err != nil {
			return err
		}
		if s.undo != "" {
			p.sleepUntil(at[i] + s.duration())
			if err := p.revert(s); err != nil {
				return err
			}
		}
		postpone(at[i+1:], p.now()-at[i]-s.duration())
	}
	return nil
}

// postpone adds a delay to the times if the delay is positive.
func postpone(at []time.Duration, late time.Duration) {
	for i := range at {
		at[i] += max(late, 0)
	}
}

// apply begins a step.
func (p *phase) apply(s faultStep) error {
	switch s.action {
	case cutPair:
		p.applyToPair(s, p.c.Partition)
		return nil
	case replaceEach:
		return p.replace(s)
	}
	return p.applyToAll(s, s.action)
}

// revert ends a step.
func (p *phase) revert(s faultStep) error {
	if s.undo == joinPair {
		p.applyToPair(s, p.c.HealPartition)
		return nil
	}
	return p.applyToAll(s, s.undo)
}

// applyToPair calls do, which cuts or joins, with the two targets of a step.
func (p *phase) applyToPair(s faultStep, do func(i, j int)) {
	for _, i := range s.targets {
		p.addTrace(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: s.name, Target: string(s.role), Index: i}})
	}
	do(s.targets[0], s.targets[1])
}

// replace stops and starts one target after another, at regular intervals over the
// duration of the step.
func (p *phase) replace(s faultStep) error {
	begin, interval := p.now(), s.duration()/time.Duration(len(s.targets))
	for n, i := range s.targets {
		p.sleepUntil(begin + time.Duration(n)*interval)
		for _, action := range []string{"stop", "start"} {
			if err := p.applyFault(action, s.role, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyToAll applies an action to all targets of a step concurrently.
func (p *phase) applyToAll(s faultStep, action string) error {
	var wg sync.WaitGroup
	errs := make([]error, len(s.targets))
	for n, i := range s.targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[n] = p.applyFault(action, s.role, i)
			if errs[n] == nil && s.withBackends() {
				errs[n] = p.applyFault(action, cluster.Backend, i)
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// recordGoodput sets the share of timely completions among the jobs that arrive
// between recoveryBound and measureEnd after the start of each fault. If a fault lasts
// longer than recoveryBound, this interval includes the later part of the fault.
func (r *run) recordGoodput(d load.Deployment, jobs []load.Arrival, out []cluster.Outcome, steps []faultStep, at []time.Duration) {
	ideal := load.IdealResponseTimes(d, jobs)
	worst := math.Inf(1) // ignored by Figure if no job was measured
	for n, s := range steps {
		from, to := at[n]+recoveryBound, at[n]+s.measureEnd()
		timely, total := 0, 0
		for i, o := range out {
			if o.At < from || o.At >= to {
				continue
			}
			total++
			if o.Complete() && o.ResponseTime <= timelyFactor*ideal[i]+timelySlack {
				timely++
			}
		}
		if total > 0 {
			worst = min(worst, share(timely, total))
			r.rep.Figure(fmt.Sprintf("goodput.%s", s.name), share(timely, total))
		}
	}
	r.rep.Sizes["faults"] = float64(len(steps))
	r.rep.Sizes["jobs"] = float64(len(jobs))
	r.rep.Figure("completeShare", share(len(responses(out, cluster.Outcome.Complete)), len(out)))
	r.rep.Figure("worstGoodput", worst)
	r.rep.Target("worstGoodput", report.AtLeast, minGoodput)
}
