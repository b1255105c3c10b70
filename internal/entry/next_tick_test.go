package entry

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestPause guards against an idle core loop that wakes up 200 times a second,
// and against one that stays at the idle tick when a job has come.
func TestPause(t *testing.T) {
	a := (&site{t: t}).addEntry("a")
	c := newCore(&Entry{cfg: a.cfg, config: a.config, start: time.Now(), rpcLis: a.rpcLis})
	now := 3 * time.Millisecond
	c.dueTick = 5 * time.Millisecond
	if d := c.pause(now); d != 47*time.Millisecond {
		t.Fatalf("pause of %v without jobs, want 47ms", d)
	}
	id := ident.SubmissionPrefix(*c.self.Load(), 0) + "job"
	req := &jobapi.JobRequest{Team: "studio", Kind: "seat", Tasks: make([]jobapi.TaskRequest, 1)}
	if a := c.machine.Submit(now, id, req); a.State != jobapi.JobQueued {
		t.Fatalf("job is %s (%s)", a.State, a.Reason)
	}
	if d := c.pause(now); d != 2*time.Millisecond {
		t.Fatalf("pause of %v with a job, want 2ms", d)
	}
	c.machine.Cancel(now, id)
	if d := c.pause(now); d != 47*time.Millisecond {
		t.Fatalf("pause of %v after the job, want 47ms", d)
	}
}
