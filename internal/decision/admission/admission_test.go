package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestDecide guards against refusing what can be done in time, and against
// admitting what can't.
func TestDecide(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	job := Job{Configured: true, KnownTeam: true, KnownKind: true, Deadline: 10 * time.Second,
		Work: 4 * time.Second, Longest: time.Second, Backlog: 30 * time.Second, Slots: 8, Share: 0.5}
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused: %+v", r)
	}
	job.Backlog = 40 * time.Second
	r := Decide(job, rnd)
	if r.Reason != jobapi.ReasonDeadline || r.Retry < 5*time.Second || r.Retry > 15*time.Second {
		t.Errorf("got %+v, want a refusal with a delay of 10 s ± 50%%", r)
	}
	job.Running = 8
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused although the class runs on more slots: %+v", r)
	}
	job.Slots, job.Running = 0, 0
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused without known slots: %+v", r)
	}
}
