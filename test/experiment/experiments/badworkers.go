package experiments

import (
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	badWorkersLoad     = 0.5
	minKeptCompletions = 0.95
	stragglerSlowdown  = 5
)

// badWorkers compares the completions under a load with the completions under the
// same load on workers without faults. Worker 0 fails every task at once and worker
// 1 is a straggler.
func badWorkers(r *run) error {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: badWorkersLoad, MaxTasks: churnMaxTasks}, r.Seed)
	plain, _, err := r.measure(d, jobs)
	if err != nil {
		return err
	}
	p, err := r.start(d, d.Document())
	if err != nil {
		return err
	}
	p.c.Backend(0).SetBehavior(cluster.Behavior{Fail: true})
	p.c.Backend(1).SetBehavior(cluster.Behavior{Slowdown: stragglerSlowdown})
	out := p.submitJobs(jobs)
	if _, err := p.close(); err != nil {
		return err
	}
	before := responses(plain, cluster.Outcome.Complete)
	after := responses(out, cluster.Outcome.Complete)
	r.rep.Sizes["jobs"] = float64(len(jobs))
	r.rep.Figure("keptCompletions", share(len(after), len(before)))
	r.rep.Target("keptCompletions", report.AtLeast, minKeptCompletions)
	r.rep.Figure("ratioP99", ratio(report.Quantile(after, 0.99), report.Quantile(before, 0.99)))
	return nil
}
