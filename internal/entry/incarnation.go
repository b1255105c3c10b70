package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// untilNextTick returns the time until the next tick if no input arrives before.
// After an input, the core loop ticks if nextTick has passed.
func (c *core) untilNextTick(now time.Duration) time.Duration {
	if c.machine.Unanswered() > 0 {
		return c.nextTick - now
	}
	return c.nextTick - now + idleTickInterval - tickInterval
}

// detectPause returns the current time and detects a pause of the process. An
// incarnation that was paused for longer than its self-lease may have been declared
// dead, so detectPause starts a new one.
func (c *core) detectPause() time.Duration {
	now := c.now()
	if gap := now - c.lastWakeTime; c.lastWakeTime > 0 && gap > c.e.cfg.SelfLease {
		c.e.log(event.EntryLoopPaused, "gap", gap)
		c.restartIncarnation(now)
	}
	c.lastWakeTime = now
	return now
}

// restartIncarnation ends the incarnation and starts a new one. The machine
// answers the unanswered jobs of the old incarnation with the known task states.
func (c *core) restartIncarnation(now time.Duration) {
	old := *c.self.Load()
	c.machine.Abandon(now)
	c.executeActions(now)
	c.retireMachine(old)
	c.recordHolderSidecars(old, c.attachedSidecarRefs())
	for p := range c.attachedSidecars {
		c.removeSidecar(p)
	}
	c.startIncarnation(now)
	c.e.log(event.EntryIncarnationEnded, "old", old.String(), "new", c.self.Load().String())
}

// retireMachine keeps the machine of an ended incarnation, which still answers
// queries, and removes another one if too many are kept.
func (c *core) retireMachine(p ident.Process) {
	if len(c.retiredMachines) >= maxRetiredMachines {
		for q := range c.retiredMachines {
			delete(c.retiredMachines, q)
			break
		}
	}
	c.retiredMachines[p] = c.machine
}

// checkSelfLease suspends dispatching while fewer than half of the attached
// sidecars have acknowledged a message of this incarnation within the self-lease.
func (c *core) checkSelfLease(now time.Duration) {
	acknowledged := 0
	for _, s := range c.attachedSidecars {
		if s.ackedSentAt >= 0 && now-s.ackedSentAt <= c.e.cfg.SelfLease {
			acknowledged++
		}
	}
	suspend := len(c.attachedSidecars) > 0 && 2*acknowledged < len(c.attachedSidecars)
	if suspend != c.suspended {
		c.suspended = suspend
		c.machine.SetSuspended(now, suspend)
		if suspend {
			c.e.log(event.EntrySelfLeaseLost, "fresh", acknowledged, "attached", len(c.attachedSidecars))
		} else {
			c.e.log(event.EntrySelfLeaseRegained, "fresh", acknowledged, "attached", len(c.attachedSidecars))
		}
	}
}
