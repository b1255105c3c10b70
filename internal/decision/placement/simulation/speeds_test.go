package simulation

import (
	"testing"
)

// unequalSpeeds returns the calm workload of competingSite for workers of unequal speeds, on which a
// few tasks take many times as long as the others. The usual job rates are multiplied by scale.
func unequalSpeeds(seed int64, scale float64) Workload {
	w := calm(fastLinks(competingSite(seed)))
	for i := range w.Classes {
		w.Classes[i].JobsPerSecond *= scale
	}
	w.Speeds = []float64{0.7, 0.7, 1.7}
	w.MaxRunTimeFactor = 0
	w.TailShare, w.TailFactor = 0.03, 7
	return w
}

// Guards against jobs that are refused at half the capacity, because a few tasks that take very long
// make fast workers seem slow, or because fast workers are busy although slow ones are free.
func TestUnequalSpeeds(t *testing.T) {
	t.Parallel()
	const want = 0.99
	for seed := range int64(2) {
		results := Run(unequalSpeeds(seed+1, 0.8))
		for name, r := range results.Classes {
			t.Logf("%-5s %v", name, r)
			if r.ValueShare() < want {
				t.Errorf("%s: value share %.3f, want at least %.2f", name, r.ValueShare(), want)
			}
		}
	}
}
