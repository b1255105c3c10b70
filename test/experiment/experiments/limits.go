package experiments

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	// kilnConcurrency and clayRate are about a third of the demand of the kinds
	// kiln-slot and clay-kit at the utilization limitsLoad. Only these kinds arrive,
	// with the arrival weights kilnArrivalWeight and clayArrivalWeight.
	kilnConcurrency   = 12
	clayRate          = 20
	quitoQuota        = 8
	limitsLoad        = 0.7
	kilnArrivalWeight = 95
	clayArrivalWeight = 60
	minUsedShare      = 0.95
	// usageFrom is the share of the duration after which the usage is measured. The
	// queues build up before.
	usageFrom = 0.2
)

// limits checks a concurrency limit of one kind, a rate limit of another and the quota
// of a team. It counts the starts and ends of tasks at the backend servers.
func limits(r *run) error {
	d := load.Torno("low")
	for i, k := range d.Kinds {
		d.Kinds[i].ArrivalWeight = map[string]float64{"kiln-slot": kilnArrivalWeight, "clay-kit": clayArrivalWeight}[k.Name]
	}
	jobs := load.Generate(d, load.Spec{Duration: r.Duration, Utilization: limitsLoad, MaxTasks: churnMaxTasks}, r.Seed)
	doc := d.Document()
	concurrency, rate, quota := int64(kilnConcurrency), int64(clayRate), int64(quitoQuota)
	add := func(name string, spec resource.LimitSpec) {
		doc.Limits[name] = &resource.Limit{Metadata: resource.Metadata{Name: name, Generation: 1, ResourceVersion: 1}, Spec: spec}
	}
	add("kiln", resource.LimitSpec{Kind: "kiln-slot", Amounts: resource.Amounts{Concurrency: &concurrency}})
	add("clay", resource.LimitSpec{Kind: "clay-kit", Amounts: resource.Amounts{Rate: &rate}})
	doc.Teams["quito"].Spec.Quota.Concurrency = &quota
	p, err := r.start(d, doc)
	if err != nil {
		return err
	}
	p.submitJobs(jobs)
	h, err := p.close()
	if err != nil {
		return err
	}
	arrivals := map[string]load.Arrival{}
	for _, a := range jobs {
		arrivals[a.Request] = a
	}
	from, to := p.begin+scale(r.Duration, usageFrom), p.begin+r.Duration
	top, used := runningTasks(h, from, to, func(request string) bool { return arrivals[request].Kind == "kiln-slot" })
	r.targetAtMost("kiln.running", top, kilnConcurrency)
	r.rep.Figure("kiln.used", used/kilnConcurrency)
	r.rep.Target("kiln.used", report.AtLeast, minUsedShare)
	top, _ = runningTasks(h, from, to, func(request string) bool { return arrivals[request].Team == "quito" })
	r.targetAtMost("quito.running", top, quitoQuota)
	starts := startTimes(h, func(request string) bool { return arrivals[request].Kind == "clay-kit" })
	// A token bucket holds 100 ms of the rate, at least 1 per entry instance.
	r.targetAtMost("clay.startsPerSecond", maxPerSecond(starts), clayRate+max(clayRate/10, d.Entries))
	inside := 0
	for _, at := range starts {
		if at >= from && at < to {
			inside++
		}
	}
	r.rep.Figure("clay.used", float64(inside)/clayRate/(to-from).Seconds())
	r.rep.Target("clay.used", report.AtLeast, minUsedShare)
	return nil
}

func (r *run) targetAtMost(figure string, highest, bound int) {
	r.rep.Figure(figure, float64(highest))
	r.rep.Target(figure, report.AtMost, float64(bound))
}

// requestsBySubmission maps submission IDs to the request names of the callers.
func requestsBySubmission(h *history.History) map[string]string {
	m := map[string]string{}
	for _, e := range h.Events {
		if e.Type == history.Submit {
			m[e.Submission] = e.Request
		}
	}
	return m
}

// runningTasks returns the highest number of matching tasks that ran at the same time,
// and their average number between two times.
func runningTasks(h *history.History, from, to time.Duration, match func(request string) bool) (highest int, average float64) {
	requestOf := requestsBySubmission(h)
	var running int
	var area float64
	last := from
	for _, e := range h.Events {
		if e.Type != history.Start && e.Type != history.End && e.Type != history.Abort || !match(requestOf[e.Submission]) {
			continue
		}
		if at := min(max(e.At, from), to); at > last {
			area += float64(running) * float64(at-last)
			last = at
		}
		if e.Type == history.Start {
			running++
		} else {
			running--
		}
		highest = max(highest, running)
	}
	area += float64(running) * float64(to-last)
	return highest, area / float64(to-from)
}

// startTimes returns the start times of the matching tasks in order.
func startTimes(h *history.History, match func(request string) bool) []time.Duration {
	requestOf := requestsBySubmission(h)
	var list []time.Duration
	for _, e := range h.Events {
		if e.Type == history.Start && match(requestOf[e.Submission]) {
			list = append(list, e.At)
		}
	}
	return list
}

// maxPerSecond returns the highest number of times within any one second.
func maxPerSecond(times []time.Duration) int {
	highest, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
