package experiments

import (
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	steadyLoad  = 0.7
	maxRatioP50 = 1.05
	maxRatioP99 = 1.25
	// minCompleteShare is the share of the steady jobs that must be complete, so
	// that refusals can't improve the response times.
	minCompleteShare = 0.999
)

// steady compares the response times with the ideal ones in both deployments.
func steady(r *run) error {
	for _, d := range []load.Deployment{load.Torno("low"), load.Safari()} {
		jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: steadyLoad}, r.Seed)
		out, _, err := r.measure(d, jobs)
		if err != nil {
			return err
		}
		r.compareWithIdeal(d, jobs, out)
	}
	return nil
}

// compareWithIdeal sets the figures relative to the ideal response times. The targets
// bound quantiles of the ratios of the single jobs. The ratio of the quantiles of all
// jobs is less informative, because the few slow tasks determine the high quantiles
// under any placement.
func (r *run) compareWithIdeal(d load.Deployment, jobs []load.Arrival, out []cluster.Outcome) {
	ideal := load.IdealResponseTimes(d, jobs)
	base := load.BaselineResponseTimes(d, jobs, r.Seed)
	var measured, best []time.Duration
	for i, o := range out {
		if o.Complete() {
			measured, best = append(measured, o.ResponseTime), append(best, ideal[i])
		}
	}
	prefix := d.Name + "."
	r.rep.Sizes[prefix+"jobs"] = float64(len(jobs))
	r.rep.Figure(prefix+"completeShare", share(len(measured), len(out)))
	r.rep.Target(prefix+"completeShare", report.AtLeast, minCompleteShare)
	for _, q := range []struct {
		name  string
		q     float64
		bound float64
	}{{"P50", 0.5, maxRatioP50}, {"P99", 0.99, maxRatioP99}} {
		r.rep.Figure(prefix+"ideal"+q.name+"Ms", report.Ms(report.Quantile(ideal, q.q)))
		r.rep.Figure(prefix+"response"+q.name+"Ms", report.Ms(report.Quantile(measured, q.q)))
		r.rep.Figure(prefix+"simulatedBaseline"+q.name+"Ms", report.Ms(report.Quantile(base, q.q)))
		r.rep.Figure(prefix+"simulatedBaselineRatio"+q.name, report.RatioQuantile(jobRatios(base, ideal), q.q))
		r.rep.Figure(prefix+"ratio"+q.name, report.RatioQuantile(jobRatios(measured, best), q.q))
		r.rep.Target(prefix+"ratio"+q.name, report.AtMost, q.bound)
		r.rep.Figure(prefix+"quantileRatio"+q.name, ratio(report.Quantile(measured, q.q), report.Quantile(best, q.q)))
	}
}

// jobRatios returns a[i]/b[i] for each job i.
func jobRatios(a, b []time.Duration) []float64 {
	list := make([]float64, len(a))
	for i := range a {
		list[i] = float64(a[i]) / float64(b[i])
	}
	return list
}

// responses returns the response times of the outcomes that match.
func responses(out []cluster.Outcome, match func(cluster.Outcome) bool) []time.Duration {
	var list []time.Duration
	for _, o := range out {
		if match(o) {
			list = append(list, o.ResponseTime)
		}
	}
	return list
}

// share returns part/whole, NaN if both are zero.
func share(part, whole int) float64 { return float64(part) / float64(whole) }

// ratio returns a/b, NaN if a is zero, which stands for a missing quantile.
func ratio(a, b time.Duration) float64 {
	if a == 0 {
		return share(0, 0)
	}
	return float64(a) / float64(b)
}
