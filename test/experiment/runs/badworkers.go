package runs

import (
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	badLoad       = 0.5
	badKeep       = 0.95
	stragglerSlow = 5
)

// badWorkers compares completions with those of the same load on good
// workers. Worker 0 fails every task at once and worker 1 is a straggler.
func badWorkers(r *run) error {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: badLoad, MaxTasks: churnMaxTasks}, r.Seed)
	plain, _, err := r.measure(d, jobs)
	if err != nil {
		return err
	}
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	p.c.Backend(0).SetBehavior(cluster.Behavior{Fail: true})
	p.c.Backend(1).SetBehavior(cluster.Behavior{Slowdown: stragglerSlow})
	out := p.drive(jobs)
	if _, err := p.close(); err != nil {
		return err
	}
	before := responses(plain, cluster.Outcome.Complete)
	after := responses(out, cluster.Outcome.Complete)
	r.rep.Sizes["jobs"] = float64(len(jobs))
	r.rep.Figure("keptCompletions", share(len(after), len(before)))
	r.rep.Target("keptCompletions", report.AtLeast, badKeep)
	r.rep.Figure("ratioP99", ratio(report.Quantile(after, 0.99), report.Quantile(before, 0.99)))
	return nil
}
