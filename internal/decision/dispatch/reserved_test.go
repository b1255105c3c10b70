package dispatch

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestReservedCredit guards against a reserved credit that is spent on an
// overloading class after the task that it was granted for has started elsewhere.
func TestReservedCredit(t *testing.T) {
	m := newMachine(nil)
	attach(m, 0, process(1), 4)
	m.Grant(0, process(1), grants(0, 3))
	m.Submit(0, id(1), request("long", 9))
	if n := len(startsBySidecar(m.Actions())[process(1)]); n != 3 {
		t.Fatalf("%d starts of the overloading class, want 3", n)
	}
	reserved := wire.Grant{Credit: wire.NewCredit(9, 9), Class: wire.Class{Team: "a", Kind: "quick"}, Reserved: true}
	m.Grant(time.Millisecond, process(1), []wire.Grant{reserved})
	if a := startsBySidecar(m.Actions()); len(a) != 0 {
		t.Fatalf("the reserved credit was spent on the overloading class: %v", a)
	}
	m.Submit(2*time.Millisecond, id(2), request("quick", 1))
	if s := singleStart(t, m, process(1)); s.Class.Kind != "quick" || s.Credit != reserved.Credit {
		t.Fatalf("started %+v", s)
	}
	reserved.Credit = wire.NewCredit(9, 10)
	m.Grant(3*time.Millisecond, process(1), []wire.Grant{reserved})
	m.Actions()
	m.Tick(3*time.Millisecond + reservedCreditTimeout)
	for _, a := range m.Actions() {
		if back, ok := a.(ReturnCredits); ok && len(back.Credits) == 1 && back.Credits[0] == reserved.Credit {
			return
		}
	}
	t.Fatal("an unused reserved credit was not returned")
}
