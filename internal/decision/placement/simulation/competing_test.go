package simulation

import (
	"testing"
	"time"
)

// competingSite returns the workload of a site with workers of three speeds and three classes of
// jobs. During a burst of the longest, least urgent class, some of the workers leave. A message
// takes so long that load summaries miss several starts of other entry instances.
func competingSite(seed int64) Workload {
	workload := Workload{
		Classes: []JobClass{
			{Name: "quick", Rank: 0, JobsPerSecond: 204, Value: 0.00485, MeanTasks: 8, MaxTasks: 32, MeanRunTime: 60 * time.Millisecond, MeanMilliCPU: 1400},
			{Name: "small", Rank: 1, JobsPerSecond: 593, Value: 0.00167, MeanTasks: 2, MaxTasks: 8, MeanRunTime: 200 * time.Millisecond, MeanMilliCPU: 1400},
			{Name: "long", Rank: 2, JobsPerSecond: 37, Value: 0.0267, MeanTasks: 4, MaxTasks: 16, MeanRunTime: 900 * time.Millisecond, MeanMilliCPU: 1400},
		},
		Bursts:         []Burst{{"long", 4 * time.Second, 9 * time.Second, 2.3}},
		EntryInstances: 10, Workers: 59, MilliCPU: 16000, Speeds: []float64{0.8, 1, 1.25}, MaxRunTimeFactor: 4,
		NetworkDelay: 10 * time.Millisecond, HeartbeatInterval: 250 * time.Millisecond, Duration: 10 * time.Second, Seed: seed,
		CountFrom: 4 * time.Second, CountUntil: 10 * time.Second,
	}
	for i := range 8 {
		workload.Departures = append(workload.Departures, 4500*time.Millisecond+time.Duration(i)*300*time.Millisecond)
	}
	return workload
}

// calm removes the burst and the departures from a workload.
func calm(w Workload) Workload {
	w.Bursts, w.Departures = nil, nil
	return w
}

// fastLinks shortens the network delay of a workload to that of one zone.
func fastLinks(w Workload) Workload {
	w.NetworkDelay = 1500 * time.Microsecond
	return w
}

// runSeeds adds up the results of a workload over several seeds, by class.
func runSeeds(adaptToDelay bool, change func(Workload) Workload) map[string]*ClassResult {
	const seeds = 2
	sums := map[string]*ClassResult{"all": {}}
	for seed := range int64(seeds) {
		workload := change(competingSite(seed + 1))
		workload.Placement.AdaptToDelay = adaptToDelay
		results := Run(workload)
		results.Classes["all"] = &results.All
		for name, r := range results.Classes {
			if sums[name] == nil {
				sums[name] = &ClassResult{}
			}
			sums[name].add(r)
		}
	}
	return sums
}

// compare runs a workload without and with Config.AdaptToDelay and logs the results.
func compare(t *testing.T, change func(Workload) Workload) (without, with map[string]*ClassResult) {
	without, with = runSeeds(false, change), runSeeds(true, change)
	for _, name := range []string{"quick", "small", "long", "all"} {
		for i, r := range []*ClassResult{without[name], with[name]} {
			t.Logf("%-5s %-7s %v, %d late, %d refused, %.0f CPU seconds in time", name, [...]string{"without", "with"}[i], r, r.Late, r.Refused, r.CPUSeconds)
		}
	}
	return without, with
}

// Guards against urgent jobs that are late during a burst of long jobs, because their tasks are
// returned again and again by workers that other entry instances have filled meanwhile, and against
// a remedy at the expense of other jobs.
func TestBurstWithDelayedSummaries(t *testing.T) {
	t.Parallel()
	// maxUrgentLate is the part of the late urgent jobs that may remain.
	const maxUrgentLate = 0.8
	without, with := compare(t, func(w Workload) Workload { return w })
	before, after := without["quick"].Late+without["small"].Late, with["quick"].Late+with["small"].Late
	if float64(after) > maxUrgentLate*float64(before) {
		t.Errorf("%d urgent jobs late, %d without the adaptation", after, before)
	}
	if with["all"].CPUSeconds < without["all"].CPUSeconds {
		t.Errorf("%.0f CPU seconds of jobs in time, %.0f without the adaptation", with["all"].CPUSeconds, without["all"].CPUSeconds)
	}
}

// Guards against an adaptation that costs jobs of any class while there is room.
func TestAdaptationInCalm(t *testing.T) {
	t.Parallel()
	// tolerance is the difference of two shares that the random choices alone can make.
	const tolerance = 0.005
	without, with := compare(t, calm)
	for class, r := range with {
		if before := without[class]; r.share(r.InTime) < before.share(before.InTime)-tolerance {
			t.Errorf("%s: %.3f in time, %.3f without the adaptation", class, r.share(r.InTime), before.share(before.InTime))
		}
	}
}

// Guards against an adaptation that costs work during a burst although load summaries are fresh.
func TestAdaptationWithFreshSummaries(t *testing.T) {
	t.Parallel()
	const minWork = 0.99 // the random choices alone make the rest of the difference
	without, with := compare(t, fastLinks)
	if with["all"].CPUSeconds < minWork*without["all"].CPUSeconds {
		t.Errorf("%.0f CPU seconds of jobs in time, %.0f without the adaptation", with["all"].CPUSeconds, without["all"].CPUSeconds)
	}
}
