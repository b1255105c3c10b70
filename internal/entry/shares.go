package entry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// shareStates returns the state of each limit of which this incarnation holds, uses
// or demands a share.
func (c *core) shareStates(now time.Duration) []wire.ShareState {
	var out []wire.ShareState
	self := c.self.Load().String()
	for _, h := range c.limiter.Statuses(now) {
		if h.Share != 0 || h.Used != 0 || h.Demand != 0 {
			out = append(out, wire.ShareState{Limit: h.Limit.Name, Process: self, Share: h.Share, Used: h.Used, Want: h.Demand})
		}
	}
	return out
}

// Shares implements resourceapi.StatusSource. It returns how the amounts of a
// limit or team are divided, and the condition Lowering if the current or possible
// use of an amount is above its total.
func (e *Entry) Shares(ref resource.Ref) ([]resource.AmountShares, []resource.Condition) {
	prefix := map[resource.Type]string{resource.TypeLimit: "limit/", resource.TypeTeam: "team/"}[ref.Type]
	doc := e.configSource.Document()
	if prefix == "" || doc == nil {
		return nil, nil
	}
	var out []resource.AmountShares
	var lowering []string
	states, notLive := e.workCache.gather().Shares, e.holdersNotLive()
	for _, l := range limit.FromDocument(doc) {
		if l.Name != prefix+ref.Name+"/"+string(l.Dimension) {
			continue
		}
		a := amountShares(l, states)
		if a.Held != 0 {
			a.HeldBy = notLive
		}
		out = append(out, a)
		if excess := describeExcess(a); excess != "" {
			lowering = append(lowering, excess)
		}
	}
	if len(lowering) == 0 {
		return out, nil
	}
	return out, []resource.Condition{{Type: resource.ConditionLowering, Status: "True", Reason: "AboveLimit",
		Message: strings.Join(lowering, ", ")}}
}

func amountShares(l limit.Limit, states []wire.ShareState) resource.AmountShares {
	a := resource.AmountShares{Amount: string(l.Dimension), Total: l.Total, Held: l.Total}
	for _, s := range states {
		if s.Limit == l.Name {
			a.Held -= s.Share
			a.Holders = append(a.Holders, resource.HolderShare{Process: s.Process, Share: s.Share, Used: s.Used, Wanting: s.Want})
		}
	}
	return a
}

// describeExcess describes an amount if its current or possible use exceeds its
// total. Otherwise it returns "".
func describeExcess(a resource.AmountShares) string {
	used, usable := int64(0), int64(0)
	for _, h := range a.Holders {
		used += h.Used
		usable += max(h.Share, h.Used, 0)
	}
	if max(used, usable) <= a.Total {
		return ""
	}
	return fmt.Sprintf("%s: %d of %d in use", a.Amount, used, a.Total)
}

// holdersNotLive returns the incarnations that may hold shares but are not live.
func (e *Entry) holdersNotLive() []string {
	var out []string
	e.core.call(func(time.Duration) {
		live := e.core.view.Load().entries
		for h := range e.core.shareHolders(e.core.allocation) {
			if !slices.ContainsFunc(live, func(p wire.Peer) bool { return p.Process.String() == h }) {
				out = append(out, h)
			}
		}
	})
	slices.Sort(out)
	return out
}
