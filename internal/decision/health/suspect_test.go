package health

import "testing"

// TestStreak guards against a worker that fails at once and gets a task of
// many jobs until it is ejected, and against ejections for a kind that fails
// on other workers, too, or for a single failure of a proven worker.
func TestStreak(t *testing.T) {
	f := NewFleet()
	bad, good := f.Join(), f.Join()
	if bad.Failed(0, "k") != Unchanged || !bad.Suspect() || bad.Rank(0) != RankFailing {
		t.Fatalf("suspect %v, rank %d after the first failure", bad.Suspect(), bad.Rank(0))
	}
	for range streakResults - 1 {
		good.Completed(0, "k", 1)
	}
	if bad.Consider(0) != Unchanged {
		t.Fatal("ejected before enough results of others are known")
	}
	good.Completed(0, "k", 1)
	if bad.Consider(0) != Ejected {
		t.Fatal("a worker that has only failed is not ejected")
	}
	if good.Failed(0, "k") != Unchanged || good.Suspect() {
		t.Error("one failure makes a proven worker suspect")
	}

	f = NewFleet()
	first, second := f.Join(), f.Join()
	for range streakResults {
		second.Completed(0, "poison", 1)
		second.Failed(0, "poison")
	}
	if first.Failed(0, "poison") != Unchanged || first.Consider(0) != Unchanged {
		t.Error("ejected for a kind that fails on others, too")
	}
	first.Completed(0, "poison", 1)
	if first.Suspect() {
		t.Error("suspect after a completed task")
	}
}
