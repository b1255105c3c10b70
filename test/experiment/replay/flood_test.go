package replay

import (
	"slices"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// Bounds of design section 1.3 for the other jobs during an overload, in relation to
// a run without the overload.
const (
	minKeptShare = 0.98 // share of the number of complete jobs
	maxP99Ratio  = 1.2  // ratio of the 99th percentiles of the response times
)

// replayResponseTimes replays jobs with the production machines. It returns the
// sorted response times of the complete jobs that don't belong to the overload.
func replayResponseTimes(t *testing.T, d load.Deployment, urgency string, jobs []load.Arrival) []time.Duration {
	t.Helper()
	lines := []load.TraceLine{{Type: load.LineHeader, Header: &load.TraceHeader{
		Format: load.TraceFormat, Deployment: d.Name, FloodUrgency: urgency}}}
	for _, a := range jobs {
		lines = append(lines, load.ArrivalLine(a))
	}
	res, err := Run(lines, 1, productionMachines(d))
	if err != nil {
		t.Fatal(err)
	}
	for task, n := range res.Starts {
		if n != 1 {
			t.Errorf("%v started %d times", task, n)
		}
	}
	var responseTimes []time.Duration
	for _, a := range jobs {
		if !a.Flood && res.Answers[a.Request].State == jobapi.JobComplete {
			responseTimes = append(responseTimes, res.ResponseTimes[a.Request])
		}
	}
	slices.Sort(responseTimes)
	return responseTimes
}

// TestOverloadKeepsOtherJobs guards against an overload that delays the jobs of other
// kinds because the sidecars learn late of the demand of those jobs, or because the
// reserved slots are not kept free for them.
func TestOverloadKeepsOtherJobs(t *testing.T) {
	for urgency, utilization := range map[string]float64{"low": 0.4, "critical": 0.25} {
		for seed := uint64(1); seed <= 2; seed++ {
			d := load.Torno(urgency)
			spec := load.Spec{Duration: 15 * time.Second, Utilization: utilization, MaxTasks: 8}
			plain := replayResponseTimes(t, d, urgency, load.Generate(d, spec, seed))
			spec.FloodLoad, spec.FloodFrom, spec.FloodTo = 10, 3*time.Second, 12*time.Second
			flooded := replayResponseTimes(t, d, urgency, load.Generate(d, spec, seed))
			kept := float64(len(flooded)) / float64(len(plain))
			ratio := float64(flooded[len(flooded)*99/100]) / float64(plain[len(plain)*99/100])
			t.Logf("urgency %s, seed %d: share of complete jobs kept %.3f, p99 ratio %.3f", urgency, seed, kept, ratio)
			if kept < minKeptShare || ratio > maxP99Ratio {
				t.Errorf("urgency %s, seed %d: share of complete jobs kept %.3f, p99 ratio %.3f", urgency, seed, kept, ratio)
			}
		}
	}
}
