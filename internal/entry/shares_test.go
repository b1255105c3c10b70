package entry

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestAmountShares guards against a status that does not report the decrease of a
// limit as incomplete while more than the new total is in use or usable, and
// against one that does not show the share of a dead holder as held.
func TestAmountShares(t *testing.T) {
	l := limit.Limit{Name: "limit/kiln/concurrency", Dimension: limit.Concurrency, Total: 4}
	state := func(share, used int64) wire.ShareState {
		return wire.ShareState{Limit: l.Name, Process: "a.1", Share: share, Used: used}
	}
	for _, x := range []struct {
		states   []wire.ShareState
		held     int64
		lowering bool
	}{
		{[]wire.ShareState{state(2, 1), state(2, 2)}, 0, false},
		{[]wire.ShareState{state(3, 3)}, 1, false},
		{[]wire.ShareState{state(1, 5), state(3, 0)}, 0, true},
		{[]wire.ShareState{state(-5, 0), state(9, 0)}, 0, true},
	} {
		a := amountShares(l, x.states)
		if above := describeExcess(a); a.Held != x.held || (above != "") != x.lowering {
			t.Errorf("%v: held %d, lowering %q", x.states, a.Held, above)
		}
	}
}
