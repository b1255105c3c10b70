package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// retainTime is how long idle share is retained while the waiting tasks of this
// process are blocked by another limit only. It is longer than a round trip and
// a tick.
const retainTime = 25 * time.Millisecond

// Demand returns the demand that this process sends to its peers, sorted by
// limit.
func (l *Limiter) Demand(now time.Duration) []wire.ShareDemand {
	var out []wire.ShareDemand
	for st, d := range l.demandByLimit(now) {
		if st.epoch == 0 {
			continue
		}
		d.Limit, d.Epoch, d.Share = st.limit.Name, st.epoch, st.share()
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b wire.ShareDemand) int { return strings.Compare(a.Limit, b.Limit) })
	return out
}

// HandleDemand replaces the demand of a peer and transfers idle share to the
// peers that demand it if no task of this process waits for that share. The
// share of this process is reduced before a peer is told the new total. If local
// tasks wait, TransferIdle decides later, so that a share that was just received
// is not transferred again before a waiting task can use it.
func (l *Limiter) HandleDemand(now time.Duration, peer ident.Process, demands []wire.ShareDemand) {
	to := peer.String()
	if l.closedPeers[to] {
		return
	}
	for st := range l.demanded {
		delete(st.peerDemands, to)
	}
	for _, d := range demands {
		st := l.states[d.Limit]
		if st == nil || st.epoch != d.Epoch || d.Want <= 0 {
			continue
		}
		st.peerDemands[to] = &peerDemand{ShareDemand: d, receivedAt: now}
		l.demanded[st] = true
		if l.localDemand(now, st).needed == 0 {
			l.transferIdle(now, st)
		}
	}
}

// TransferIdle transfers idle share to the peers that demand it. The caller
// must call it regularly, after waiting tasks had the chance to use the share.
func (l *Limiter) TransferIdle(now time.Duration) {
	for st := range l.demanded {
		for p, d := range st.peerDemands {
			if now-d.receivedAt > demandTTL {
				delete(st.peerDemands, p)
			}
		}
		if len(st.peerDemands) == 0 {
			st.reserved = 0
			delete(l.demanded, st)
			continue
		}
		l.transferIdle(now, st)
	}
}

// transferIdle transfers the idle share of a limit to the peers that demand it.
// It reserves share in use for peers that have less than an equal part.
func (l *Limiter) transferIdle(now time.Duration, st *limitState) {
	idle, local := st.transferable(now), localDemand{}
	if idle > 0 {
		local = l.localDemand(now, st)
	}
	if !local.retain {
		st.retainedSince = -1
	} else if st.retainedSince < 0 {
		st.retainedSince = now
	}
	peers := st.demandingPeers()
	for i, to := range peers {
		if idle <= 0 || st.retainedSince >= 0 && now-st.retainedSince < retainTime {
			break
		}
		n, peersLeft := st.peerDemands[to].Want, int64(len(peers)-i)
		surplus := min(n, idle-local.needed)
		switch {
		case local.pacedOnly:
			n = max(st.entitlement(to, 0), surplus)
		case local.needed > 0:
			n = max(st.peerDemands[to].Firm, surplus)
		}
		n = max(min(n, (idle+peersLeft-1)/peersLeft), 0)
		l.transfer(st, to, n)
		idle -= n
	}
	st.reserved = st.peerReservation()
}

// transferable returns the idle share that may be transferred. For a queue
// limit this is half of the idle share, or all of it if only one is idle,
// because a job that arrives later would be refused without queue share.
func (st *limitState) transferable(now time.Duration) int64 {
	idle := st.idle(now)
	if st.limit.Dimension == Queue && idle > 1 {
		return idle / 2
	}
	return idle
}

// localDemand is the demand of this process for the idle share of a limit.
type localDemand struct {
	// needed is the share with which all waiting tasks could start.
	needed int64
	// pacedOnly is true if only the even pace of a rate limit delays waiting
	// tasks.
	pacedOnly bool
	// retain is true if waiting tasks are blocked by exactly one limit and its
	// name is greater than that of this limit. The idle share is then retained
	// for retainTime. Without that, two processes that each hold one of the two
	// limits would exchange them forever.
	retain bool
}

func (l *Limiter) localDemand(now time.Duration, st *limitState) (d localDemand) {
	for key, c := range l.classes {
		if c.queued <= 0 || st.limit.Dimension == Queue || !st.limit.Scope.matches(key) {
			continue
		}
		d.needed += c.neededShare(st.limit.Dimension)
		exhaustedCount, exhaustedName := 0, ""
		for _, other := range c.limits {
			if other.limit.Dimension != Queue && other.exhausted(now) {
				exhaustedCount, exhaustedName = exhaustedCount+1, other.limit.Name
			}
		}
		d.pacedOnly = d.pacedOnly || exhaustedCount == 0 && st.limit.Dimension == Rate
		d.retain = d.retain || exhaustedCount == 1 && st.limit.Name < exhaustedName
	}
	return d
}

func (l *Limiter) transfer(st *limitState, to string, n int64) {
	if n <= 0 {
		return
	}
	st.given[to] += n
	l.unnotified[to] = true
	if d := st.peerDemands[to]; d != nil {
		d.Want -= n
		d.Firm = max(d.Firm-n, 0)
		d.Share += n
	}
}

// demandingPeers returns the peers that demand share. Peers with firm demand
// come first, then those with the smallest share.
func (st *limitState) demandingPeers() []string {
	var peers []string
	for p, d := range st.peerDemands {
		if d.Want > 0 {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b string) int {
		x, y := st.peerDemands[a], st.peerDemands[b]
		if firm := x.Firm > 0; firm != (y.Firm > 0) {
			return map[bool]int{true: -1, false: 1}[firm]
		}
		return cmp.Or(cmp.Compare(x.Share, y.Share), strings.Compare(a, b))
	})
	return peers
}

// peerReservation returns the part of the share that is to be reserved for
// peers.
func (st *limitState) peerReservation() int64 {
	reserved := int64(0)
	for _, to := range st.demandingPeers() {
		reserved += st.entitlement(to, reserved)
	}
	return reserved
}

// entitlement returns how much of the share, less the part reserved for other
// peers, is due to a peer with firm demand. It is half of the difference
// between the two shares, but at most the firm demand. If the peer's share is
// negative after a decrease of the limit, the peer gets at least enough to reach
// zero, as far as the share suffices.
func (st *limitState) entitlement(to string, reserved int64) int64 {
	demand, own := st.peerDemands[to], st.share()-reserved
	if demand.Firm <= 0 || own <= 0 {
		return 0
	}
	n := min(demand.Firm, (own-demand.Share)/2)
	if demand.Share < 0 {
		n = max(n, min(-demand.Share, own))
	}
	return max(n, 0)
}

// TransferAll transfers all idle share to a peer, because this process drains.
func (l *Limiter) TransferAll(now time.Duration, peer ident.Process) {
	to := peer.String()
	if l.closedPeers[to] {
		return
	}
	for _, st := range l.states {
		l.transfer(st, to, st.idle(now))
	}
}

// Unnotified returns the peers that have not been told about a transfer to
// them, and clears the list.
func (l *Limiter) Unnotified() []string {
	if len(l.unnotified) == 0 {
		return nil
	}
	var out []string
	for p := range l.unnotified {
		out = append(out, p)
	}
	clear(l.unnotified)
	slices.Sort(out)
	return out
}

// UnackedTotals returns the cumulative totals transferred to a peer that it has
// not acknowledged. Unnotified then no longer returns the peer, because the caller
// sends it these totals.
func (l *Limiter) UnackedTotals(peer ident.Process) []wire.ShareTotal {
	to := peer.String()
	delete(l.unnotified, to)
	var out []wire.ShareTotal
	for name, st := range l.states {
		if g := st.given[to]; g > st.acked[to] {
			out = append(out, wire.ShareTotal{Limit: name, Epoch: st.epoch, Given: g})
		}
	}
	slices.SortFunc(out, func(a, b wire.ShareTotal) int { return strings.Compare(a.Limit, b.Limit) })
	return out
}

// HandleAck records that a peer has received the totals. allocation is the
// sequence number of the allocation that the peer had then. The peer ignores
// totals of divisions that are newer than its allocation, so these stay
// unacknowledged.
func (l *Limiter) HandleAck(peer ident.Process, allocation uint64, totals []wire.ShareTotal) {
	to := peer.String()
	for _, t := range totals {
		if st := l.states[t.Limit]; st != nil && st.epoch == t.Epoch && t.Epoch <= allocation {
			st.acked[to] = max(st.acked[to], t.Given)
		}
	}
}

// Receive records the cumulative totals that a peer has transferred to this
// process. Old and repeated messages change nothing. A total of a division that
// this process does not know yet is ignored; the peer sends it again until it
// is acknowledged.
func (l *Limiter) Receive(peer ident.Process, totals []wire.ShareTotal) {
	from := peer.String()
	if l.closedPeers[from] {
		return
	}
	for _, t := range totals {
		st := l.states[t.Limit]
		if st != nil && st.epoch == t.Epoch && t.Given > st.received[from] {
			st.received[from] = t.Given
			l.changed = true
		}
	}
}

// ClosePeer ends the exchange with a dead incarnation. Its flows are final
// afterwards.
func (l *Limiter) ClosePeer(dead ident.Process) {
	p := dead.String()
	l.closedPeers[p] = true
	delete(l.unnotified, p)
	for _, st := range l.states {
		delete(st.peerDemands, p)
	}
}

// Flows returns the final flows to and from the closed incarnations whose share
// has not been reclaimed.
func (l *Limiter) Flows() []wire.ShareFlow {
	var out []wire.ShareFlow
	for name, st := range l.states {
		for peer := range l.closedPeers {
			g, r := st.given[peer], st.received[peer]
			if g != 0 || r != 0 {
				out = append(out, wire.ShareFlow{Limit: name, Epoch: st.epoch, Dead: peer, Given: g, Received: r})
			}
		}
	}
	slices.SortFunc(out, func(a, b wire.ShareFlow) int {
		if c := strings.Compare(a.Limit, b.Limit); c != 0 {
			return c
		}
		return strings.Compare(a.Dead, b.Dead)
	})
	return out
}
