package runs

import (
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	floodFactor = 10
	// Fractions of the slots that the other work uses. Its classes together
	// are guaranteed more than that during the flood, given their weights.
	floodOthers     = 0.4
	floodHighOthers = 0.25
	// floodMaxTasks keeps single jobs of the other work within the share of
	// their class.
	floodMaxTasks  = 8
	keepShare      = 0.98
	keepP99        = 1.2
	floodFromShare = 0.2
	floodToShare   = 0.8
)

func floodLow(r *run) error  { return flood(r, load.Torno("low"), floodOthers, nil) }
func floodHigh(r *run) error { return flood(r, load.Torno("critical"), floodHighOthers, nil) }

// refundFlood reports the confirmations and releases apart.
func refundFlood(r *run) error {
	return flood(r, load.Safari(), floodOthers, map[string]string{
		"deposit-confirm": "confirm", "deposit-release": "release",
	})
}

// flood compares the other work with and without an overload of one kind. The
// jobs of the other work are the same in both phases. Groups name the kinds
// that are compared apart; nil compares all other work together.
func flood(r *run, d load.Deployment, others float64, groups map[string]string) error {
	spec := load.Spec{Duration: r.Duration, Utilization: others, MaxTasks: floodMaxTasks}
	plain, _, err := r.measure(d, load.Generate(d, spec, r.Seed))
	if err != nil {
		return err
	}
	spec.FloodLoad = floodFactor
	spec.FloodFrom = scale(r.Duration, floodFromShare)
	spec.FloodTo = scale(r.Duration, floodToShare)
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
		r.keeps("others", plain, flooded, func(o cluster.Outcome) bool { return !o.Flood })
	}
	for _, k := range d.Kinds {
		if name, ok := groups[k.Name]; ok {
			r.keeps(name, plain, flooded, func(o cluster.Outcome) bool { return o.Kind == k.Name })
		}
	}
	return nil
}

// keeps sets what a group of jobs retains of its completions and its p99.
func (r *run) keeps(name string, plain, flooded []cluster.Outcome, group func(cluster.Outcome) bool) {
	done := func(o cluster.Outcome) bool { return group(o) && o.Complete() }
	before, after := responses(plain, done), responses(flooded, done)
	r.rep.Figure(name+".plainP99Ms", report.Ms(report.Quantile(before, 0.99)))
	r.rep.Figure(name+".floodedP99Ms", report.Ms(report.Quantile(after, 0.99)))
	r.rep.Figure(name+".keptCompletions", share(len(after), len(before)))
	r.rep.Target(name+".keptCompletions", report.AtLeast, keepShare)
	r.rep.Figure(name+".ratioP99", ratio(report.Quantile(after, 0.99), report.Quantile(before, 0.99)))
	r.rep.Target(name+".ratioP99", report.AtMost, keepP99)
}
