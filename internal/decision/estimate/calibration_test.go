package estimate

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// TestCalibration guards against predictions that keep a common factor of the
// declarations, and against those that follow the full deviation of a single
// declaration.
func TestCalibration(t *testing.T) {
	rnd := rand.New(rand.NewSource(3))
	var c Calibration
	if got := c.Predict(time.Second); got != time.Second {
		t.Errorf("without results: %v, want the declared 1 s", got)
	}
	const runTimeDeviation, declaredDeviation = 0.4, 0.4
	for range 3000 {
		run := 0.9 * math.Exp(runTimeDeviation*rnd.NormFloat64())
		declared := 2 * run * math.Exp(declaredDeviation*rnd.NormFloat64())
		c.Observe(time.Duration(declared*float64(time.Second)), time.Duration(run*float64(time.Second)))
	}
	usual := c.Predict(1800 * time.Millisecond)
	if usual < 800*time.Millisecond || usual > time.Second {
		t.Errorf("the mean declaration predicts %v, want 0.9 s", usual)
	}
	// Run times and declaration errors have equal variance, so the slope is 0.5.
	if ratio := float64(c.Predict(7200*time.Millisecond)) / float64(usual); ratio < 1.6 || ratio > 2.5 {
		t.Errorf("a declaration four times as long predicts %.2f times the run time, want 2", ratio)
	}
}
