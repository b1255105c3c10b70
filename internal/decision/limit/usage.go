package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// classUsage counts the queued and running tasks of one class, that is of one
// team and kind. limits are the limits that count them.
type classUsage struct {
	limits          []*limitState
	queued, running int64
}

// neededShare returns the share of a limit with which all waiting tasks can
// start at once.
func (c *classUsage) neededShare(d Dimension) int64 {
	if d == Rate {
		return c.queued * int64(rateWindow/burstWindow)
	}
	return c.queued
}

func (l *Limiter) class(key wire.Class) *classUsage {
	c := l.classes[key]
	if c == nil {
		c = &classUsage{limits: l.matchingStates(key)}
		l.classes[key] = c
	}
	return c
}

// matchingStates returns the enforced limits that count a class, sorted by
// name.
func (l *Limiter) matchingStates(key wire.Class) []*limitState {
	var states []*limitState
	for _, st := range l.states {
		if st.enforced && st.limit.Scope.matches(key) {
			states = append(states, st)
		}
	}
	slices.SortFunc(states, func(a, b *limitState) int { return strings.Compare(a.limit.Name, b.limit.Name) })
	return states
}

// Tick sets the time for the methods that have no time parameter.
func (l *Limiter) Tick(now time.Duration) { l.now = now }

// CanStart implements dispatch.Limiter.
func (l *Limiter) CanStart(now time.Duration, key wire.Class) bool {
	ok := true
	for _, st := range l.class(key).limits {
		switch {
		case st.limit.Dimension == Queue:
		case st.exhausted(now):
			l.requestShare(now, st)
			ok = false
		case st.tooEarly(now):
			l.requestShare(now, st)
			ok = false
		}
	}
	return ok
}

func (l *Limiter) requestShare(now time.Duration, st *limitState) {
	if st.allowRequest(now) {
		l.requestDue = true
	}
}

// Started implements dispatch.Limiter.
func (l *Limiter) Started(now time.Duration, key wire.Class) {
	c := l.class(key)
	c.running++
	for _, st := range c.limits {
		switch st.limit.Dimension {
		case Concurrency:
			st.used++
		case Rate:
			st.recordStart(now)
		}
	}
}

// Ended implements dispatch.Limiter.
func (l *Limiter) Ended(_ time.Duration, key wire.Class) {
	c := l.class(key)
	c.running--
	for _, st := range c.limits {
		if st.limit.Dimension == Concurrency {
			st.used--
		}
	}
}

// CanQueue implements dispatch.Limiter.
func (l *Limiter) CanQueue(key wire.Class, tasks int) bool {
	ok := true
	for _, st := range l.class(key).limits {
		missing := int64(tasks) - (st.idle(l.now) - st.reserved)
		if st.limit.Dimension != Queue || missing <= 0 {
			continue
		}
		st.refusedAt, st.refusedTasks = l.now, int64(tasks)
		l.requestShare(l.now, st)
		ok = false
	}
	return ok
}

// Queued implements dispatch.Limiter.
func (l *Limiter) Queued(key wire.Class, delta int) {
	c := l.class(key)
	c.queued += int64(delta)
	for _, st := range c.limits {
		if st.limit.Dimension == Queue {
			st.used += int64(delta)
		}
	}
}

// demandByLimit returns the demand of this process for each limit. The demand
// of a class for an exhausted limit is firm if none of the other limits of the
// class is exhausted. The demand that brings a negative share back to zero and the
// demand of a refused job for queue share are also firm.
func (l *Limiter) demandByLimit(now time.Duration) map[*limitState]wire.ShareDemand {
	demands := map[*limitState]wire.ShareDemand{}
	for _, c := range l.classes {
		l.addClassDemand(now, c, demands)
	}
	for _, st := range l.states {
		d := demands[st]
		if st.limit.Dimension == Queue && st.refusedAt >= 0 && now-st.refusedAt <= demandTTL {
			// Share may have arrived since the refusal, so only the missing
			// part is demanded.
			missing := max(st.refusedTasks-(st.idle(now)-st.reserved), 0)
			d.Want, d.Firm = missing, missing
		}
		if s := st.share(); s < 0 {
			d.Want -= s
			d.Firm -= s
		}
		if d.Want == 0 {
			st.requestInterval = 0
			continue
		}
		demands[st] = d
	}
	return demands
}

// addClassDemand adds the demand of one class to demands.
func (l *Limiter) addClassDemand(now time.Duration, c *classUsage, demands map[*limitState]wire.ShareDemand) {
	if c.queued <= 0 {
		return
	}
	var blocking []*limitState
	exhaustedCount := 0
	for _, st := range c.limits {
		switch {
		case st.limit.Dimension == Queue:
		case st.exhausted(now):
			exhaustedCount++
			blocking = append(blocking, st)
		case st.tooEarly(now):
			blocking = append(blocking, st)
		}
	}
	for _, st := range blocking {
		d := demands[st]
		d.Want += c.neededShare(st.limit.Dimension)
		if exhaustedCount == 1 && st.exhausted(now) {
			d.Firm += c.queued
		}
		demands[st] = d
	}
}
