package runner

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestHeartbeatAfterOverload guards against an entry instance that refuses jobs for up to a second
// after an overload, because it has no runs at the worker and so hears late that there is room again.
func TestHeartbeatAfterOverload(t *testing.T) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	c := newTestClient(r, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	other := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{{Run: other, Need: work.Resources{MilliCPU: 1000}, MaxWaitMs: 1000}})
	r.machine.Actions()
	r.load(now, c.owner)
	c.lastSentAt = now
	if due := c.dueAt(now) - now; due < heartbeatInterval {
		t.Fatalf("a heartbeat is due after %v while the worker is full", due)
	}
	r.machine.StartAnswered(now, other, occupancy.Rejected, "test")
	r.machine.Actions()
	if due := c.dueAt(now) - now; due != earlyHeartbeatInterval {
		t.Errorf("a heartbeat is due after %v, want %v", due, earlyHeartbeatInterval)
	}
	r.load(now, c.owner)
	if due := c.dueAt(now) - now; due < heartbeatInterval {
		t.Errorf("a heartbeat is due after %v although the entry instance has been told", due)
	}
}

// TestWithheldRoomIsNotReported guards against a heartbeat to each entry instance every 100 ms during the
// ramp after an evacuation, because the room that is withheld counts as freed although no load summary
// tells of it.
func TestWithheldRoomIsNotReported(t *testing.T) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	c := newTestClient(r, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SetEvacuated(now, true)
	r.machine.SetEvacuated(now, false)
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, Need: work.Resources{MilliCPU: 125}, MaxWaitMs: 1000}})
	r.machine.Actions()
	r.load(now, c.owner)
	c.lastSentAt = now
	if due := c.dueAt(now) - now; due < heartbeatInterval {
		t.Errorf("a heartbeat is due after %v, but only withheld room is left", due)
	}
	now += time.Minute
	if due := c.dueAt(now); due != now {
		t.Errorf("a heartbeat is due after %v, want at once, because the room is not withheld any more", due-now)
	}
}
