package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
)

// rackScenarios returns workloads in which tasks run faster on the racks of their data.
func rackScenarios() map[string]Workload {
	base := Workload{
		Classes: []JobClass{
			{Name: "quick", Rank: 0, JobsPerSecond: 120, Value: 1, MeanTasks: 2, MaxTasks: 8, MeanRunTime: 60 * time.Millisecond, MeanMilliCPU: 4000, HotShare: 0.1},
			{Name: "data", Rank: 1, JobsPerSecond: 90, Value: 1, MeanTasks: 3, MaxTasks: 8, MeanRunTime: 200 * time.Millisecond, MeanMilliCPU: 4000, HotShare: 0.1},
		},
		EntryInstances: 3, Workers: 16, Racks: 4, RemoteFactor: 1.5, MilliCPU: 32000, SlowFactor: 1,
		NetworkDelay: 1500 * time.Microsecond, HeartbeatInterval: 250 * time.Millisecond, Duration: 12 * time.Second,
	}
	hot := base.withLoad(1)
	hot.Classes[0].HotShare, hot.Classes[1].HotShare = 0.5, 0.6
	uneven := base.withLoad(0.8)
	uneven.SlowFactor = 2
	lost := hot.withLoad(0.7) // what the other racks can run
	lost.LostAt = 6 * time.Second
	hotFar := hot
	hotFar.RemoteFactor = 2
	full := base.withLoad(1)
	full.SlowFactor = 2
	return map[string]Workload{
		"hot rack": hot, "hot rack, twice as long elsewhere": hotFar,
		"uneven servers": uneven, "uneven and full servers": full, "rack lost": lost,
	}
}

// withLoad returns the workload with the job rates multiplied by scale.
func (w Workload) withLoad(scale float64) Workload {
	w.Classes = slices.Clone(w.Classes)
	for i := range w.Classes {
		w.Classes[i].JobsPerSecond *= scale
	}
	return w
}

// neverWait leaves all tasks where they are planned.
func neverWait(job *locality.Job) []locality.Decision {
	return make([]locality.Decision, len(job.Tasks))
}

// alwaysWait makes each task wait for room on its rack as long as the objective of the job
// allows.
func alwaysWait(job *locality.Job) []locality.Decision {
	decisions := make([]locality.Decision, len(job.Tasks))
	for i, t := range job.Tasks {
		until := min(t.Objective-t.Near.RunTime, t.Deadline-t.Away.Wait-t.Away.RunTime)
		if t.MaxWait >= 0 {
			until = min(until, t.MaxWait)
		}
		switch {
		case t.Near.Wait == 0:
			decisions[i].Choice = locality.Near
		case until > 0:
			decisions[i] = locality.Decision{Choice: locality.Wait, Until: until}
		default:
			decisions[i].Choice = locality.Elsewhere
		}
	}
	return decisions
}

// playRule returns the sum of the results of a workload over several seeds.
func playRule(workload Workload, decide func(*locality.Job) []locality.Decision) *ClassResult {
	const seeds = 6
	sum := &ClassResult{}
	for seed := range int64(seeds) {
		workload.Seed, workload.DecideWaits = seed+1, decide
		results := Run(workload)
		sum.add(&results.All)
	}
	return sum
}

// TestWaitsForRacks guards against waits that cost callers more than they gain: tasks that
// wait for a rack without prospect, and tasks that leave a rack on which room frees at once.
// The decision must be at least as good as the better of two fixed rules, by the ends of the
// jobs.
func TestWaitsForRacks(t *testing.T) {
	t.Parallel()
	for name, workload := range rackScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			never, always, decided := playRule(workload, neverWait), playRule(workload, alwaysWait), playRule(workload, nil)
			for rule, r := range map[string]*ClassResult{"never": never, "always": always, "decided": decided} {
				t.Logf("%-7s %v away %d mean response %v", rule, r, r.AwayRuns, r.MeanResponse())
			}
			if got, want := decided.MeanResponse(), min(never.MeanResponse(), always.MeanResponse()); got > want {
				t.Errorf("mean response %v, want at most %v", got, want)
			}
			if got, want := decided.share(decided.InTime), max(never.share(never.InTime), always.share(always.InTime)); got < want {
				t.Errorf("share within the objective %.4f, want at least %.4f", got, want)
			}
		})
	}
}
