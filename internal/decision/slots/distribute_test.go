package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// spreadMachine returns a machine of 8 slots with two entry instances whose
// grants have been taken.
func spreadMachine() *Machine {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 2)
	m.Attach(0, entryPeer(1), 1, 2)
	m.SetBackend(0, &wire.Backend{Slots: 8})
	return m
}

// recalls drains the actions and sums up the credits asked back.
func recalls(m *Machine) int {
	n := 0
	for _, a := range m.Actions() {
		if r, ok := a.(Recall); ok {
			n += r.Count
		}
	}
	return n
}

// TestRecallsPart guards against a sidecar that takes all waiting tasks of a
// summary upon itself: each one of a fleet then recalls credits for the same
// tasks, and most of them come back unused.
func TestRecallsPart(t *testing.T) {
	m := spreadMachine()
	d := demandOf("seat", 1, 1, 100)
	d.Waiting, d.TotalSlots = 5, 80
	m.Demand(time.Millisecond, entryPeer(0).Process, []wire.Demand{d})
	if n := recalls(m); n != 1 {
		t.Fatalf("%d credits recalled for 5 tasks on 8 of 80 slots, want 1", n)
	}
}

// TestFreeSlotsUnderDemand guards against idle slots that are all granted in
// advance at times of demand, so that the next job has to recall them, and
// against slots that stay back when the demand has ended.
func TestFreeSlotsUnderDemand(t *testing.T) {
	m := spreadMachine()
	grants := m.Grants(0, entryPeer(0).Process)
	if len(grants) != 4 {
		t.Fatalf("%d grants to the first of two entry instances without demand, want 4", len(grants))
	}
	d := demandOf("seat", 1, 1, 100)
	d.Waiting = 1
	m.Demand(0, entryPeer(1).Process, []wire.Demand{d})
	m.Demand(0, entryPeer(1).Process, nil)
	var back []wire.Credit
	for _, g := range grants {
		back = append(back, g.Credit)
	}
	m.Returned(0, entryPeer(0).Process, back)
	if _, free, _ := m.Load(entryPeer(0).Process); free != 4 {
		t.Fatalf("%d slots free after demand, want the 4 returned ones", free)
	}
	d.Waiting = 3
	recalls(m)
	m.Demand(0, entryPeer(0).Process, []wire.Demand{d})
	if n := len(m.Grants(0, entryPeer(0).Process)); n != 3 || recalls(m) != 0 {
		t.Fatalf("%d grants for 3 waiting tasks with 4 free slots, or a recall", n)
	}
	later := DefaultClassMemory + time.Millisecond
	m.Demand(0, entryPeer(0).Process, nil)
	m.Tick(later)
	if _, free, _ := m.Load(entryPeer(0).Process); free != 0 {
		t.Fatalf("%d slots free without demand, want 0", free)
	}
}
