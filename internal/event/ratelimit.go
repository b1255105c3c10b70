package event

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// linesPerSecond is the rate of lines of one event under load, and burst the
	// number of lines after a quiet time.
	linesPerSecond = 25
	burst          = 50
)

// budget is the token bucket of one event.
type budget struct {
	tokens  float64
	at      time.Time
	omitted int
}

var budgets struct {
	sync.Mutex
	of map[*Event]*budget
}

// Limited writes an event unless its budget is spent. The next line that is
// written tells under "omitted" how many were left out.
func Limited(e *Event, pairs ...any) {
	omitted, ok := spend(e, time.Now())
	if !ok {
		return
	}
	if omitted > 0 {
		pairs = append(pairs, "omitted", omitted)
	}
	write(klog.Background(), e, pairs)
}

// spend takes a token and returns the number of lines left out before.
func spend(e *Event, now time.Time) (omitted int, ok bool) {
	budgets.Lock()
	defer budgets.Unlock()
	b := budgets.of[e]
	if b == nil {
		b = &budget{tokens: burst, at: now}
		if budgets.of == nil {
			budgets.of = map[*Event]*budget{}
		}
		budgets.of[e] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*linesPerSecond, burst)
	b.at = now
	if b.tokens < 1 {
		b.omitted++
		return 0, false
	}
	b.tokens--
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}
