package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Limiter holds the shares of this process in all limits. It implements
// dispatch.Limiter. Only one goroutine may use it.
type Limiter struct {
	self       string
	now        time.Duration
	allocation *Allocation
	limits     []Limit
	states     map[string]*limitState
	classes    map[wire.Class]*classUsage
	// closedPeers are the dead incarnations with which no share is exchanged
	// any more.
	closedPeers map[string]bool
	// changed is true if a share may have grown since the last call of Changed.
	changed bool
	// demanded are the limits of which a peer demands share.
	demanded map[*limitState]bool
	// unnotified are the peers that have not been told about a transfer to
	// them.
	unnotified map[string]bool
	// requestDue is true if the peers should be asked for share now.
	requestDue bool
}

// NewLimiter returns a limiter for the incarnation self, without limits.
func NewLimiter(self ident.Process) *Limiter {
	return &Limiter{
		self: self.String(), states: map[string]*limitState{}, classes: map[wire.Class]*classUsage{},
		closedPeers: map[string]bool{}, demanded: map[*limitState]bool{}, unnotified: map[string]bool{},
	}
}

// SetDocument applies the limits of a configuration document. The share of a
// limit is zero until the limit is allocated.
func (l *Limiter) SetDocument(doc *resource.Document) {
	l.limits = FromDocument(doc)
	for _, st := range l.states {
		st.enforced = false
	}
	for _, lim := range l.limits {
		st := l.state(lim.Name)
		st.enforced = true
		if st.limit.Scope != lim.Scope || st.limit.Name == "" {
			st.limit = lim
			l.recountUsage(st)
		}
		st.limit = lim
	}
	l.updateShares()
}

// state returns the state of a limit and creates it if necessary.
func (l *Limiter) state(name string) *limitState {
	st := l.states[name]
	if st == nil {
		st = newLimitState()
		l.states[name] = st
	}
	return st
}

// recountUsage computes the use of a limit from the counts of each class.
func (l *Limiter) recountUsage(st *limitState) {
	st.used = 0
	for key, c := range l.classes {
		switch {
		case !st.limit.Scope.matches(key):
		case st.limit.Dimension == Queue:
			st.used += c.queued
		case st.limit.Dimension == Concurrency:
			st.used += c.running
		}
	}
}

// Apply applies an allocation if it is newer than the current one. It reports
// whether it did.
func (l *Limiter) Apply(a *Allocation) bool {
	if a == nil || l.allocation != nil && a.Seq <= l.allocation.Seq {
		return false
	}
	l.allocation = a
	for _, peer := range a.Reclaimed {
		for _, st := range l.states {
			st.deletePeer(peer)
		}
		l.closedPeers[peer] = true
	}
	l.updateShares()
	return true
}

// updateShares applies the base shares of the allocation. It deletes the flows
// of earlier divisions of the same limit.
func (l *Limiter) updateShares() {
	if l.allocation != nil {
		for name := range l.allocation.Limits {
			l.state(name)
		}
	}
	for name, st := range l.states {
		var d Division
		if l.allocation != nil && l.allocation.Limits[name] != nil {
			d = *l.allocation.Limits[name]
		}
		if d.Epoch != st.epoch {
			clear(st.given)
			clear(st.received)
			clear(st.acked)
			clear(st.peerDemands)
			st.reserved = 0
		}
		st.epoch, st.base = d.Epoch, d.Base[l.self]
		if st.epoch == 0 && !st.enforced {
			delete(l.states, name)
			delete(l.demanded, st)
		}
	}
	for key, c := range l.classes {
		c.limits = l.matchingStates(key)
	}
	l.changed = true
}

// Limits returns the limits of the document in force.
func (l *Limiter) Limits() []Limit { return l.limits }

// Allocation returns the current allocation, or nil.
func (l *Limiter) Allocation() *Allocation { return l.allocation }

// Changed reports whether a share may have grown since the last call, so that
// the caller can try again to start blocked tasks.
func (l *Limiter) Changed() bool {
	changed := l.changed
	l.changed = false
	return changed
}

// RequestDue reports whether a limit has blocked work since the last call and
// the peers should be asked for share now.
func (l *Limiter) RequestDue() bool {
	due := l.requestDue
	l.requestDue = false
	return due
}

// LimitStatus is the state of a limit at this process: its share, the part in
// use, and the demand for more.
type LimitStatus struct {
	Limit               Limit
	Share, Used, Demand int64
}

// Statuses returns the status of each enforced limit, sorted by name.
func (l *Limiter) Statuses(now time.Duration) []LimitStatus {
	out := make([]LimitStatus, 0, len(l.states))
	demands := l.demandByLimit(now)
	for _, st := range l.states {
		if !st.enforced {
			continue
		}
		out = append(out, LimitStatus{Limit: st.limit, Share: st.share(), Used: st.inUse(now), Demand: demands[st].Want})
	}
	slices.SortFunc(out, func(a, b LimitStatus) int { return strings.Compare(a.Limit.Name, b.Limit.Name) })
	return out
}
