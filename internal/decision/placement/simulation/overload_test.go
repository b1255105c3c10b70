package simulation

import (
	"testing"
	"time"
)

// largeSite returns the workload of a large site that processes deposits: 64 workers
// that can run about ten tasks each at a time, 11 entry instances, and bursts of the
// class with the longest tasks and of the most urgent class. The usual job rates are
// multiplied by scale.
func largeSite(scale float64) Workload {
	return Workload{
		Classes: []JobClass{
			{Name: "quick", Rank: 0, JobsPerSecond: 206 * scale, Value: 0.00485, MeanTasks: 8, MaxTasks: 32, MeanRunTime: 60 * time.Millisecond, MeanMilliCPU: 6000},
			{Name: "long", Rank: 2, JobsPerSecond: 37.5 * scale, Value: 0.0267, MeanTasks: 4, MaxTasks: 16, MeanRunTime: 900 * time.Millisecond, MeanMilliCPU: 6000},
			{Name: "small", Rank: 1, JobsPerSecond: 600 * scale, Value: 0.00167, MeanTasks: 2, MaxTasks: 8, MeanRunTime: 200 * time.Millisecond, MeanMilliCPU: 6000},
		},
		Bursts: []Burst{
			{"long", 3 * time.Second, 9 * time.Second, 2.5},
			{"quick", 11 * time.Second, 14 * time.Second, 1.8},
		},
		EntryInstances: 11, Workers: 64, MilliCPU: 64000, SlowFactor: 1.3,
		NetworkDelay: 1500 * time.Microsecond, HeartbeatInterval: 250 * time.Millisecond, Duration: 15 * time.Second, Seed: 1,
	}
}

// Guards against two failures without an overload. Tasks wait at one worker while
// others have free capacity, because the load summaries of each entry instance are
// older than the newest starts of the others. A slow worker is considered slower
// with each task whose declared run time is too short.
func TestNormalLoad(t *testing.T) {
	t.Parallel()
	const want = 0.99
	workload := largeSite(0.67)
	workload.Bursts = nil
	results := Run(workload)
	for _, c := range workload.Classes {
		r := results.Classes[c.Name]
		t.Logf("%-6s %v", c.Name, r)
		if r.ValueShare() < want {
			t.Errorf("%s: value share %.3f, want at least %.2f", c.Name, r.ValueShare(), want)
		}
	}
}

// Guards against two failures in an overload by the least urgent class. Jobs are
// admitted that end too late for their callers and use capacity that other jobs
// need. Urgent jobs end late or are refused because of the overload.
func TestOverload(t *testing.T) {
	t.Parallel()
	const (
		// want is the value share that users of the larger sites require on days with
		// an overload.
		want       = 0.89
		wantUrgent = 0.98
		// wantOfCentral is the required part of the value share that a single entry
		// instance without network delays, and so with exact load summaries, achieves
		// with the same workers.
		wantOfCentral = 0.97
	)
	workload := largeSite(1.15)
	results := Run(workload)
	central := workload
	central.EntryInstances, central.NetworkDelay, central.HeartbeatInterval = 1, 0, 50*time.Millisecond
	centralResults := Run(central)
	t.Logf("all    %v, central %v", &results.All, &centralResults.All)
	for _, c := range workload.Classes {
		t.Logf("%-6s %v", c.Name, results.Classes[c.Name])
	}
	if got := results.All.ValueShare(); got < want || got < wantOfCentral*centralResults.All.ValueShare() {
		t.Errorf("value share %.3f, want at least %.2f and %.2f of %.3f", got, want, wantOfCentral, centralResults.All.ValueShare())
	}
	if got := results.Classes["quick"].ValueShare(); got < wantUrgent {
		t.Errorf("urgent jobs: value share %.3f, want at least %.2f", got, wantUrgent)
	}
}
