package runner

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// TestWithheldHeartbeat guards against a loop without a pause while a heartbeat to a silent
// entry instance is withheld because its runs have not ended.
func TestWithheldHeartbeat(t *testing.T) {
	o := ownerWithRun(t, time.Second)
	c := o.client
	now := clock.SinceBoot()
	c.failingSince, c.plannedAt = now-time.Second, now
	c.sendHeartbeat()
	if o.Live() || c.lastSentAt < now {
		t.Fatal("the owner has not been dropped")
	}
	if due := c.dueAt(c.lastSentAt); due < c.lastSentAt+heartbeatInterval {
		t.Errorf("the next one is due %v after it", due-c.lastSentAt)
	}
}
