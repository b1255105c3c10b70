package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// keepFor is how long idle share is kept from peers while the waiting tasks
// here lack only another limit; it is longer than a round trip and a tick.
const keepFor = 25 * time.Millisecond

// Wants returns what this process asks of its peers.
func (l *Ledger) Wants(now time.Duration) []wire.ShareDemand {
	var out []wire.ShareDemand
	for h, d := range l.demand(now) {
		if h.epoch == 0 {
			continue
		}
		d.Limit, d.Epoch, d.Share = h.limit.Name, h.epoch, h.share()
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b wire.ShareDemand) int { return strings.Compare(a.Limit, b.Limit) })
	return out
}

// Give takes the demand of a peer, which replaces its earlier demand, and
// gives it idle share that nothing waits for here. The share is lowered here
// before the total is told. The rest is left to Offer: share that has just
// been received would otherwise be given on before a waiting task can use it.
func (l *Ledger) Give(now time.Duration, peer ident.Process, wants []wire.ShareDemand) {
	to := peer.String()
	if l.closed[to] {
		return
	}
	for h := range l.wanted {
		delete(h.asks, to)
	}
	for _, w := range wants {
		h := l.holdings[w.Limit]
		if h == nil || h.epoch != w.Epoch || w.Want <= 0 {
			continue
		}
		h.asks[to] = &ask{ShareDemand: w, at: now}
		l.wanted[h] = true
		if l.localUse(now, h).need == 0 {
			l.offer(now, h)
		}
	}
}

// Offer gives share that has become free to the peers that want it. Call it
// regularly, after waiting tasks have had the chance to use the share.
func (l *Ledger) Offer(now time.Duration) {
	for h := range l.wanted {
		for p, a := range h.asks {
			if now-a.at > demandAge {
				delete(h.asks, p)
			}
		}
		if len(h.asks) == 0 {
			h.owed = 0
			delete(l.wanted, h)
			continue
		}
		l.offer(now, h)
	}
}

// offer gives the idle share of a limit to the peers that want it, and sets
// aside what is owed to those with less than an equal part.
func (l *Ledger) offer(now time.Duration, h *holding) {
	idle, local := h.spare(now), localUse{}
	if idle > 0 {
		local = l.localUse(now, h)
	}
	if !local.keeps {
		h.kept = -1
	} else if h.kept < 0 {
		h.kept = now
	}
	peers := h.hungry()
	for i, to := range peers {
		if idle <= 0 || h.kept >= 0 && now-h.kept < keepFor {
			break
		}
		n, left := h.asks[to].Want, int64(len(peers)-i)
		surplus := min(n, idle-local.need)
		switch {
		case local.soon:
			n = max(h.excess(to, 0), surplus)
		case local.need > 0:
			n = max(h.asks[to].Firm, surplus)
		}
		n = max(min(n, (idle+left-1)/left), 0)
		l.give(h, to, n)
		idle -= n
	}
	h.owed = h.owe()
}

// spare returns the idle share that may be given: half of a queue share, at
// least one, because a job that arrives later would be refused.
func (h *holding) spare(now time.Duration) int64 {
	idle := h.idle(now)
	if h.limit.Dimension == Queue && idle > 1 {
		return idle / 2
	}
	return idle
}

// localUse is what idle share is good for at this process.
type localUse struct {
	// need is what would let all waiting tasks start.
	need int64
	// soon is true if only the even pace of a rate holds such tasks back.
	soon bool
	// keeps is true if only another limit does, which comes later in the order
	// of names. The share is kept for a while then: else two processes that
	// hold one of the two limits each would exchange them forever.
	keeps bool
}

func (l *Ledger) localUse(now time.Duration, h *holding) (u localUse) {
	for key, c := range l.classes {
		if c.queued <= 0 || h.limit.Dimension == Queue || !h.limit.Scope.matches(key) {
			continue
		}
		u.need += c.need(h.limit.Dimension)
		full, last := 0, ""
		for _, o := range c.limits {
			if o.limit.Dimension != Queue && o.full(now) {
				full, last = full+1, o.limit.Name
			}
		}
		u.soon = u.soon || full == 0 && h.limit.Dimension == Rate
		u.keeps = u.keeps || full == 1 && h.limit.Name < last
	}
	return u
}

func (l *Ledger) give(h *holding, to string, n int64) {
	if n <= 0 {
		return
	}
	h.given[to] += n
	l.untold[to] = true
	if a := h.asks[to]; a != nil {
		a.Want -= n
		a.Firm = max(a.Firm-n, 0)
		a.Share += n
	}
}

// hungry returns the peers that want share, those with firm demand and the
// smallest share first.
func (h *holding) hungry() []string {
	var peers []string
	for p, a := range h.asks {
		if a.Want > 0 {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b string) int {
		x, y := h.asks[a], h.asks[b]
		if firm := x.Firm > 0; firm != (y.Firm > 0) {
			return map[bool]int{true: -1, false: 1}[firm]
		}
		return cmp.Or(cmp.Compare(x.Share, y.Share), strings.Compare(a, b))
	})
	return peers
}

// owe returns the part of the share in use that is owed to peers.
func (h *holding) owe() int64 {
	owed := int64(0)
	for _, to := range h.hungry() {
		owed += h.excess(to, owed)
	}
	return owed
}

// excess returns the part of the share, less what is owed to others, that a
// peer with firm demand is entitled to. A negative share, the result of a
// decrease, is made up for at once; else it is half of the difference.
func (h *holding) excess(to string, owed int64) int64 {
	a, own := h.asks[to], h.share()-owed
	if a.Firm <= 0 || own <= 0 {
		return 0
	}
	n := min(a.Firm, (own-a.Share)/2)
	if a.Share < 0 {
		n = max(n, min(-a.Share, own))
	}
	return max(n, 0)
}

// GiveAll gives all idle share to a peer, because this process drains.
func (l *Ledger) GiveAll(now time.Duration, peer ident.Process) {
	to := peer.String()
	if l.closed[to] {
		return
	}
	for _, h := range l.holdings {
		l.give(h, to, h.idle(now))
	}
}

// Untold drains the peers that were given share since they were last told.
func (l *Ledger) Untold() []string {
	if len(l.untold) == 0 {
		return nil
	}
	var out []string
	for p := range l.untold {
		out = append(out, p)
	}
	clear(l.untold)
	slices.Sort(out)
	return out
}

// Given returns the cumulative totals given to a peer that it has not
// acknowledged.
func (l *Ledger) Given(peer ident.Process) []wire.ShareTotal {
	to := peer.String()
	delete(l.untold, to)
	var out []wire.ShareTotal
	for name, h := range l.holdings {
		if g := h.given[to]; g > h.acked[to] {
			out = append(out, wire.ShareTotal{Limit: name, Epoch: h.epoch, Given: g})
		}
	}
	slices.SortFunc(out, func(a, b wire.ShareTotal) int { return strings.Compare(a.Limit, b.Limit) })
	return out
}

// Acked notes that a peer, which held the allocation with the given sequence
// number, has handled a message with the totals. It has taken those of the
// divisions that the allocation includes.
func (l *Ledger) Acked(peer ident.Process, allocation uint64, totals []wire.ShareTotal) {
	to := peer.String()
	for _, t := range totals {
		if h := l.holdings[t.Limit]; h != nil && h.epoch == t.Epoch && t.Epoch <= allocation {
			h.acked[to] = max(h.acked[to], t.Given)
		}
	}
}

// Receive takes the cumulative totals that a peer says it gave. Old and
// repeated messages change nothing. A total of a division that this process
// does not know yet is taken when it is told again.
func (l *Ledger) Receive(peer ident.Process, totals []wire.ShareTotal) {
	from := peer.String()
	if l.closed[from] {
		return
	}
	for _, t := range totals {
		h := l.holdings[t.Limit]
		if h != nil && h.epoch == t.Epoch && t.Given > h.received[from] {
			h.received[from] = t.Given
			l.changed = true
		}
	}
}

// Close ends the exchange with a dead incarnation; its flows are final then.
func (l *Ledger) Close(dead ident.Process) {
	p := dead.String()
	l.closed[p] = true
	delete(l.untold, p)
	for _, h := range l.holdings {
		delete(h.asks, p)
	}
}

// Flows returns the final flows with closed incarnations that are not settled.
func (l *Ledger) Flows() []wire.ShareFlow {
	var out []wire.ShareFlow
	for name, h := range l.holdings {
		for peer := range l.closed {
			g, r := h.given[peer], h.received[peer]
			if g != 0 || r != 0 {
				out = append(out, wire.ShareFlow{Limit: name, Epoch: h.epoch, Dead: peer, Given: g, Received: r})
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
