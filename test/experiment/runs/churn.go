package runs

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
	churnFraction = 0.5
	// churnMaxTasks keeps one job from occupying the fleet for seconds, which
	// would hide the effect of a fault.
	churnMaxTasks = 40
	recoverWithin = 3 * time.Second
	goodputShare  = 0.95
	// timelyFactor and timelySlack bound the response of a job that counts as
	// goodput relative to its ideal.
	timelyFactor = 2
	timelySlack  = 500 * time.Millisecond
	// downTime is how long killed and paused processes stay away.
	downTime = 2500 * time.Millisecond
	// measureTime is how long arriving jobs are measured after the recovery from
	// a fault, and quietTime the time in which they end before the next fault.
	measureTime = time.Second
	quietTime   = 1500 * time.Millisecond
	// deadTime is longer than the silence after which an entry instance that is
	// asked about a submission gives its owner up and recovers it.
	deadTime = 5500 * time.Millisecond
	// askEvery is the time between two rounds of questions about the open
	// submissions, asked at another entry instance than their owner's.
	askEvery = 500 * time.Millisecond
)

// step is one fault of the churn: action on the targets, undo after downTime or
// after down if that is set.
type step struct {
	name         string
	action, undo string
	role         cluster.Role
	targets      []int
	down         time.Duration
}

// Actions beside those of phase.fault. cutPair holds the traffic between two
// targets back, and replaceEach stops and starts one target after another.
const (
	cutPair     = "cut"
	joinPair    = "join"
	replaceEach = "replace"
)

// churnSteps are all kinds of faults, with targets by the seed.
func churnSteps(d load.Deployment, rnd *rand.Rand) []step {
	entry := func() []int { return []int{rnd.IntN(d.Entries)} }
	worker := func() []int { return []int{rnd.IntN(d.Workers)} }
	same := func(key func(int) string) []int {
		pick := key(rnd.IntN(d.Workers))
		var list []int
		for i := range d.Workers {
			if key(i) == pick {
				list = append(list, i)
			}
		}
		return list
	}
	return []step{
		{name: "killEntry", action: "kill", undo: "start", role: cluster.Entry, targets: entry()},
		{name: "pauseEntry", action: "pause", undo: "resume", role: cluster.Entry, targets: entry()},
		{name: "drainEntry", action: "stop", undo: "start", role: cluster.Entry, targets: entry()},
		{name: "killSidecar", action: "kill", undo: "start", role: cluster.Sidecar, targets: worker()},
		{name: "pauseSidecar", action: "pause", undo: "resume", role: cluster.Sidecar, targets: worker()},
		{name: "drainSidecar", action: "stop", undo: "start", role: cluster.Sidecar, targets: worker()},
		{name: "killBackend", action: "kill", undo: "start", role: cluster.Backend, targets: worker()},
		{name: "drainBackend", action: "stop", undo: "start", role: cluster.Backend, targets: worker()},
		{name: "rack", action: "kill", undo: "start", role: cluster.Sidecar, targets: same(d.Rack)},
		{name: "zone", action: "kill", undo: "start", role: cluster.Sidecar, targets: same(d.Zone)},
	}
}

// longSteps are faults of entry instances that last longer than the silence
// bound, and replacements of all processes of a role.
func longSteps(d load.Deployment, rnd *rand.Rand) []step {
	return []step{
		{name: "deadEntry", action: "kill", undo: "start", role: cluster.Entry, targets: rnd.Perm(d.Entries)[:1], down: deadTime},
		{name: "killTwoEntries", action: "kill", undo: "start", role: cluster.Entry, targets: rnd.Perm(d.Entries)[:2], down: deadTime},
		{name: "cutEntries", action: cutPair, undo: joinPair, role: cluster.Entry, targets: rnd.Perm(d.Entries)[:2], down: deadTime},
		{name: "replaceEntries", action: replaceEach, role: cluster.Entry, targets: rnd.Perm(d.Entries), down: deadTime},
		{name: "replaceSidecars", action: replaceEach, role: cluster.Sidecar, targets: rnd.Perm(d.Workers), down: deadTime},
	}
}

// downFor is how long the fault lasts.
func (s step) downFor() time.Duration { return max(s.down, downTime) }

// measured is the end of the measurement after a step.
func (s step) measured() time.Duration { return max(s.downFor(), recoverWithin) + measureTime }

// stepsWithin returns the steps that fit into a time, and when each begins. A
// quiet time follows the measurement after each step.
func stepsWithin(steps []step, d, quiet time.Duration) (fit []step, at []time.Duration) {
	next := recoverWithin + measureTime
	for _, s := range steps {
		length := s.measured() + quiet
		if len(fit) > 0 && next+length > d {
			continue
		}
		fit, at = append(fit, s), append(at, next)
		next += length
	}
	return fit, at
}

// withBackends reports whether a fault takes the backend servers along.
func (s step) withBackends() bool { return s.name == "rack" || s.name == "zone" }

// churn injects faults one after the other under load.
func churn(r *run) error {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: churnFraction, MaxTasks: churnMaxTasks}, r.Seed)
	rnd := rand.New(rand.NewPCG(r.Seed, 4))
	steps := append(churnSteps(d, rnd), longSteps(d, rnd)...)
	rnd.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	if len(r.Faults) > 0 {
		steps = slices.DeleteFunc(steps, func(s step) bool { return !slices.Contains(r.Faults, s.name) })
	}
	steps, at := stepsWithin(steps, r.Duration, quietTime)
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var failed error
	wg.Go(func() { failed = p.inject(steps, at) })
	done := make(chan struct{})
	wg.Go(func() { p.askElsewhere(done) })
	out := p.drive(jobs)
	close(done)
	wg.Wait()
	if _, err := p.close(); err != nil {
		return err
	}
	r.goodput(d, jobs, out, steps, at)
	return errors.Trace(failed)
}

// askElsewhere asks about the open submissions at other entry instances.
func (p *phase) askElsewhere(done <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(askEvery)
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

// inject runs the steps at their times. The undo of a step comes before the
// next one. A step that takes longer than planned, because a graceful stop waits
// for its jobs, moves the later ones back in at.
func (p *phase) inject(steps []step, at []time.Duration) error {
	for i, s := range steps {
		p.sleepUntil(at[i])
		if err := p.apply(s); err != nil {
			return err
		}
		if s.undo != "" {
			p.sleepUntil(at[i] + s.downFor())
			if err := p.revert(s); err != nil {
				return err
			}
		}
		moveBack(at[i+1:], p.now()-at[i]-s.downFor())
	}
	return nil
}

// moveBack adds a delay to times, if there is one.
func moveBack(at []time.Duration, late time.Duration) {
	for i := range at {
		at[i] += max(late, 0)
	}
}

// apply begins a step.
func (p *phase) apply(s step) error {
	switch s.action {
	case cutPair:
		p.cut(s, p.c.Partition)
		return nil
	case replaceEach:
		return p.replace(s)
	}
	return p.each(s, s.action)
}

// revert ends a step.
func (p *phase) revert(s step) error {
	if s.undo == joinPair {
		p.cut(s, p.c.HealPartition)
		return nil
	}
	return p.each(s, s.undo)
}

func (p *phase) cut(s step, do func(i, j int)) {
	for _, i := range s.targets {
		p.note(load.TraceLine{Type: load.LineFault, Fault: &load.TraceFault{Action: s.name, Target: string(s.role), Index: i}})
	}
	do(s.targets[0], s.targets[1])
}

// replace stops and starts one target after another, spread over the step.
func (p *phase) replace(s step) error {
	begin, each := p.now(), s.downFor()/time.Duration(len(s.targets))
	for n, i := range s.targets {
		p.sleepUntil(begin + time.Duration(n)*each)
		for _, action := range []string{"stop", "start"} {
			if err := p.fault(action, s.role, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// each applies an action to all targets of a step at once.
func (p *phase) each(s step, action string) error {
	var wg sync.WaitGroup
	errs := make([]error, len(s.targets))
	for n, i := range s.targets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[n] = p.fault(action, s.role, i)
			if errs[n] == nil && s.withBackends() {
				errs[n] = p.fault(action, cluster.Backend, i)
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

// goodput sets the share of timely completions among the jobs that arrive
// from the recovery bound after each fault until quietTime before the next one,
// which includes the later part of a fault that lasts longer than the bound.
func (r *run) goodput(d load.Deployment, jobs []load.Arrival, out []cluster.Outcome, steps []step, at []time.Duration) {
	ideal := load.IdealResponseTimes(d, jobs)
	worst := math.Inf(1) // not a figure if no job was measured
	for n, s := range steps {
		from, to := at[n]+recoverWithin, at[n]+s.measured()
		timely, all := 0, 0
		for i, o := range out {
			if o.At < from || o.At >= to {
				continue
			}
			all++
			if o.Complete() && o.ResponseTime <= timelyFactor*ideal[i]+timelySlack {
				timely++
			}
		}
		if all > 0 {
			worst = min(worst, share(timely, all))
			r.rep.Figure(fmt.Sprintf("goodput.%s", s.name), share(timely, all))
		}
	}
	r.rep.Sizes["faults"] = float64(len(steps))
	r.rep.Sizes["jobs"] = float64(len(jobs))
	r.rep.Figure("completeShare", share(len(responses(out, cluster.Outcome.Complete)), len(out)))
	r.rep.Figure("worstGoodput", worst)
	r.rep.Target("worstGoodput", report.AtLeast, goodputShare)
}
