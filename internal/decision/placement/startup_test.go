package placement

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// newStartingHarness returns a harness with an entry instance that has just started and knows no worker.
func newStartingHarness(t *testing.T) *harness {
	h := newHarness(t, 0)
	h.m = New(Config{WorkersSettle: DefaultWorkersSettle}, rand.New(rand.NewSource(1)))
	return h
}

// advance moves the time forward and calls Tick.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.m.Tick(h.now)
	h.collect()
}

// TestJobsHeldAtStart guards against jobs that an entry instance refuses in the first moments after a
// loss of power, although workers become known in time for them, and against less urgent jobs that take
// the first worker.
func TestJobsHeldAtStart(t *testing.T) {
	h := newStartingHarness(t)
	for id, rank := range map[string]int{"urgent": 0, "later": 2} {
		j := newJobSpec(id, 10, 200*ms)
		j.Rank = rank
		if a, ok := h.submit(j); !ok {
			t.Fatalf("%s is refused at once: %+v", id, a)
		}
	}
	h.advance(heldRetryInterval)
	h.heartbeat(0, 0, 32000)
	h.advance(heldRetryInterval)
	for _, runs := range h.takeRuns() {
		for _, r := range runs {
			if r.Run.Task.Job != "urgent" {
				t.Errorf("task %+v takes the room of a more urgent one", r.Run.Task)
			}
		}
	}
	h.heartbeat(1, 0, 32000)
	h.advance(heldRetryInterval)
	if runs := h.takeRuns()[process(1)]; len(runs) != 10 || runs[0].Run.Task.Job != "later" {
		t.Errorf("%d runs on the second worker, want the 10 of the job that was held", len(runs))
	}
	if len(h.answers) != 0 || h.m.startup.held != 0 {
		t.Errorf("answers %v, %d jobs are held", h.answers, h.m.startup.held)
	}
}

// TestHeldJobIsRefusedInTime guards against a job that is held until its caller's deadline, and against
// jobs that are held when no further worker is expected.
func TestHeldJobIsRefusedInTime(t *testing.T) {
	h := newStartingHarness(t)
	if _, ok := h.submit(newJobSpec("a", 1, 200*ms)); !ok {
		t.Fatal("the job is refused at once")
	}
	latest := h.m.jobs["a"].latestStart(0)
	for h.now < latest {
		h.advance(heldRetryInterval)
	}
	if !h.stats["a"].Held {
		t.Error("the answer does not tell that the job was held")
	}
	if a := h.answers["a"]; a.State != work.Refused || a.Reason != work.ReasonNoWorker {
		t.Errorf("the job ends as %+v, want a refusal when it can't end within its objective", a)
	}
	h.heartbeat(0, 0, 0)
	h.advance(DefaultWorkersSettle + ms)
	if _, ok := h.submit(newJobSpec("b", 10, 200*ms)); ok {
		t.Error("a job is held although all workers are known")
	}
	if h.m.startup.held != 0 || h.m.UnansweredJobs() != 0 {
		t.Errorf("%d jobs are held, %d unanswered", h.m.startup.held, h.m.UnansweredJobs())
	}
}

// TestHeldJobsAreBounded guards against callers that fill the memory of an instance without workers.
func TestHeldJobsAreBounded(t *testing.T) {
	h := newStartingHarness(t)
	held := 0
	for i := range maxHeldJobs + 10 {
		if _, ok := h.submit(newJobSpec(string(rune('a'+i)), 1, 200*ms)); ok {
			held++
		}
	}
	if held != maxHeldJobs {
		t.Errorf("%d jobs are held, want %d", held, maxHeldJobs)
	}
	for id := range h.m.jobs {
		h.m.CallerLeft(h.now, id)
	}
	if h.m.startup.held != 0 {
		t.Errorf("%d jobs are held after their callers have left", h.m.startup.held)
	}
}

// TestLargeJobHeldAtStart guards against a job that is refused for good as too large for any worker,
// because the first worker that became known is a small one.
func TestLargeJobHeldAtStart(t *testing.T) {
	h := newStartingHarness(t)
	h.heartbeat(0, 0, 32000)
	for id, milliCPU := range map[string]int64{"large": 64000, "huge": 512000} {
		j := newJobSpec(id, 1, 200*ms)
		j.Steps[0].Need.MilliCPU = milliCPU
		if a, ok := h.submit(j); !ok {
			t.Fatalf("%s is refused at once: %+v", id, a)
		}
	}
	h.advance(heldRetryInterval)
	h.heartbeatSized(1, 0, 64000, 64000)
	h.advance(heldRetryInterval)
	if runs := h.takeRuns()[process(1)]; len(runs) != 1 || runs[0].Run.Task.Job != "large" {
		t.Errorf("runs %v on the large worker, want the job that was held", runs)
	}
	h.advance(DefaultWorkersSettle + heldRetryInterval)
	if a := h.answers["huge"]; a.State != work.Refused || a.Reason != work.ReasonNeverFits {
		t.Errorf("the job that fits no worker ends as %+v", a)
	}
}

// TestHeldJobsOfOtherServices guards against a job that is held although there is room for it, because
// more urgent ones of a service without workers are planned again and again before it.
func TestHeldJobsOfOtherServices(t *testing.T) {
	h := newStartingHarness(t)
	for i := range maxFailedPlans + 2 {
		j := newJobSpec(string(rune('a'+i)), 1, 200*ms)
		j.Service = "other"
		h.submit(j)
	}
	last := newJobSpec("last", 1, 200*ms)
	last.Rank = 2
	h.submit(last)
	h.advance(heldRetryInterval)
	h.heartbeat(0, 0, 32000)
	h.advance(heldRetryInterval)
	if runs := h.takeRuns()[process(0)]; len(runs) != 1 {
		t.Errorf("%d runs on the worker, want that of the held job of its service", len(runs))
	}
}
