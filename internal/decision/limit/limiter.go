package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Ledger is the share of this process in all limits. It implements the
// Limiter of package dispatch. It belongs to one goroutine.
type Ledger struct {
	self       string
	now        time.Duration
	allocation *Allocation
	limits     []Limit
	holdings   map[string]*holding
	classes    map[wire.Class]*classUse
	// closed are dead incarnations, with which nothing is exchanged any more.
	closed map[string]bool
	// changed is true after the share of a limit grew.
	changed bool
	// wanted are the limits of which a peer wants share.
	wanted map[*holding]bool
	// untold are the peers that were given share and not told yet.
	untold map[string]bool
	// asking is true if the peers should be asked.
	asking bool
}

// New returns a ledger without limits.
func New(self ident.Process) *Ledger {
	return &Ledger{
		self: self.String(), holdings: map[string]*holding{}, classes: map[wire.Class]*classUse{},
		closed: map[string]bool{}, wanted: map[*holding]bool{}, untold: map[string]bool{},
	}
}

// SetDocument takes the limits of a configuration document. A limit that is
// not allocated yet has the share zero.
func (l *Ledger) SetDocument(doc *resource.Document) {
	l.limits = Limits(doc)
	for _, h := range l.holdings {
		h.enforced = false
	}
	for _, lim := range l.limits {
		h := l.holding(lim.Name)
		h.enforced = true
		if h.limit.Scope != lim.Scope || h.limit.Name == "" {
			h.limit = lim
			l.recount(h)
		}
		h.limit = lim
	}
	l.rebase()
}

func (l *Ledger) holding(name string) *holding {
	h := l.holdings[name]
	if h == nil {
		h = newHolding()
		l.holdings[name] = h
	}
	return h
}

// recount sets the use of a limit from the totals per class.
func (l *Ledger) recount(h *holding) {
	h.used = 0
	for key, c := range l.classes {
		switch {
		case !h.limit.Scope.matches(key):
		case h.limit.Dimension == Queue:
			h.used += c.queued
		case h.limit.Dimension == Concurrency:
			h.used += c.running
		}
	}
}

// Apply takes an allocation if it is newer than the one held.
func (l *Ledger) Apply(a *Allocation) bool {
	if a == nil || l.allocation != nil && a.Seq <= l.allocation.Seq {
		return false
	}
	l.allocation = a
	for _, x := range a.Settled {
		for _, h := range l.holdings {
			h.forget(x)
		}
		l.closed[x] = true
	}
	l.rebase()
	return true
}

// rebase takes the base shares of the allocation. Flows of an earlier
// division of the same limit are dropped.
func (l *Ledger) rebase() {
	if l.allocation != nil {
		for name := range l.allocation.Limits {
			l.holding(name)
		}
	}
	for name, h := range l.holdings {
		var d Division
		if l.allocation != nil && l.allocation.Limits[name] != nil {
			d = *l.allocation.Limits[name]
		}
		if d.Epoch != h.epoch {
			clear(h.given)
			clear(h.received)
			clear(h.acked)
			clear(h.asks)
			h.owed = 0
		}
		h.epoch, h.base = d.Epoch, d.Base[l.self]
		if h.epoch == 0 && !h.enforced {
			delete(l.holdings, name)
			delete(l.wanted, h)
		}
	}
	for key, c := range l.classes {
		c.limits = l.matching(key)
	}
	l.changed = true
}

// Limits returns the limits of the document in force.
func (l *Ledger) Limits() []Limit { return l.limits }

// Allocation returns the allocation held, or nil.
func (l *Ledger) Allocation() *Allocation { return l.allocation }

// Changed reports, once, whether a share has grown, so that blocked work may
// go on.
func (l *Ledger) Changed() bool {
	c := l.changed
	l.changed = false
	return c
}

// Asking reports, once, whether a limit holds something back and the peers
// should be asked now.
func (l *Ledger) Asking() bool {
	a := l.asking
	l.asking = false
	return a
}

// Holding is a limit's share at this process.
type Holding struct {
	Limit              Limit
	Share, Used, Wants int64
}

// Holdings returns the shares of all limits, sorted by name.
func (l *Ledger) Holdings(now time.Duration) []Holding {
	out := make([]Holding, 0, len(l.holdings))
	wants := l.demand(now)
	for _, h := range l.holdings {
		if !h.enforced {
			continue
		}
		out = append(out, Holding{Limit: h.limit, Share: h.share(), Used: h.inUse(now), Wants: wants[h].Want})
	}
	slices.SortFunc(out, func(a, b Holding) int { return strings.Compare(a.Limit.Name, b.Limit.Name) })
	return out
}
