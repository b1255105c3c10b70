package limit

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// classUse is the work of one team and kind with the limits that count it.
type classUse struct {
	limits          []*holding
	queued, running int64
}

// need returns the share that lets all waiting tasks start at once.
func (c *classUse) need(d Dimension) int64 {
	if d == Rate {
		return c.queued * int64(rateWindow/burst)
	}
	return c.queued
}

func (l *Ledger) class(key wire.Class) *classUse {
	c := l.classes[key]
	if c == nil {
		c = &classUse{limits: l.matching(key)}
		l.classes[key] = c
	}
	return c
}

// matching returns the limits that count a class, sorted by name.
func (l *Ledger) matching(key wire.Class) []*holding {
	var hs []*holding
	for _, h := range l.holdings {
		if h.enforced && h.limit.Scope.matches(key) {
			hs = append(hs, h)
		}
	}
	slices.SortFunc(hs, func(a, b *holding) int { return strings.Compare(a.limit.Name, b.limit.Name) })
	return hs
}

// Tick tells the time to the methods that don't take it.
func (l *Ledger) Tick(now time.Duration) { l.now = now }

// CanStart implements dispatch.Limiter.
func (l *Ledger) CanStart(now time.Duration, key wire.Class) bool {
	ok := true
	for _, h := range l.class(key).limits {
		switch {
		case h.limit.Dimension == Queue:
		case h.full(now):
			l.block(now, h)
			ok = false
		case h.early(now):
			l.block(now, h)
			ok = false
		}
	}
	return ok
}

func (l *Ledger) block(now time.Duration, h *holding) {
	if h.request(now) {
		l.asking = true
	}
}

// Started implements dispatch.Limiter.
func (l *Ledger) Started(now time.Duration, key wire.Class) {
	c := l.class(key)
	c.running++
	for _, h := range c.limits {
		switch h.limit.Dimension {
		case Concurrency:
			h.used++
		case Rate:
			h.started(now)
		}
	}
}

// Ended implements dispatch.Limiter.
func (l *Ledger) Ended(_ time.Duration, key wire.Class) {
	c := l.class(key)
	c.running--
	for _, h := range c.limits {
		if h.limit.Dimension == Concurrency {
			h.used--
		}
	}
}

// CanQueue implements dispatch.Limiter.
func (l *Ledger) CanQueue(key wire.Class, tasks int) bool {
	ok := true
	for _, h := range l.class(key).limits {
		missing := int64(tasks) - (h.idle(l.now) - h.owed)
		if h.limit.Dimension != Queue || missing <= 0 {
			continue
		}
		h.refused, h.short = l.now, int64(tasks)
		l.block(l.now, h)
		ok = false
	}
	return ok
}

// Queued implements dispatch.Limiter.
func (l *Ledger) Queued(key wire.Class, delta int) {
	c := l.class(key)
	c.queued += int64(delta)
	for _, h := range c.limits {
		if h.limit.Dimension == Queue {
			h.used += int64(delta)
		}
	}
}

// demand returns what this process wants of each limit. Firm demand is that
// of classes that nothing else holds back, and what brings a negative share
// back to zero.
func (l *Ledger) demand(now time.Duration) map[*holding]wire.ShareDemand {
	wants := map[*holding]wire.ShareDemand{}
	for _, c := range l.classes {
		l.classDemand(now, c, wants)
	}
	for _, h := range l.holdings {
		d := wants[h]
		if h.limit.Dimension == Queue && h.refused >= 0 && now-h.refused <= demandAge {
			// Only what is still missing: share may have come since.
			missing := max(h.short-(h.idle(now)-h.owed), 0)
			d.Want, d.Firm = missing, missing
		}
		if s := h.share(); s < 0 {
			d.Want -= s
			d.Firm -= s
		}
		if d.Want == 0 {
			h.pause = 0
			continue
		}
		wants[h] = d
	}
	return wants
}

func (l *Ledger) classDemand(now time.Duration, c *classUse, wants map[*holding]wire.ShareDemand) {
	if c.queued <= 0 {
		return
	}
	var held []*holding
	full := 0
	for _, h := range c.limits {
		switch {
		case h.limit.Dimension == Queue:
		case h.full(now):
			full++
			held = append(held, h)
		case h.early(now):
			held = append(held, h)
		}
	}
	for _, h := range held {
		d := wants[h]
		d.Want += c.need(h.limit.Dimension)
		if full == 1 && h.full(now) {
			d.Firm += c.queued
		}
		wants[h] = d
	}
}
