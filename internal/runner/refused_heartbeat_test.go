package runner

import (
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// TestRetryAfterRefusedHeartbeat guards against sidecars that find an entry instance late when it starts,
// because its machine has refused their connections a moment before.
func TestRetryAfterRefusedHeartbeat(t *testing.T) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	c := newTestClient(r, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	silent, refused := errors.New("no answer"), errors.Annotate(syscall.ECONNREFUSED, "dial")
	var delays []time.Duration
	for _, err := range []error{silent, silent, refused, refused, silent} {
		c.lastSentAt = now
		c.handleFailure(now, err)
		delays = append(delays, c.dueAt(now)-now)
	}
	if delays[1] <= delays[0] || delays[2] != firstRefusedRetryDelay || delays[3] <= delays[2] || delays[4] <= delays[3] {
		t.Errorf("delays %v: want longer ones after each failure, and a short one after the first refused connection", delays)
	}
}
