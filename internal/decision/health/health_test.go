package health

import (
	"testing"
	"time"
)

// TestEjection guards against a fast failer that stays in use, against more
// ejections than allowed, and against ejecting for a kind that fails anywhere.
func TestEjection(t *testing.T) {
	f := NewFleet()
	bad, worse, good := f.Join(), f.Join(), f.Join()
	for range 20 {
		good.Completed(0, "k", 1)
		good.Failed(0, "poison")
	}
	for range 20 {
		if bad.Failed(0, "poison") != Unchanged {
			t.Fatal("ejected for a kind that fails on the others, too")
		}
	}
	for range 10 {
		good.Completed(0, "k", 1)
	}
	n := 0
	for ; bad.Failed(0, "k") == Unchanged && n < 100; n++ {
	}
	if n > 20 || bad.Rank(0) != RankEjected {
		t.Fatalf("rank %d after %d failures", bad.Rank(0), n)
	}
	for range 20 {
		worse.Failed(0, "k")
	}
	if worse.Rank(0) != RankFailing {
		t.Errorf("rank %d of a second failing worker of three", worse.Rank(0))
	}
	now := firstBackoff
	if bad.Rank(now) != RankProbe {
		t.Fatalf("no probe after %v", now)
	}
	bad.Probe()
	bad.Failed(now, "k")
	if at, _ := bad.Until(); at != now+2*firstBackoff {
		t.Errorf("next probe at %v", at)
	}
	now += 2 * firstBackoff
	bad.Probe()
	if bad.Completed(now, "k", 1) != Readmitted || bad.Rank(now) != RankHealthy {
		t.Errorf("rank %d after a good probe", bad.Rank(now))
	}
}

// TestBudget guards against retries above 10% of the starts of 10 s.
func TestBudget(t *testing.T) {
	b := Budget{Percent: DefaultRetryPercent}
	for range 200 {
		b.Started(0)
	}
	n := 0
	for b.Retry(time.Second) {
		n++
	}
	if n != 20 || b.Retry(9*time.Second) || !b.Retry(12*time.Second) {
		t.Errorf("%d retries after 200 starts", n)
	}
}
