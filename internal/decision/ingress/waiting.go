package ingress

import (
	"container/list"
	"time"
)

// group is a set of connections of which the one without progress for longest is closed first.
type group int

const (
	// silent connections wait for their first request, begun ones send it.
	silent group = iota
	begun
	// refused connections were answered without being served, answered ones were served, and may
	// not have read the answer yet.
	refused
	answered
	// kept connections have been served before; some send another request.
	kept
	numGroups
)

// waiting holds the connections of a port that may be closed for new ones, each group in the order
// of their last progress.
type waiting [numGroups]list.List

// place puts a connection at the end of its group, or nowhere while its request is being handled.
func (m *Machine) place(c *client) {
	if c.phase == handled {
		m.unplace(c)
		return
	}
	w := m.waiting[c.port]
	if w == nil {
		w = &waiting{}
		m.waiting[c.port] = w
	}
	group := &w[groupOf(c)]
	if c.list == group {
		group.MoveToBack(c.element)
		return
	}
	m.unplace(c)
	c.list, c.element = group, group.PushBack(c)
}

// unplace takes a connection out of its group.
func (m *Machine) unplace(c *client) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

func groupOf(c *client) group {
	switch {
	case c.served && c.phase == answering:
		return answered
	case c.served:
		return kept
	case c.phase == answering:
		return refused
	case c.phase == idle:
		return silent
	}
	return begun
}

// silentGrace is the time after which a connection on which nothing was sent is closed before those
// that send a request. A client sends its request at once.
const silentGrace = 2 * time.Second

// leastUseful returns the connection to close for a new connection of a port, or of all ports if
// port is empty, nil if there is none. First come those that have been silent for silentGrace, then
// other ones that have not been served, the one without progress for longest first. So a crowd that
// connects again and again closes its own connections, and not those that send a request meanwhile.
// Connections whose request is being handled, or was answered just now, stay.
func (m *Machine) leastUseful(port string, now time.Duration) *client {
	if c := m.longestWaiting(port, now, silent); c != nil && now-c.progressAt >= silentGrace {
		return c
	}
	if c := m.longestWaiting(port, now, silent, begun, refused); c != nil {
		return c
	}
	if m.bounds.KeepServed {
		return nil
	}
	return m.longestWaiting(port, now, answered, kept)
}

// longestWaiting returns the connection of some groups without progress for longest that may be
// closed.
func (m *Machine) longestWaiting(port string, now time.Duration, groups ...group) *client {
	var found *client
	for name, w := range m.waiting {
		if port != "" && name != port {
			continue
		}
		for _, g := range groups {
			if c := firstClosable(&w[g], now); c != nil && (found == nil || c.longerWithoutProgress(found)) {
				found = c
			}
		}
	}
	return found
}

// firstClosable returns the first connection of a group, nil if there is none or if it was answered
// just now, like all after it.
func firstClosable(l *list.List, now time.Duration) *client {
	e := l.Front()
	if e == nil {
		return nil
	}
	c := e.Value.(*client)
	if c.phase == answering && now-c.progressAt < answerGrace {
		return nil
	}
	return c
}
