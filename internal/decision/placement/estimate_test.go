package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Guards against workers that look slow, and queues whose tasks look long, because the tasks run
// away from their rack.
func TestRunTimesElsewhere(t *testing.T) {
	for factor, estimateMs := range map[float64]int64{0: 400, 1.5: 600} {
		h := newRackHarness(t, factor, "b")
		for i := range 40 {
			h.submit(wanting(fmt.Sprint("j", i), 1))
			run := h.takeRuns()[process(0)][0]
			if i == 0 && run.EstimateMs != estimateMs {
				t.Errorf("factor %v: estimate of %d ms elsewhere, want %d", factor, run.EstimateMs, estimateMs)
			}
			h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: process(0), Ends: []wire.RunEnd{{Run: run.Run, RunMs: estimateMs}}})
			h.take()
			h.beat(0, 32000)
		}
		if got := h.m.calibration("q").Predict(400 * ms); got < 399*ms || got > 401*ms {
			t.Errorf("factor %v: %v predicted, want 400 ms", factor, got.Round(time.Millisecond))
		}
	}
}
