package runs

import (
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	steadyFraction = 0.7
	idealP50       = 1.05
	idealP99       = 1.25
	// completeShare of the steady jobs have to be complete, so that refusals
	// can't improve the response times.
	completeShare = 0.999
)

// steady compares response times with the ideal in both deployments.
func steady(r *run) error {
	for _, d := range []load.Deployment{load.Torno("low"), load.Safari()} {
		jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: steadyFraction}, r.Seed)
		out, _, err := r.measure(d, jobs)
		if err != nil {
			return err
		}
		r.compare(d, jobs, out)
	}
	return nil
}

// compare sets the figures relative to the ideal. The targets are on the
// ratio of each job; the ratio of the quantiles of all jobs says less, because
// the high ones are those of the few slow tasks under any placement.
func (r *run) compare(d load.Deployment, jobs []load.Arrival, out []cluster.Outcome) {
	ideal := load.IdealResponseTimes(d, jobs)
	base := load.BaselineResponseTimes(d, jobs, r.Seed)
	var real, best []time.Duration
	for i, o := range out {
		if o.Complete() {
			real, best = append(real, o.ResponseTime), append(best, ideal[i])
		}
	}
	pre := d.Name + "."
	r.rep.Sizes[pre+"jobs"] = float64(len(jobs))
	r.rep.Figure(pre+"completeShare", share(len(real), len(out)))
	r.rep.Target(pre+"completeShare", report.AtLeast, completeShare)
	for _, q := range []struct {
		name  string
		q     float64
		bound float64
	}{{"P50", 0.5, idealP50}, {"P99", 0.99, idealP99}} {
		r.rep.Figure(pre+"ideal"+q.name+"Ms", report.Ms(report.Quantile(ideal, q.q)))
		r.rep.Figure(pre+"response"+q.name+"Ms", report.Ms(report.Quantile(real, q.q)))
		r.rep.Figure(pre+"simulatedBaseline"+q.name+"Ms", report.Ms(report.Quantile(base, q.q)))
		r.rep.Figure(pre+"simulatedBaselineRatio"+q.name, report.QuantileRatio(jobRatios(base, ideal), q.q))
		r.rep.Figure(pre+"ratio"+q.name, report.QuantileRatio(jobRatios(real, best), q.q))
		r.rep.Target(pre+"ratio"+q.name, report.AtMost, q.bound)
		r.rep.Figure(pre+"quantileRatio"+q.name, ratio(report.Quantile(real, q.q), report.Quantile(best, q.q)))
	}
}

// jobRatios divides the times of each job.
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

// share is not a number if there is nothing to have a share of.
func share(part, whole int) float64 { return float64(part) / float64(whole) }

// ratio is not a number if either duration is missing.
func ratio(a, b time.Duration) float64 {
	if a == 0 {
		return share(0, 0)
	}
	return float64(a) / float64(b)
}
