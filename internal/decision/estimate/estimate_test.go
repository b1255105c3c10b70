package estimate

import (
	"testing"
	"time"
)

// TestPrior guards against a wild declaration or outliers that outweigh
// results, and against a declaration that counts for nothing.
func TestPrior(t *testing.T) {
	k := New().Kind("k")
	k.Declare(time.Second)
	if k.P50() != time.Second {
		t.Fatalf("without results: %v", k.P50())
	}
	k.Declare(4 * time.Second)
	for range priorResults {
		k.Observe(time.Second)
	}
	if got := k.P50(); got < 1990*time.Millisecond || got > 2010*time.Millisecond {
		t.Errorf("after 20 results: %v, want the geometric middle of 1 s and 4 s", got)
	}
	k.Declare(time.Hour)
	for i := range 400 {
		run := time.Second
		if i%20 == 0 {
			run = time.Hour
		}
		k.Observe(run)
	}
	if got := k.P50(); got > 1200*time.Millisecond {
		t.Errorf("with outliers and a wild declaration: %v", got)
	}
}

// TestSpeed guards against taking one slow result for a slow worker.
func TestSpeed(t *testing.T) {
	var s Speed
	for range 20 {
		s.Observe(1)
	}
	s.Observe(1000)
	if s.Ratio() > 2 {
		t.Errorf("one outlier gives a ratio of %v", s.Ratio())
	}
	for range 20 {
		s.Observe(5)
	}
	if s.Ratio() < 3 {
		t.Errorf("a slow worker has a ratio of %v", s.Ratio())
	}
}
