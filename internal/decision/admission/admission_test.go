package admission

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// TestDecide guards against refusing a job that can finish before its deadline,
// and against admitting one that can't.
func TestDecide(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	job := Job{Configured: true, KnownTeam: true, KnownKind: true, TimeToDeadline: 10 * time.Second,
		TotalRunTime: 4 * time.Second, LongestRunTime: time.Second, Backlog: 30 * time.Second, ServiceSlots: 8, GuaranteedShare: 0.5}
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused: %+v", r)
	}
	job.Backlog = 40 * time.Second
	r := Decide(job, rnd)
	if r.Reason != jobapi.ReasonDeadline || r.RetryAfter < 5*time.Second || r.RetryAfter > 15*time.Second {
		t.Errorf("got %+v, want a refusal with a delay of 10 s ± 50%%", r)
	}
	job.RunningTasks = 8
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused although the class uses more slots than its share: %+v", r)
	}
	job.ServiceSlots, job.RunningTasks = 0, 0
	if r := Decide(job, rnd); r.Reason != "" {
		t.Errorf("refused without known slots: %+v", r)
	}
}
