package play

import (
	"testing"
	"time"
)

// grown is the load of the larger deposit site: 64 workers that take ten tasks
// each, 11 entry instances, bursts of the heaviest and of the most urgent kind.
func grown(scale float64) Load {
	return Load{
		Classes: []Class{
			{Name: "quick", Rank: 0, PerSecond: 206 * scale, Worth: 0.00485, Width: 8, MaxWidth: 32, Run: 60 * time.Millisecond, MilliCPU: 6000},
			{Name: "long", Rank: 2, PerSecond: 37.5 * scale, Worth: 0.0267, Width: 4, MaxWidth: 16, Run: 900 * time.Millisecond, MilliCPU: 6000},
			{Name: "small", Rank: 1, PerSecond: 600 * scale, Worth: 0.00167, Width: 2, MaxWidth: 8, Run: 200 * time.Millisecond, MilliCPU: 6000},
		},
		Bursts: []Burst{
			{"long", 4 * time.Second, 10 * time.Second, 2.5},
			{"quick", 14 * time.Second, 17600 * time.Millisecond, 1.8},
		},
		Entries: 11, Workers: 64, MilliCPU: 64000, SlowBy: 1.3,
		Delay: 1500 * time.Microsecond, Beat: 250 * time.Millisecond, Length: 20 * time.Second, Seed: 1,
	}
}

func TestFigures(t *testing.T) {
	for _, scale := range []float64{0.67, 1.1, 1.11} {
		for _, central := range []bool{false, true} {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				l := grown(scale)
				l.Seed = int64(scale * 100)
				if central {
					l.Entries, l.Delay, l.Beat = 1, 0, 50*time.Millisecond
				}
				o := Play(l)
				t.Logf("scale %.2f central %v: %v batches %d", scale, central, &o.All, o.Batches)
				for _, c := range l.Classes {
					t.Logf("   %-6s %v", c.Name, o.Classes[c.Name])
				}
			})
		}
	}
}
