package experiments

import (
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	floodFactor = 10
	// Fractions of the slots that the jobs outside the flood use. During the flood
	// the weights of their classes guarantee them more than these fractions.
	floodOtherLoad     = 0.4
	floodHighOtherLoad = 0.25
	// floodMaxTasks limits the size of every job, so that a single job outside the
	// flood stays within the share of its class.
	floodMaxTasks    = 8
	minKeptShare     = 0.98
	maxFloodRatioP99 = 1.2
	// The flood lasts from floodFrom to floodTo, as shares of the duration.
	floodFrom = 0.2
	floodTo   = 0.8
)

func floodLow(r *run) error  { return flood(r, load.Torno("low"), floodOtherLoad, nil) }
func floodHigh(r *run) error { return flood(r, load.Torno("critical"), floodHighOtherLoad, nil) }

// refundFlood reports the deposit confirmations and the deposit releases as separate
// groups.
func refundFlood(r *run) error {
	return flood(r, load.Safari(), floodOtherLoad, map[string]string{
		"deposit-confirm": "confirm", "deposit-release": "release",
	})
}

// flood compares the jobs of the other kinds with and without an overload of one
// kind. These jobs are the same in both phases. groups maps the kinds that are
// compared separately to names of figures; nil compares all other kinds together.
func flood(r *run, d load.Deployment, otherLoad float64, groups map[string]string) error {
	spec := load.Spec{Duration: r.Duration, Utilization: otherLoad, MaxTasks: floodMaxTasks}
	plain, _, err := r.measure(d, load.Generate(d, spec, r.Seed))
	if err != nil {
		return err
	}
	spec.FloodLoad = floodFactor
	spec.FloodFrom = scale(r.Duration, floodFrom)
	spec.FloodTo = scale(r.Duration, floodTo)
	jobs := load.Generate(d, spec, r.Seed)
	flooded, _, err := r.measure(d, jobs)
	if err != nil {
		return err
	}
	r.rep.Sizes["jobs"] = float64(len(jobs))
	r.rep.Figure("floodCompleted", float64(len(responses(flooded, func(o cluster.Outcome) bool {
		return o.Flood && o.Complete()
	}))))
	if groups == nil {
		r.compareGroup("others", plain, flooded, func(o cluster.Outcome) bool { return !o.Flood })
	}
	for _, k := range d.Kinds {
		if name, ok := groups[k.Name]; ok {
			r.compareGroup(name, plain, flooded, func(o cluster.Outcome) bool { return o.Kind == k.Name })
		}
	}
	return nil
}

// compareGroup sets figures and targets for the completions and the p99 response time
// of a group of jobs in the phase with the flood, relative to the phase without one.
func (r *run) compareGroup(name string, plain, flooded []cluster.Outcome, group func(cluster.Outcome) bool) {
	completed := func(o cluster.Outcome) bool { return group(o) && o.Complete() }
	before, after := responses(plain, completed), responses(flooded, completed)
	r.rep.Figure(name+".plainP99Ms", report.Ms(report.Quantile(before, 0.99)))
	r.rep.Figure(name+".floodedP99Ms", report.Ms(report.Quantile(after, 0.99)))
	r.rep.Figure(name+".keptCompletions", share(len(after), len(before)))
	r.rep.Target(name+".keptCompletions", report.AtLeast, minKeptShare)
	r.rep.Figure(name+".ratioP99", ratio(report.Quantile(after, 0.99), report.Quantile(before, 0.99)))
	r.rep.Target(name+".ratioP99", report.AtMost, maxFloodRatioP99)
}
