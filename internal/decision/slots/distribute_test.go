package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// newMachineWithTwoEntries returns a machine with 8 slots and two entry instances. The
// slots are granted evenly to the entry instances.
func newMachineWithTwoEntries() *Machine {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 2)
	m.Attach(0, entryPeer(1), 1, 2)
	m.SetBackend(0, &wire.Backend{Slots: 8})
	return m
}

// takeRecalledCredits takes the actions and returns the number of credits that they
// recall.
func takeRecalledCredits(m *Machine) int {
	n := 0
	for _, a := range m.Actions() {
		if r, ok := a.(Recall); ok {
			n += r.Count
		}
	}
	return n
}

// TestRecallForLocalPart guards against a sidecar that recalls credits for all waiting
// tasks of a summary. Each sidecar of a fleet would then recall credits for the same
// tasks, and most of these credits would be returned unused.
func TestRecallForLocalPart(t *testing.T) {
	m := newMachineWithTwoEntries()
	demand := classDemand("seat", 1, 1, 100)
	demand.Waiting, demand.TotalSlots = 5, 80
	m.SetDemand(time.Millisecond, entryPeer(0).Process, []wire.Demand{demand})
	if n := takeRecalledCredits(m); n != 1 {
		t.Fatalf("%d credits recalled for 5 tasks by a sidecar with 8 of 80 slots, want 1", n)
	}
}

// TestFreeSlotsAfterDemand guards against granting all idle slots in advance shortly
// after demand, so that the next job needs a recall. It also guards against slots that
// are still not granted ClassIdleTimeout after the last demand.
func TestFreeSlotsAfterDemand(t *testing.T) {
	m := newMachineWithTwoEntries()
	grants := m.TakeGrants(0, entryPeer(0).Process)
	if len(grants) != 4 {
		t.Fatalf("%d grants to the first of two entry instances without demand, want 4", len(grants))
	}
	demand := classDemand("seat", 1, 1, 100)
	demand.Waiting = 1
	m.SetDemand(0, entryPeer(1).Process, []wire.Demand{demand})
	m.SetDemand(0, entryPeer(1).Process, nil)
	var returned []wire.Credit
	for _, g := range grants {
		returned = append(returned, g.Credit)
	}
	m.ReturnCredits(0, entryPeer(0).Process, returned)
	if _, free, _ := m.CreditCounts(entryPeer(0).Process); free != 4 {
		t.Fatalf("%d slots free right after demand, want the 4 of the returned credits", free)
	}
	demand.Waiting = 3
	takeRecalledCredits(m)
	m.SetDemand(0, entryPeer(0).Process, []wire.Demand{demand})
	if n := len(m.TakeGrants(0, entryPeer(0).Process)); n != 3 || takeRecalledCredits(m) != 0 {
		t.Fatalf("%d grants for 3 waiting tasks with 4 free slots, want 3 and no recall", n)
	}
	later := DefaultClassIdleTimeout + time.Millisecond
	m.SetDemand(0, entryPeer(0).Process, nil)
	m.Tick(later)
	if _, free, _ := m.CreditCounts(entryPeer(0).Process); free != 0 {
		t.Fatalf("%d slots free after ClassIdleTimeout without demand, want 0", free)
	}
}

// TestOvertakenDemand guards against an old demand summary that replaces a newer one
// because its message was overtaken.
func TestOvertakenDemand(t *testing.T) {
	m := newMachineWithTwoEntries()
	owner := entryPeer(0).Process
	old, waiting := classDemand("old", 1, 1, 100), classDemand("waiting", 1, 1, 100)
	old.Waiting, waiting.Waiting = 1, 1
	m.SetNumberedDemand(0, owner, 2, []wire.Demand{waiting})
	m.SetNumberedDemand(0, owner, 1, []wire.Demand{old})
	if e := m.entries[owner]; len(e.demand) != 1 || e.demand[0].class.key != waiting.Class {
		t.Fatalf("demand after an older summary: %+v", e.demand)
	}
	m.SetNumberedDemand(0, owner, 3, nil)
	if e := m.entries[owner]; len(e.demand) != 0 {
		t.Fatalf("demand after a newer, empty summary: %+v", e.demand)
	}
}
