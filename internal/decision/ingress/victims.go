package ingress

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
)

// Before implements indexedheap.Element: with KeepServed, connections that have not been served
// precede; then those that hold more, and of equal ones those without progress for longer.
func (c *client) Before(o *client) bool {
	if c.keepServed && c.served != o.served {
		return o.served
	}
	if c.held != o.held {
		return c.held > o.held
	}
	return c.longerWithoutProgress(o)
}

// Position implements indexedheap.Element.
func (c *client) Position() *int { return &c.position }

// updateHolder puts a connection into the heap of those that may be closed for bytes, or takes it
// out.
func (m *Machine) updateHolder(c *client) {
	holds := c.held > 0 && c.phase == body
	switch {
	case holds && c.position == indexedheap.NotInHeap:
		m.holders.Add(c)
	case holds:
		m.holders.Fix(c)
	case c.position != indexedheap.NotInHeap:
		m.holders.Remove(c)
	}
}

// largest returns the connection to close for a step after which the connection asking holds
// total bytes, more than before: the one that holds the most, and of equal ones the one without
// progress for longest. It is the connection asking, which counts with what it would hold, if no
// other one may be closed.
func (m *Machine) largest(asking *client, total int64, now time.Duration) *client {
	if len(m.holders) > 0 && m.holders[0] == asking {
		return asking // it holds the most already
	}
	asked := *asking
	asked.held = total
	var found *client
	for i, c := range m.holders {
		if c == asking || !m.mayClose(c, total, now) || found != nil && !c.Before(found) {
			continue
		}
		found = c
		if i == 0 {
			break // all others come after it
		}
	}
	if found == nil || asked.Before(found) {
		return asking
	}
	return found
}

const (
	// stalledTime is the time without progress after which a connection of an own process is closed
	// for others.
	stalledTime = 2 * time.Second
	// hoarderFactor is how many times as much as others a connection of an own process may hold.
	hoarderFactor = 2
)

// mayClose reports whether a connection may be closed for a request of that many bytes. With
// KeepServed, large messages of own processes that arrive at the same time do not close each
// other's connections, on which other calls are under way. The one that finds no room is refused.
func (m *Machine) mayClose(c *client, total int64, now time.Duration) bool {
	return !m.bounds.KeepServed || !c.served || now-c.progressAt >= stalledTime || c.held >= hoarderFactor*total
}

// longerWithoutProgress reports whether c has made no progress for longer than o. Of equal ones, it
// is the one that was opened first.
func (c *client) longerWithoutProgress(o *client) bool {
	if c.progressAt != o.progressAt {
		return c.progressAt < o.progressAt
	}
	return c.id < o.id
}
