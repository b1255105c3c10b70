package membership

import (
	"sort"
	"time"
)

// Scope is the failure domain of a loss: a process, a rack or an availability
// zone.
type Scope string

// Failure domains of a loss.
const (
	ScopeProcess Scope = "process"
	ScopeRack    Scope = "rack"
	ScopeZone    Scope = "zone"
)

// Loss is a group of members that were lost together.
type Loss struct {
	Scope Scope
	// Place is the name of the process or availability zone, or "zone/rack" for a
	// rack.
	Place string
	// Members is the number of members lost.
	Members int
}

// LossGrouper collects the members lost within a period and groups them by rack
// and availability zone, so that the failure of a whole rack or zone is reported
// as one event.
type LossGrouper struct {
	period      time.Duration // length of the collection, from the first loss
	firstLossAt time.Duration
	lost        []Member
}

// NewLossGrouper returns a LossGrouper that collects losses for the given period.
func NewLossGrouper(period time.Duration) *LossGrouper { return &LossGrouper{period: period} }

// Add records a lost member.
func (g *LossGrouper) Add(now time.Duration, m Member) {
	if len(g.lost) == 0 {
		g.firstLossAt = now
	}
	g.lost = append(g.lost, m)
}

// TakeDue returns and removes the collected losses once the period has passed;
// before that it returns nil. live lists the members that are still live. A rack
// or zone counts as lost only if it has no live member and has lost at least two.
func (g *LossGrouper) TakeDue(now time.Duration, live []Member) []Loss {
	if len(g.lost) == 0 || now-g.firstLossAt < g.period {
		return nil
	}
	lost := g.lost
	g.lost = nil
	liveZones, liveRacks := map[string]bool{}, map[string]bool{}
	for _, m := range live {
		liveZones[m.Peer.Zone] = true
		liveRacks[rackKey(m)] = true
	}
	var losses []Loss
	lost, zones := groupByPlace(lost, ScopeZone, func(m Member) string { return m.Peer.Zone }, liveZones)
	lost, racks := groupByPlace(lost, ScopeRack, rackKey, liveRacks)
	losses = append(append(losses, zones...), racks...)
	for _, m := range lost {
		losses = append(losses, Loss{Scope: ScopeProcess, Place: m.Peer.Process.String(), Members: 1})
	}
	return losses
}

// rackKey returns a name for the rack of a member that is unique across zones,
// or the empty string for a member without a rack.
func rackKey(m Member) string {
	if m.Rack == "" {
		return ""
	}
	return m.Peer.Zone + "/" + m.Rack
}

// groupByPlace returns the losses of whole places and the members that belong to
// none of them. A member without a known place is never grouped; an example is an
// incarnation that is known only because a peer reported it dead.
func groupByPlace(lost []Member, scope Scope, placeOf func(Member) string, livePlaces map[string]bool) ([]Member, []Loss) {
	counts := map[string]int{}
	for _, m := range lost {
		counts[placeOf(m)]++
	}
	var ungrouped []Member
	for _, m := range lost {
		if k := placeOf(m); k == "" || livePlaces[k] || counts[k] < 2 {
			ungrouped = append(ungrouped, m)
		}
	}
	var losses []Loss
	for k, n := range counts {
		if k != "" && !livePlaces[k] && n >= 2 {
			losses = append(losses, Loss{Scope: scope, Place: k, Members: n})
		}
	}
	sort.Slice(losses, func(i, j int) bool { return losses[i].Place < losses[j].Place })
	return ungrouped, losses
}
