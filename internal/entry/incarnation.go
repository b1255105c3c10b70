package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// pause returns the time to the next tick if no input comes before. An input
// causes a tick as soon as one is due.
func (c *core) pause(now time.Duration) time.Duration {
	if c.machine.Unanswered() > 0 {
		return c.dueTick - now
	}
	return c.dueTick - now + idleInterval - tickInterval
}

// wake notices a pause of the process. An incarnation that was paused for
// longer than its lease may have been declared dead, so it ends.
func (c *core) wake() time.Duration {
	now := c.now()
	if gap := now - c.last; c.last > 0 && gap > c.e.cfg.SelfLease {
		c.e.log(event.EntryLoopPaused, "gap", gap)
		c.restart(now)
	}
	c.last = now
	return now
}

// restart ends the incarnation: its jobs are answered with what is known,
// and a new incarnation begins.
func (c *core) restart(now time.Duration) {
	old := *c.self.Load()
	c.machine.Abandon(now)
	c.flush(now)
	c.retire(old)
	c.noteSidecars(old, c.linked())
	for p := range c.links {
		c.dropSidecar(p)
	}
	c.begin(now)
	c.e.log(event.EntryIncarnationEnded, "old", old.String(), "new", c.self.Load().String())
}

func (c *core) retire(p ident.Process) {
	if len(c.retired) >= retiredMachines {
		for q := range c.retired {
			delete(c.retired, q)
			break
		}
	}
	c.retired[p] = c.machine
}

// checkLease suspends dispatching while fewer than half of the attached
// sidecars have acknowledged this incarnation within the lease.
func (c *core) checkLease(now time.Duration) {
	fresh := 0
	for _, s := range c.links {
		if s.acked >= 0 && now-s.acked <= c.e.cfg.SelfLease {
			fresh++
		}
	}
	suspend := len(c.links) > 0 && 2*fresh < len(c.links)
	if suspend != c.suspended {
		c.suspended = suspend
		c.machine.SetSuspended(now, suspend)
		if suspend {
			c.e.log(event.EntrySelfLeaseLost, "fresh", fresh, "attached", len(c.links))
		} else {
			c.e.log(event.EntrySelfLeaseRegained, "fresh", fresh, "attached", len(c.links))
		}
	}
}
