package dispatch

import (
	"testing"
	"time"
)

// TestTellOwed guards against work below its share that waits for the next
// traffic with sidecars that have no free slot: until then they grant the
// slots that end to the demand that they know.
func TestTellOwed(t *testing.T) {
	m := newMachine(nil)
	const workers = 8
	for n := range workers {
		attach(m, 0, process(n), 2)
		m.Grant(0, process(n), grants(0, 2))
	}
	told := func(now time.Duration, n, tasks int, kind string) int {
		m.Submit(now, id(n), request(kind, tasks))
		count := 0
		for _, a := range m.Actions() {
			if _, ok := a.(TellDemand); ok {
				count++
			}
		}
		return count
	}
	told(0, 1, 2*workers, "long") // takes all slots
	if n := told(0, 2, 1, "quick"); n < 1 || n > 1+tellExtra {
		t.Errorf("%d sidecars told of one quick task", n)
	}
	now := 2 * tellGap
	if n := told(now, 3, 4*workers, "long"); n != 0 {
		t.Errorf("%d sidecars told of work above its share", n)
	}
	if n := told(now, 4, 4*workers, "quick"); n != workers {
		t.Errorf("%d of %d sidecars told", n, workers)
	}
	if n := told(now, 5, 4*workers, "quick"); n != 0 {
		t.Errorf("%d sidecars told again at once", n)
	}
}
