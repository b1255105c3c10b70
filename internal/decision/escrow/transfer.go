package escrow

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Wants returns what this process asks of its peers.
func (l *Ledger) Wants(now time.Duration) []wire.ShareDemand {
	var out []wire.ShareDemand
	for _, h := range l.holdings {
		if w := h.want(now); w > 0 && h.epoch > 0 {
			out = append(out, wire.ShareDemand{Limit: h.limit.Name, Epoch: h.epoch, Want: w})
		}
	}
	slices.SortFunc(out, func(a, b wire.ShareDemand) int { return compare(a.Limit, b.Limit) })
	return out
}

// Give gives idle share to a peer that asks. The share is lowered here before
// the total is told to the peer.
func (l *Ledger) Give(now time.Duration, peer ident.Process, wants []wire.ShareDemand) {
	to := peer.String()
	if l.closed[to] {
		return
	}
	for _, w := range wants {
		h := l.holdings[w.Limit]
		if h == nil || h.epoch != w.Epoch || w.Want <= 0 {
			continue
		}
		if n := min(w.Want, h.spare(now)); n > 0 {
			h.given[to] += n
		}
	}
}

// spare returns what may be given: half of the idle share, at least one, or
// all of it if the limit was not used here lately.
func (h *holding) spare(now time.Duration) int64 {
	idle := h.share() - h.inUse(now)
	if idle <= 0 {
		return 0
	}
	if h.active < 0 || now-h.active > activeAge {
		return idle
	}
	return max(idle/2, 1)
}

// GiveAll gives all idle share to a peer, because this process drains.
func (l *Ledger) GiveAll(now time.Duration, peer ident.Process) {
	to := peer.String()
	if l.closed[to] {
		return
	}
	for _, h := range l.holdings {
		if idle := h.share() - h.inUse(now); idle > 0 {
			h.given[to] += idle
		}
	}
}

// Given returns the cumulative totals given to a peer.
func (l *Ledger) Given(peer ident.Process) []wire.ShareTotal {
	to := peer.String()
	var out []wire.ShareTotal
	for name, h := range l.holdings {
		if g := h.given[to]; g > 0 {
			out = append(out, wire.ShareTotal{Limit: name, Epoch: h.epoch, Given: g})
		}
	}
	slices.SortFunc(out, func(a, b wire.ShareTotal) int { return compare(a.Limit, b.Limit) })
	return out
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
			h.pause = minPause
			l.changed = true
		}
	}
}

// Close ends the exchange with a dead incarnation; its flows are final then.
func (l *Ledger) Close(dead ident.Process) { l.closed[dead.String()] = true }

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
		if c := compare(a.Limit, b.Limit); c != 0 {
			return c
		}
		return compare(a.Dead, b.Dead)
	})
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
