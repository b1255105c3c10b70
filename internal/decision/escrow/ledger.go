package escrow

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// rateWindow is the period over which a rate is counted.
	rateWindow = time.Second
	// demandAge is how long a refused start counts as demand.
	demandAge = time.Second
	// minPause and maxPause bound the time between two requests to peers for
	// the same limit.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// activeAge is how long a used limit keeps half of its idle share back
	// when a peer asks.
	activeAge = 10 * time.Second
)

// holding is the state of one limit at this process.
type holding struct {
	limit Limit
	// enforced is false for a limit that the document no longer has while its
	// division still exists; its flows must be kept.
	enforced bool
	// epoch is that of the division, zero while there is none.
	epoch uint64
	base  int64
	// given and received are cumulative per peer incarnation.
	given, received map[string]int64
	// used is the number of running or waiting tasks; starts are the times of
	// the starts within the rate window, oldest first.
	used   int64
	starts []time.Duration
	// waiting is the number of waiting tasks under the limit.
	waiting int64
	// blocked is when the share last held something back, active when it was
	// last used; both are negative if never.
	blocked, active time.Duration
	// asked is when peers were last asked, and pause the time until they are
	// asked again; it doubles while nothing is received.
	asked, pause time.Duration
	// short is the number of tasks that did not fit into a queue share.
	short int64
}

func (h *holding) share() int64 {
	s := h.base
	for _, g := range h.given {
		s -= g
	}
	for _, r := range h.received {
		s += r
	}
	return s
}

// inUse returns the part of the share that is taken at now.
func (h *holding) inUse(now time.Duration) int64 {
	if h.limit.Dimension != Rate {
		return h.used
	}
	i := 0
	for i < len(h.starts) && now-h.starts[i] >= rateWindow {
		i++
	}
	h.starts = h.starts[i:]
	return int64(len(h.starts))
}

func (h *holding) want(now time.Duration) int64 {
	if h.blocked < 0 || now-h.blocked > demandAge {
		return 0
	}
	if h.limit.Dimension == Queue {
		return h.short
	}
	return max(h.waiting, 1)
}

// Ledger is the share of this process in all limits. It implements the
// Limiter of package dispatch. It belongs to one goroutine.
type Ledger struct {
	self       string
	now        time.Duration
	allocation *Allocation
	limits     []Limit
	holdings   map[string]*holding
	// byClass caches the holdings that count a class.
	byClass map[wire.Class][]*holding
	// queued and running are the totals per class, from which a new limit starts.
	queued, running map[wire.Class]int64
	// closed are dead incarnations, with which nothing is exchanged any more.
	closed map[string]bool
	// changed is true after the share of a limit grew.
	changed bool
	// asking is true if the peers should be asked.
	asking bool
}

// New returns a ledger without limits.
func New(self ident.Process) *Ledger {
	return &Ledger{
		self: self.String(), holdings: map[string]*holding{}, byClass: map[wire.Class][]*holding{},
		queued: map[wire.Class]int64{}, running: map[wire.Class]int64{}, closed: map[string]bool{},
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
		h = &holding{given: map[string]int64{}, received: map[string]int64{}, blocked: -1, active: -1}
		l.holdings[name] = h
	}
	return h
}

// recount sets the use of a limit from the totals per class.
func (l *Ledger) recount(h *holding) {
	h.used, h.waiting = 0, 0
	for c, n := range l.queued {
		if h.limit.Scope.matches(c) {
			h.waiting += n
		}
	}
	switch h.limit.Dimension {
	case Queue:
		h.used = h.waiting
	case Concurrency:
		for c, n := range l.running {
			if h.limit.Scope.matches(c) {
				h.used += n
			}
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
			delete(h.given, x)
			delete(h.received, x)
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
		}
		h.epoch, h.base = d.Epoch, d.Base[l.self]
		if h.epoch == 0 && !h.enforced {
			delete(l.holdings, name)
		}
	}
	clear(l.byClass)
	l.changed = true
}

// Limits returns the limits of the document in force.
func (l *Ledger) Limits() []Limit { return l.limits }

// Allocation returns the allocation held, or nil.
func (l *Ledger) Allocation() *Allocation { return l.allocation }

func (l *Ledger) of(c wire.Class) []*holding {
	if hs, ok := l.byClass[c]; ok {
		return hs
	}
	var hs []*holding
	for _, h := range l.holdings {
		if h.enforced && h.limit.Scope.matches(c) {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *holding) int {
		if a.limit.Name < b.limit.Name {
			return -1
		}
		return 1
	})
	l.byClass[c] = hs
	return hs
}

// Tick tells the time to the methods that don't take it.
func (l *Ledger) Tick(now time.Duration) { l.now = now }

// CanStart implements dispatch.Limiter.
func (l *Ledger) CanStart(now time.Duration, class wire.Class) bool {
	ok := true
	for _, h := range l.of(class) {
		if h.limit.Dimension == Queue || h.inUse(now) < h.share() {
			continue
		}
		l.block(now, h)
		ok = false
	}
	return ok
}

func (l *Ledger) block(now time.Duration, h *holding) {
	if h.want(now) == 0 {
		h.pause = minPause
	}
	h.blocked = now
	if now-h.asked >= h.pause {
		h.asked, h.pause = now, min(2*h.pause, maxPause)
		l.asking = true
	}
}

// Started implements dispatch.Limiter.
func (l *Ledger) Started(now time.Duration, class wire.Class) {
	l.running[class]++
	for _, h := range l.of(class) {
		h.active = now
		switch h.limit.Dimension {
		case Concurrency:
			h.used++
		case Rate:
			h.starts = append(h.starts, now)
		}
	}
}

// Ended implements dispatch.Limiter.
func (l *Ledger) Ended(_ time.Duration, class wire.Class) {
	l.running[class]--
	for _, h := range l.of(class) {
		if h.limit.Dimension == Concurrency {
			h.used--
		}
	}
}

// CanQueue implements dispatch.Limiter.
func (l *Ledger) CanQueue(class wire.Class, tasks int) bool {
	ok := true
	for _, h := range l.of(class) {
		if h.limit.Dimension != Queue || h.used+int64(tasks) <= h.share() {
			continue
		}
		h.short = h.used + int64(tasks) - h.share()
		l.block(l.now, h)
		ok = false
	}
	return ok
}

// Queued implements dispatch.Limiter.
func (l *Ledger) Queued(class wire.Class, delta int) {
	l.queued[class] += int64(delta)
	for _, h := range l.of(class) {
		h.waiting += int64(delta)
		if h.limit.Dimension == Queue {
			h.used += int64(delta)
		}
	}
}

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
	for _, h := range l.holdings {
		if !h.enforced {
			continue
		}
		out = append(out, Holding{Limit: h.limit, Share: h.share(), Used: h.inUse(now), Wants: h.want(now)})
	}
	slices.SortFunc(out, func(a, b Holding) int {
		if a.Limit.Name < b.Limit.Name {
			return -1
		}
		return 1
	})
	return out
}
