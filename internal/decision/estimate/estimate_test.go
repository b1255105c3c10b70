package estimate

import (
	"testing"
	"time"
)

// TestPrior guards against an extreme declaration or outliers that outweigh the
// results, and against a declaration that has no effect.
func TestPrior(t *testing.T) {
	k := New().Kind("k")
	k.SetDeclared(time.Second)
	if k.P50() != time.Second {
		t.Fatalf("without results: %v, want the declared 1 s", k.P50())
	}
	k.SetDeclared(4 * time.Second)
	for range priorResults {
		k.Observe(time.Second)
	}
	if got := k.P50(); got < 1990*time.Millisecond || got > 2010*time.Millisecond {
		t.Errorf("after 20 results: %v, want the geometric mean of 1 s and 4 s", got)
	}
	k.SetDeclared(time.Hour)
	for i := range 400 {
		run := time.Second
		if i%20 == 0 {
			run = time.Hour
		}
		k.Observe(run)
	}
	if got := k.P50(); got > 1200*time.Millisecond {
		t.Errorf("with outliers and a declaration of 1 h: %v, want at most 1.2 s", got)
	}
}

// TestSlowness guards against a single slow result that marks its worker as
// slow, and against a slow worker that is not detected.
func TestSlowness(t *testing.T) {
	var s Slowness
	for range 20 {
		s.Observe(1)
	}
	s.Observe(1000)
	if s.Ratio() > 2 {
		t.Errorf("ratio after one outlier: %v, want at most 2", s.Ratio())
	}
	for range 20 {
		s.Observe(5)
	}
	if s.Ratio() < 3 {
		t.Errorf("ratio of a slow worker: %v, want at least 3", s.Ratio())
	}
}
