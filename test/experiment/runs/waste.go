package runs

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	wasteSteady  = 0.02
	wasteTrouble = 0.10
)

// waste counts wasted messages per started task under steady load, in a flood
// and under churn.
func waste(r *run) error {
	d := load.Torno("low")
	calm := load.Spec{Duration: r.Duration, Utilization: steadyFraction}
	flooded := load.Spec{
		Duration: r.Duration, Utilization: floodOthers, MaxTasks: floodMaxTasks, FloodLoad: floodFactor,
		FloodFrom: scale(r.Duration, floodFromShare), FloodTo: scale(r.Duration, floodToShare),
	}
	if err := r.countWaste("steady", d, calm, nil, wasteSteady); err != nil {
		return err
	}
	if err := r.countWaste("flood", d, flooded, nil, wasteTrouble); err != nil {
		return err
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 5))
	steps := churnSteps(d, rnd)
	rnd.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	calm.Utilization = churnFraction
	return r.countWaste("churn", d, calm, steps, wasteTrouble)
}

func (r *run) countWaste(name string, d load.Deployment, s load.Spec, steps []step, bound float64) error {
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	steps, at := stepsWithin(steps, r.Duration, 0)
	before := p.c.Counters()
	var wg sync.WaitGroup
	var failed error
	wg.Add(1)
	go func() {
		defer wg.Done()
		failed = p.inject(steps, at)
	}()
	p.drive(load.Generate(d, s, r.Seed))
	wg.Wait()
	spent := p.c.Counters().Minus(before)
	if _, err := p.close(); err != nil {
		return err
	}
	starts := int(spent.Starts)
	r.rep.Sizes[name+".starts"] = float64(starts)
	r.rep.Figure(name+".wastedPerStart", share(int(spent.WastedMessages), starts))
	r.rep.Target(name+".wastedPerStart", report.AtMost, bound)
	r.rep.Figure(name+".controlPerStart", share(int(spent.ControlMessages), starts))
	r.wasteByCause(name, spent)
	return errors.Trace(failed)
}

// wasteByCause sets a figure per started task for each cause. Credits that
// expire at their holder cost no message of the task path; their number
// explains the others.
func (r *run) wasteByCause(name string, c cluster.Counters) {
	for _, cause := range []struct {
		name  string
		count int64
	}{
		{"refusedStarts", c.Waste.RefusedStarts},
		{"emptyRecalls", c.Waste.EmptyRecalls},
		{"returnedCredits", c.Waste.ReturnedCredits},
		{"demandMessages", c.Waste.DemandMessages},
		{"fences", c.Waste.Fences},
		{"duplicates", c.Waste.Duplicates},
		{"expiredCredits", c.Waste.ExpiredCredits},
	} {
		r.rep.Figure(name+".waste."+cause.name, share(int(cause.count), int(c.Starts)))
	}
}

// scale returns a share of a duration.
func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
