package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// flush carries out the machine's actions and publishes the demand.
func (c *core) flush(now time.Duration) {
	if c.ledger.Changed() {
		c.machine.RetryLimited(now)
	}
	for {
		actions := c.machine.Actions()
		d := c.machine.Demand(now)
		c.demand.Store(&d)
		if len(actions) == 0 {
			break
		}
		for _, a := range actions {
			c.carryOut(now, a)
		}
	}
	c.moveShares(now)
}

func (c *core) carryOut(now time.Duration, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Dispatch:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.dispatch(a.Starts)
		} else {
			c.machine.DispatchFailed(now, a.Sidecar, a.Starts, false)
		}
	case dispatch.Fence:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.fence(a.Starts)
		} else {
			c.machine.FenceReply(now, a.Sidecar, a.Starts, wire.FenceReply{WrongIncarnation: true})
		}
	case dispatch.Answered:
		c.answered(a)
	case dispatch.SendDemand:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.tell()
		}
	case dispatch.ReturnCredits:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.giveBack(a.Credits)
		}
	case dispatch.Notice:
		c.notice(now, a)
	}
}

func (c *core) answered(a dispatch.Answered) {
	for _, w := range c.waiters[a.ID] {
		w <- a.Answer
	}
	delete(c.waiters, a.ID)
	c.e.observeJob(a)
}

func (c *core) demandNow() []wire.Demand {
	if d := c.demand.Load(); d != nil {
		return *d
	}
	return nil
}
