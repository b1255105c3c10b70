package placement

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestAdaptToDelay guards against choices and returns that do not follow the measured delay, and
// against a change of either without the setting.
func TestAdaptToDelay(t *testing.T) {
	for _, c := range []struct {
		adapt          bool
		delay          time.Duration
		wantRandomCost time.Duration
		wantReturns    int
	}{
		{false, 0, maxRandomCost, maxNoRoomEnds},
		{false, 30 * ms, maxRandomCost, maxNoRoomEnds},
		{true, 0, maxRandomCost, maxNoRoomEnds}, // nothing measured yet
		{true, ms, maxRandomCost, maxNoRoomEnds},
		{true, 20 * ms, 40 * ms, 2},
		{true, 80 * ms, maxAdaptedRandomCost, 1},
		{true, time.Hour, maxAdaptedRandomCost, 1}, // a pause
	} {
		m := &Machine{cfg: Config{AdaptToDelay: c.adapt}}
		if c.delay > 0 {
			m.delay.observe(c.delay)
		}
		if cost, returns := m.randomCostBound(), m.noRoomEndsBeforeWait(); cost != c.wantRandomCost || returns != c.wantReturns {
			t.Errorf("adapt %v, delay %v: random cost %v and %d returns, want %v and %d", c.adapt, c.delay, cost, returns, c.wantRandomCost, c.wantReturns)
		}
	}
}

// TestDelayMeasured guards against a delay that counts load summaries without the runs, and against
// runs that go on being returned on slow links.
func TestDelayMeasured(t *testing.T) {
	h := newHarness(t, 1)
	h.m.cfg.AdaptToDelay = true
	h.submit(newJobSpec("a", 1, 100*ms))
	for i, applied := range []uint64{0, 1 << 30} {
		h.now += 25 * ms
		h.m.SetLoad(h.now, process(0), wire.Load{
			Version: uint64(10 + i), AppliedSequence: applied, AcceptsRuns: true, Slowness: 1,
			Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16},
		})
	}
	if got := h.m.PlacementDelay(); got != 50*ms {
		t.Fatalf("delay %v, want that of the first summary with the run, 50ms", got)
	}
	for i := range 2 {
		runs := h.takeRuns()[process(0)]
		if len(runs) != 1 || runs[0].NoWait != (i == 0) {
			t.Fatalf("attempt %d: runs %+v, want one that waits from the second on", i+1, runs)
		}
		h.endRun(process(0), runs[0], work.NoRoom)
	}
}
