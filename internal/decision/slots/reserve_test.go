package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestReserve guards against a reserve that keeps a slot from a burst although no class
// of higher rank is active. It also guards against an overload or less urgent work that
// uses up the reserve.
func TestReserve(t *testing.T) {
	low, high := classDemand("low", 1, 0, 100), classDemand("high", 4, 2, 100)
	for _, c := range []struct {
		name    string
		urgent  bool          // a more urgent class is active
		backlog time.Duration // duration of the backlog of the class low
		free    int           // expected number of free slots
	}{
		{"burst", false, overloadAfter / 2, 0},
		{"overload", false, 2 * overloadAfter, 1},
		{"burst beside urgent work", true, overloadAfter / 2, 1},
	} {
		m := New(Config{}, rand.New(rand.NewSource(1)))
		for i := range 2 {
			m.Attach(0, entryPeer(i), 1, 2)
		}
		flooded, other := entryPeer(0).Process, entryPeer(1).Process
		low.Waiting = 100
		for now := time.Duration(0); now <= c.backlog; now += maxBacklogGap / 2 {
			m.SetDemand(now, flooded, []wire.Demand{low})
		}
		if c.urgent {
			high.Waiting = 1
			m.SetDemand(c.backlog, other, []wire.Demand{high})
			m.SetDemand(c.backlog, other, nil)
		}
		// A second active class makes the class low exceed its share when it uses all
		// slots.
		normal := classDemand("normal", 1, 0, 100)
		normal.Waiting = 1
		m.SetDemand(c.backlog, other, []wire.Demand{normal})
		m.SetDemand(c.backlog, other, nil)
		m.SetBackend(c.backlog, &wire.Backend{Slots: 8})
		if c.name == "overload" {
			normal.Waiting = 1
			m.SetDemand(c.backlog, other, []wire.Demand{normal})
			if g := m.TakeGrants(c.backlog, other); len(g) != 1 || !g[0].Reserved {
				t.Errorf("%s: grants %+v, want one from the reserve", c.name, g)
			}
			m.Detach(c.backlog, other)
		}
		if got := m.freeSlots(); got != c.free {
			t.Errorf("%s: %d slots free, want %d", c.name, got, c.free)
		}
	}
}
