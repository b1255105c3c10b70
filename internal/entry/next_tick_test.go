package entry

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestUntilNextTick guards against an idle core loop that wakes up 200 times per
// second, and against a core loop that keeps the idle interval while it has an
// unanswered job.
func TestUntilNextTick(t *testing.T) {
	a := (&testCluster{t: t}).addEntry("a")
	c := newCore(&Entry{cfg: a.cfg, configSource: a.configSource, start: time.Now(), rpcListener: a.rpcListener})
	now := 3 * time.Millisecond
	c.nextTick = 5 * time.Millisecond
	if d := c.untilNextTick(now); d != 47*time.Millisecond {
		t.Fatalf("%v until the next tick without jobs, want 47ms", d)
	}
	id := ident.SubmissionPrefix(*c.self.Load(), 0) + "job"
	req := &jobapi.JobRequest{Team: "studio", Kind: "seat", Tasks: make([]jobapi.TaskRequest, 1)}
	if a := c.machine.Submit(now, id, req); a.State != jobapi.JobQueued {
		t.Fatalf("job is %s (%s)", a.State, a.Reason)
	}
	if d := c.untilNextTick(now); d != 2*time.Millisecond {
		t.Fatalf("%v until the next tick with a job, want 2ms", d)
	}
	c.machine.Cancel(now, id)
	if d := c.untilNextTick(now); d != 47*time.Millisecond {
		t.Fatalf("%v until the next tick after the job, want 47ms", d)
	}
}
