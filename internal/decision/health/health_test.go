package health

import (
	"testing"
	"time"
)

// TestEjection guards against a worker that fails fast and stays in use, against
// more ejections than allowed, and against the ejection of a worker for a kind
// that fails on all workers.
func TestEjection(t *testing.T) {
	f := NewFleet()
	bad, worse, good := f.Join(), f.Join(), f.Join()
	for range 20 {
		good.RecordCompleted(0, "k", 1)
		good.RecordFailed(0, "poison")
	}
	for range 20 {
		if bad.RecordFailed(0, "poison") != Unchanged {
			t.Fatal("worker was ejected for a kind that also fails on other workers")
		}
	}
	for range 10 {
		good.RecordCompleted(0, "k", 1)
	}
	n := 0
	for ; bad.RecordFailed(0, "k") == Unchanged && n < 100; n++ {
	}
	if n > 20 || bad.Rank(0) != RankEjected {
		t.Fatalf("rank %d after %d failures, want an ejection within 20", bad.Rank(0), n)
	}
	for range 20 {
		worse.RecordFailed(0, "k")
	}
	if worse.Rank(0) != RankFailing {
		t.Errorf("rank %d of a second failing worker of three, want RankFailing", worse.Rank(0))
	}
	now := minBackoff
	if bad.Rank(now) != RankProbe {
		t.Fatalf("no probe is due after %v", now)
	}
	bad.StartProbe()
	bad.RecordFailed(now, "k")
	if at, _ := bad.NextProbe(); at != now+2*minBackoff {
		t.Errorf("next probe at %v, want the backoff doubled", at)
	}
	now += 2 * minBackoff
	bad.StartProbe()
	if bad.RecordCompleted(now, "k", 1) != Readmitted || bad.Rank(now) != RankHealthy {
		t.Errorf("rank %d after a successful probe, want RankHealthy", bad.Rank(now))
	}
}

// TestBudget guards against retries above 10% of the starts of the last 10 s.
func TestBudget(t *testing.T) {
	b := RetryBudget{Percent: DefaultRetryPercent}
	for range 200 {
		b.RecordStart(0)
	}
	n := 0
	for b.TryRetry(time.Second) {
		n++
	}
	if n != 20 || b.TryRetry(9*time.Second) || !b.TryRetry(12*time.Second) {
		t.Errorf("%d retries after 200 starts, want 20 and none until the window has passed", n)
	}
}
