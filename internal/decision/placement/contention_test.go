package placement

import "testing"

// Guards against tasks that leave a rack which is hardly fuller than the others. Their longer runs
// take more room there than they leave on the rack.
func TestContentionCountsTheLongerRun(t *testing.T) {
	for name, c := range map[string]struct {
		near, away int64 // free thousandths of a core of 32000
		want       bool
	}{
		"a hot rack":                     {1600, 16000, true},
		"full servers":                   {1600, 4000, false},
		"others are fuller":              {4000, 1600, false},
		"room on the rack":               {16000, 32000, false},
		"fuller by more than the factor": {0, 11000, true},
	} {
		h := newRackHarness(t, 1.5, "a", "b")
		h.beat(0, c.near)
		h.beat(1, c.away)
		if got := h.m.isContended(rackKey{info(0).Service, "a"}); got != c.want {
			t.Errorf("%s: contended %v, want %v", name, got, c.want)
		}
	}
}
