package experiments

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
	maxSteadyWaste    = 0.02
	maxDisturbedWaste = 0.10
)

// waste counts wasted messages per started task under steady load, during a flood and
// under churn.
func waste(r *run) error {
	d := load.Torno("low")
	spec := load.Spec{Duration: r.Duration, Utilization: steadyLoad}
	floodSpec := load.Spec{
		Duration: r.Duration, Utilization: floodOtherLoad, MaxTasks: floodMaxTasks, FloodLoad: floodFactor,
		FloodFrom: scale(r.Duration, floodFrom), FloodTo: scale(r.Duration, floodTo),
	}
	if err := r.countWaste("steady", d, spec, nil, maxSteadyWaste); err != nil {
		return err
	}
	if err := r.countWaste("flood", d, floodSpec, nil, maxDisturbedWaste); err != nil {
		return err
	}
	rnd := rand.New(rand.NewPCG(r.Seed, 5))
	steps := shortFaultSteps(d, rnd)
	rnd.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	spec.Utilization = churnLoad
	return r.countWaste("churn", d, spec, steps, maxDisturbedWaste)
}

func (r *run) countWaste(name string, d load.Deployment, s load.Spec, steps []faultStep, bound float64) error {
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	steps, at := scheduleSteps(steps, r.Duration, 0)
	before := p.c.Counters()
	var wg sync.WaitGroup
	var injectErr error
	wg.Add(1)
	go func() {
		defer wg.Done()
		injectErr = p.inject(steps, at)
	}()
	p.submitJobs(load.Generate(d, s, r.Seed))
	wg.Wait()
	counters := p.c.Counters().Minus(before)
	if _, err := p.close(); err != nil {
		return err
	}
	starts := int(counters.Starts)
	r.rep.Sizes[name+".starts"] = float64(starts)
	r.rep.Figure(name+".wastedPerStart", share(int(counters.WastedMessages), starts))
	r.rep.Target(name+".wastedPerStart", report.AtMost, bound)
	r.rep.Figure(name+".controlPerStart", share(int(counters.ControlMessages), starts))
	r.recordWasteByCause(name, counters)
	return errors.Trace(injectErr)
}

// recordWasteByCause sets a figure per started task for each cause of waste. Expired
// credits cost no message on the task path and don't count as waste; their number
// helps to explain the other figures.
func (r *run) recordWasteByCause(name string, c cluster.Counters) {
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

// scale multiplies a duration by a share.
func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
