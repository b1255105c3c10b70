package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// executeActions executes the actions of the machine and publishes its demand.
func (c *core) executeActions(now time.Duration) {
	if c.limiter.Changed() {
		c.machine.RetryLimited(now)
	}
	for {
		actions := c.machine.Actions()
		c.publishDemand(c.machine.Demand(now))
		if len(actions) == 0 {
			break
		}
		for _, a := range actions {
			c.execute(now, a)
		}
	}
	c.exchangeShares(now)
}

func (c *core) execute(now time.Duration, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Dispatch:
		if s := c.attachedSidecars[a.Sidecar]; s != nil {
			s.client.dispatch(a.Starts)
		} else {
			c.machine.DispatchFailed(now, a.Sidecar, a.Starts, false)
		}
	case dispatch.Fence:
		if s := c.attachedSidecars[a.Sidecar]; s != nil {
			s.client.fence(a.Starts)
		} else {
			c.machine.FenceReply(now, a.Sidecar, a.Starts, wire.FenceReply{WrongIncarnation: true})
		}
	case dispatch.Answered:
		c.deliverAnswer(a)
	case dispatch.SendDemand:
		if s := c.attachedSidecars[a.Sidecar]; s != nil {
			s.client.sendDemand()
		}
	case dispatch.ReturnCredits:
		if s := c.attachedSidecars[a.Sidecar]; s != nil {
			s.client.returnCredits(a.Credits)
		}
	case dispatch.Notice:
		c.handleNotice(now, a)
	}
}

func (c *core) deliverAnswer(a dispatch.Answered) {
	for _, w := range c.waiters[a.ID] {
		w <- a.Answer
	}
	delete(c.waiters, a.ID)
	c.e.observeJob(a)
}

// demandSummary is a demand summary with its number. Later summaries have higher
// numbers.
type demandSummary struct {
	seq     uint64
	classes []wire.Demand
}

func (c *core) publishDemand(classes []wire.Demand) {
	_, seq := c.currentDemand()
	c.demand.Store(&demandSummary{seq + 1, classes})
}

// currentDemand returns the newest demand summary and its number.
func (c *core) currentDemand() ([]wire.Demand, uint64) {
	if d := c.demand.Load(); d != nil {
		return d.classes, d.seq
	}
	return nil, 0
}
