package occupancy

import "testing"

// TestFreedSince guards against a worker whose room entry instances don't hear of after an overload, and
// against a second report of room that an earlier summary has reported, or that is gone again.
func TestFreedSince(t *testing.T) {
	full, queued := Room{Capacity: 16000, Free: 500}, Room{Capacity: 16000, Free: 9000, Queued: 2000}
	some, free := Room{Capacity: 16000, Free: 3000}, Room{Capacity: 16000, Free: 8000}
	for _, c := range []struct {
		name         string
		reported     Room
		now          Room
		wantFreed    bool
		wantHasSpace bool
	}{
		{"room after a full worker", full, free, true, true},
		{"room after a queue", queued, free, true, true},
		{"room that was reported", free, free, false, true},
		{"some room was reported", some, free, false, true},
		{"little room", full, some, false, false},
		{"a queue again", queued, queued, false, false},
		{"a worker without capacity", Room{}, Room{}, false, false},
	} {
		if got := c.now.FreedSince(c.reported); got != c.wantFreed {
			t.Errorf("%s: freed %v, want %v", c.name, got, c.wantFreed)
		}
		if got := c.now.Available(); got != c.wantHasSpace {
			t.Errorf("%s: available %v, want %v", c.name, got, c.wantHasSpace)
		}
	}
}
