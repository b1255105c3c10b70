package runner

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestBatchForEarlierDescription guards against a batch that was on its way while the worker returned
// as another one, and that starts its runs there.
func TestBatchForEarlierDescription(t *testing.T) {
	for name, change := range map[string]func(*Report){
		"another kind":     func(r *Report) { r.Labels = []string{"b", "r1-1"} },
		"another rack":     func(r *Report) { r.Labels, r.Rack = []string{"a", "r1-2"}, "r1-2" },
		"another service":  func(r *Report) { r.Service = "svc-2" },
		"another capacity": func(r *Report) { r.Capacity.MilliCPU = 2000 },
		"new identifier":   func(r *Report) { r.ID = "i-2" },
		"nothing":          func(*Report) {},
	} {
		r := newSilentRunner(t)
		first := report(1, 1)
		first.Labels, first.Rack = []string{"a", "r1-1"}, "r1-1"
		handleReport(r, first)
		r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 5})
		c := newTestClient(r, clock.SinceBoot())
		chosenBy := r.load(clock.SinceBoot(), c.owner).Description
		next := first
		next.Incarnation = 2
		change(&next)
		handleReport(r, next)
		r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
		handleReport(r, next)
		r.supervisor.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 4})
		if !r.machine.AcceptsRuns() {
			t.Fatalf("%s: the worker accepts no runs", name)
		}
		now := clock.SinceBoot()
		for i, description := range []uint64{chosenBy, r.load(now, c.owner).Description} {
			batch := wire.RunBatch{Entry: c.owner.process, Sidecar: r.self.Process, Session: c.owner.Session(), SidecarClockMs: now.Milliseconds(), Sequence: uint64(i + 1), Description: description,
				Runs: []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: i + 1}, Need: work.Resources{MilliCPU: 1}, MaxWaitMs: 1000}}}
			if err := (&rpcService{r}).Run(&batch, &wire.RunReply{}); err != nil {
				t.Fatal(err)
			}
			if active := r.machine.NumActive(); active != i {
				t.Errorf("%s: %d runs start by description %d, want %d", name, active, description, i)
			}
		}
	}
}
