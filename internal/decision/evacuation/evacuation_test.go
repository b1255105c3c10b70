package evacuation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against a state that an older one replaces, and against one from another process that
// uses up the memory or that no later one replaces.
func TestStates(t *testing.T) {
	newer, _ := NewState(8, []string{"b", "a", "b"})
	older, _ := NewState(7, nil)
	if older.Replaces(newer) || newer.Replaces(newer) || !newer.Replaces(older) {
		t.Error("a state of a lower or equal revision replaces another one")
	}
	if newer.Allows("a") || !newer.Allows("c") || fmt.Sprint(newer.Zones, newer.Without(older)) != "[a b] [a b]" {
		t.Errorf("%+v", newer)
	}
	var names []string
	for i := range MaxZones + 1 {
		names = append(names, fmt.Sprint(i))
	}
	if kept, complete := NewState(1, names); complete || kept.Validate() != nil {
		t.Errorf("%d of %d zones kept, complete %v", len(kept.Zones), len(names), complete)
	}
	for _, s := range []State{{}, {Revision: maxRevision + 1}, {Revision: 1, Zones: names}, {Revision: 1, Zones: []string{""}},
		{Revision: 1, Zones: []string{strings.Repeat("x", MaxZoneBytes+1)}}} {
		if s.Validate() == nil {
			t.Errorf("%d zones at %d accepted", len(s.Zones), s.Revision)
		}
	}
}

// Guards against a worker that gets all its work back at once, none of a resource of which it has
// little, or never the whole of its capacity.
func TestRamp(t *testing.T) {
	capacity := work.Resources{MilliCPU: 8000, MemoryMB: 80, Accelerators: 1}
	var r Ramp
	if r.Limit(0, capacity) != capacity {
		t.Error("a capacity is limited without an evacuation")
	}
	r.Start(time.Minute)
	now, last := time.Minute, int64(0)
	for ; r.NextStep(now) > 0; now = r.NextStep(now) {
		limit := r.Limit(now, capacity)
		if limit.MilliCPU-last != 1000 || limit.Accelerators != 1 || r.Remaining(now) <= 0 {
			t.Errorf("limit %+v after %v", limit, now-time.Minute)
		}
		last = limit.MilliCPU
	}
	if grown := now - time.Minute; r.Limit(now, capacity) != capacity || grown < time.Second || grown > 10*time.Second {
		t.Errorf("limit %+v after %v", r.Limit(now, capacity), grown)
	}
}
