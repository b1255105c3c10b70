package runs

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
)

const (
	// kilnConcurrency and clayRate are about a third of the demand of the
	// load below at limitsLoad.
	kilnConcurrency = 12
	clayRate        = 20
	quitoQuota      = 8
	limitsLoad      = 0.7
	kilnShare       = 95
	clayShare       = 60
	usedShare       = 0.95
	// usedFrom leaves out the time in which the queues build up.
	usedFrom = 0.2
)

// limits checks a concurrency limit and a rate limit of a kind and a team's
// quota from the starts and ends at the backend servers.
func limits(r *run) error {
	d := load.Torno("low")
	for i, k := range d.Kinds {
		d.Kinds[i].Share = map[string]float64{"kiln-slot": kilnShare, "clay-kit": clayShare}[k.Name]
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
	p.drive(jobs)
	h, err := p.close()
	if err != nil {
		return err
	}
	of := map[string]load.Arrival{}
	for _, a := range jobs {
		of[a.Request] = a
	}
	from, to := p.begin+scale(r.Duration, usedFrom), p.begin+r.Duration
	top, used := concurrencyOf(h, from, to, func(request string) bool { return of[request].Kind == "kiln-slot" })
	r.limit("kiln.running", top, kilnConcurrency)
	r.rep.Figure("kiln.used", used/kilnConcurrency)
	r.rep.Target("kiln.used", report.AtLeast, usedShare)
	top, _ = concurrencyOf(h, from, to, func(request string) bool { return of[request].Team == "quito" })
	r.limit("quito.running", top, quitoQuota)
	starts := startTimes(h, func(request string) bool { return of[request].Kind == "clay-kit" })
	// A token bucket holds 100 ms of the rate, at least 1 per entry instance.
	r.limit("clay.startsPerSecond", mostInSecond(starts), clayRate+max(clayRate/10, d.Entries))
	inside := 0
	for _, at := range starts {
		if at >= from && at < to {
			inside++
		}
	}
	r.rep.Figure("clay.used", float64(inside)/clayRate/(to-from).Seconds())
	r.rep.Target("clay.used", report.AtLeast, usedShare)
	return nil
}

func (r *run) limit(figure string, top, bound int) {
	r.rep.Figure(figure, float64(top))
	r.rep.Target(figure, report.AtMost, float64(bound))
}

// requests maps submission IDs to the callers' tokens.
func requests(h *history.History) map[string]string {
	m := map[string]string{}
	for _, e := range h.Events {
		if e.Type == history.Submit {
			m[e.Submission] = e.Request
		}
	}
	return m
}

// concurrencyOf returns the highest number of running tasks, and the average
// number between two times.
func concurrencyOf(h *history.History, from, to time.Duration, match func(request string) bool) (top int, average float64) {
	of := requests(h)
	var running int
	var area float64
	last := from
	for _, e := range h.Events {
		if e.Type != history.Start && e.Type != history.End && e.Type != history.Abort || !match(of[e.Submission]) {
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
		top = max(top, running)
	}
	area += float64(running) * float64(to-last)
	return top, area / float64(to-from)
}

// startTimes returns the times of the matching starts in order.
func startTimes(h *history.History, match func(request string) bool) []time.Duration {
	of := requests(h)
	var list []time.Duration
	for _, e := range h.Events {
		if e.Type == history.Start && match(of[e.Submission]) {
			list = append(list, e.At)
		}
	}
	return list
}

// mostInSecond returns the highest number of times within one second.
func mostInSecond(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
