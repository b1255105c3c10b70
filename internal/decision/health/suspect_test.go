package health

import "testing"

// TestConsecutiveFailures guards against a worker that fails every task immediately
// and receives tasks of many jobs before it is ejected. It also guards against
// ejections for a kind that fails on other workers too, and against a single
// failure that makes a worker suspect that has completed tasks before.
func TestConsecutiveFailures(t *testing.T) {
	f := NewFleet()
	bad, good := f.Join(), f.Join()
	if bad.RecordFailed(0, "k") != Unchanged || !bad.Suspect() || bad.Rank(0) != RankFailing {
		t.Fatalf("suspect %v, rank %d after the first failure", bad.Suspect(), bad.Rank(0))
	}
	for range suspectMinResults - 1 {
		good.RecordCompleted(0, "k", 1)
	}
	if bad.EvaluateSuspect(0) != Unchanged {
		t.Fatal("worker was ejected before enough results of other workers are known")
	}
	good.RecordCompleted(0, "k", 1)
	if bad.EvaluateSuspect(0) != Ejected {
		t.Fatal("a worker with failures only was not ejected")
	}
	if good.RecordFailed(0, "k") != Unchanged || good.Suspect() {
		t.Error("one failure made a worker suspect that has completed tasks")
	}

	f = NewFleet()
	first, second := f.Join(), f.Join()
	for range suspectMinResults {
		second.RecordCompleted(0, "poison", 1)
		second.RecordFailed(0, "poison")
	}
	if first.RecordFailed(0, "poison") != Unchanged || first.EvaluateSuspect(0) != Unchanged {
		t.Error("worker was ejected for a kind that also fails on other workers")
	}
	first.RecordCompleted(0, "poison", 1)
	if first.Suspect() {
		t.Error("worker is still suspect after a completed task")
	}
}
