package membership

import (
	"sort"
	"time"
)

// Scope is the kind of place that failed as one.
type Scope string

// Scopes of a grouped loss.
const (
	ScopeProcess Scope = "process"
	ScopeRack    Scope = "rack"
	ScopeZone    Scope = "zone"
)

// Loss is a group of members lost together.
type Loss struct {
	Scope Scope
	// Place names the process, the rack or the zone.
	Place string
	// Members is the number of members lost.
	Members int
}

// Grouper gathers losses within a period into one loss per rack or zone, so
// that a rack or zone that fails at once is one event.
type Grouper struct {
	// Period is how long losses are gathered.
	period time.Duration
	since  time.Duration
	lost   []Member
}

// NewGrouper returns a grouper with the given period.
func NewGrouper(period time.Duration) *Grouper { return &Grouper{period: period} }

// Add notes a lost member.
func (g *Grouper) Add(now time.Duration, m Member) {
	if len(g.lost) == 0 {
		g.since = now
	}
	g.lost = append(g.lost, m)
}

// Due returns the gathered losses once the period has passed, else nil. Live
// lists the members that are still live: a place counts as lost only if it
// has no live member and lost at least two.
func (g *Grouper) Due(now time.Duration, live []Member) []Loss {
	if len(g.lost) == 0 || now-g.since < g.period {
		return nil
	}
	lost := g.lost
	g.lost = nil
	zoneAlive, rackAlive := map[string]bool{}, map[string]bool{}
	for _, m := range live {
		zoneAlive[m.Peer.Zone] = true
		rackAlive[rackKey(m)] = true
	}
	var out []Loss
	lost, zones := takePlaces(lost, ScopeZone, func(m Member) string { return m.Peer.Zone }, zoneAlive)
	lost, racks := takePlaces(lost, ScopeRack, rackKey, rackAlive)
	out = append(append(out, zones...), racks...)
	for _, m := range lost {
		out = append(out, Loss{Scope: ScopeProcess, Place: m.Peer.Process.String(), Members: 1})
	}
	return out
}

// rackKey names the rack of a member; it is empty for entry instances.
func rackKey(m Member) string {
	if m.Rack == "" {
		return ""
	}
	return m.Peer.Zone + "/" + m.Rack
}

// takePlaces groups the members by place. A member without a known place, such
// as an incarnation that was only ever heard of as dead, says nothing of one.
func takePlaces(lost []Member, scope Scope, key func(Member) string, alive map[string]bool) ([]Member, []Loss) {
	count := map[string]int{}
	for _, m := range lost {
		count[key(m)]++
	}
	var rest []Member
	for _, m := range lost {
		if k := key(m); k == "" || alive[k] || count[k] < 2 {
			rest = append(rest, m)
		}
	}
	var out []Loss
	for k, n := range count {
		if k != "" && !alive[k] && n >= 2 {
			out = append(out, Loss{Scope: scope, Place: k, Members: n})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Place < out[j].Place })
	return rest, out
}
