package dispatch

import (
	"testing"
	"time"
)

// TestDemandBelowShare guards against missing demand messages to sidecars without
// free slots when a class below its share has new tasks. Such a sidecar would
// learn of the demand only with its next request or reply, and until then would
// grant the slots that become free to the demand that it already knows.
func TestDemandBelowShare(t *testing.T) {
	m := newMachine(nil)
	const workers = 8
	for n := range workers {
		attach(m, 0, process(n), 2)
		m.Grant(0, process(n), grants(0, 2))
	}
	sentDemand := func(now time.Duration, n, tasks int, kind string) int {
		m.Submit(now, id(n), request(kind, tasks))
		count := 0
		for _, a := range m.Actions() {
			if _, ok := a.(SendDemand); ok {
				count++
			}
		}
		return count
	}
	sentDemand(0, 1, 2*workers, "long") // takes all slots
	if n := sentDemand(0, 2, 1, "quick"); n < 1 || n > 1+extraDemandMessages {
		t.Errorf("%d demand messages for one quick task", n)
	}
	now := 2 * demandMessageInterval
	if n := sentDemand(now, 3, 4*workers, "long"); n != 0 {
		t.Errorf("%d demand messages for a class above its share", n)
	}
	if n := sentDemand(now, 4, 4*workers, "quick"); n != workers {
		t.Errorf("demand messages to %d of %d sidecars", n, workers)
	}
	if n := sentDemand(now, 5, 4*workers, "quick"); n != 0 {
		t.Errorf("%d demand messages repeated within the minimum interval", n)
	}
}
