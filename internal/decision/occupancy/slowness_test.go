package occupancy

import (
	"testing"
	"time"
)

// TestSlownessOfFewLongRuns guards against a worker that seems slow because three in a hundred runs
// take seven times as long as estimated, and against one that is not found to be slow or fast.
func TestSlownessOfFewLongRuns(t *testing.T) {
	const (
		estimateMs = 100
		longEvery  = 33
		longFactor = 7.0
		// maxError is the largest factor by which the average may be off after the first runs.
		maxError = 1.25
		settled  = 100 // runs
	)
	for _, speedRatio := range []float64{0.6, 1, 1.45} {
		var l loadTracker
		now := time.Duration(0)
		for i := range 1000 {
			ratio := speedRatio
			if i%longEvery == longEvery-1 {
				ratio *= longFactor
			}
			r := &run{startedAt: now}
			r.EstimateMs = estimateMs
			now += time.Duration(ratio * estimateMs * float64(time.Millisecond))
			l.recordDone(r, now)
			if got := l.averageSlowness(now); i > settled && (got > speedRatio*maxError || got < speedRatio/maxError) {
				t.Fatalf("slowness %.2f after run %d, want about %.2f", got, i, speedRatio)
			}
		}
	}
}
