package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestReserve guards against a reserve that costs a burst a slot although no
// more urgent work is about, and against one that an overload or less urgent
// work uses up.
func TestReserve(t *testing.T) {
	low, high := demandOf("low", 1, 0, 100), demandOf("high", 4, 2, 100)
	for _, c := range []struct {
		name   string
		urgent bool
		after  time.Duration
		free   int
	}{
		{"burst", false, overloadAfter / 2, 0},
		{"overload", false, 2 * overloadAfter, 1},
		{"burst beside urgent work", true, overloadAfter / 2, 1},
	} {
		m := New(Config{}, rand.New(rand.NewSource(1)))
		for i := range 2 {
			m.Attach(0, entryPeer(i), 1, 2)
		}
		e, other := entryPeer(0).Process, entryPeer(1).Process
		low.Waiting = 100
		for now := time.Duration(0); now <= c.after; now += backlogGap / 2 {
			m.Demand(now, e, []wire.Demand{low})
		}
		if c.urgent {
			high.Waiting = 1
			m.Demand(c.after, other, []wire.Demand{high})
			m.Demand(c.after, other, nil)
		}
		// Another class counts, so that low exceeds its share with all slots.
		normal := demandOf("normal", 1, 0, 100)
		normal.Waiting = 1
		m.Demand(c.after, other, []wire.Demand{normal})
		m.Demand(c.after, other, nil)
		m.SetBackend(c.after, &wire.Backend{Slots: 8})
		if c.name == "overload" {
			normal.Waiting = 1
			m.Demand(c.after, other, []wire.Demand{normal})
			if g := m.Grants(c.after, other); len(g) != 1 || !g[0].Reserved {
				t.Errorf("%s: grants from the reserve %+v", c.name, g)
			}
			m.Detach(c.after, other)
		}
		if got := m.free(); got != c.free {
			t.Errorf("%s: %d slots free, want %d", c.name, got, c.free)
		}
	}
}
