// Package ingress decides how much the clients of a group of ports may hold: bytes of requests
// that have not been handled yet, connections, and time. It does no I/O. A request takes bytes in
// steps as they arrive. If a step does not fit, the client that holds the most is closed, so that
// a crowd that came first or that sends large bodies does not shut out the others.
//
// The load that it answers: clients that announce or send more than they may, send slowly, or
// open connections without end.
package ingress

import (
	"container/list"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/indexedheap"
)

// Bounds are the bounds of a group of ports.
type Bounds struct {
	// Bytes bounds the sum of the bytes that all clients hold. Of these, Reserve bytes are only for
	// clients that hold at most StepBytes, so that an ordinary request has room.
	Bytes, Reserve, StepBytes int64
	// Connections bounds the open connections of all ports.
	Connections int
	// KeepServed is true if a connection that has completed a request is not closed to make room
	// for another one.
	KeepServed bool
}

// Times are the longest times that a client may take; zero sets no bound.
type Times struct {
	// Header is the time from the first byte of a request to the end of its header, Progress the
	// time for the next step of its body, Answer the time to send the answer, and Idle the time
	// between two requests.
	Header, Progress, Answer, Idle time.Duration
}

// ID identifies a connection. Later connections have higher IDs.
type ID uint64

// phase is what a connection does.
type phase int

const (
	idle phase = iota
	header
	body
	// handled means that the request has been handed over. The connection is not closed.
	handled
	// answering means that the request was answered or refused, and the client may not have read
	// all of the answer. The connection is not closed before answerGrace has passed.
	answering
)

// answerGrace is the time in which a client that reads its answers has read one.
const answerGrace = 2 * time.Second

type client struct {
	id    ID
	port  string
	phase phase
	held  int64
	// progressAt is the time of the last progress, and deadline the time at which the connection
	// is closed, zero for none.
	progressAt, deadline time.Duration
	// served is true if a request of the connection has been handled, and keepServed is that of
	// the bounds.
	served, keepServed bool
	// position is that in Machine.holders.
	position int
	// list is the group of the connection in Machine.waiting, nil for none, and element its place.
	list    *list.List
	element *list.Element
}

// Machine is the state of a group of ports. Times are monotonic.
type Machine struct {
	bounds  Bounds
	times   Times
	clients map[ID]*client
	perPort map[string]int
	held    int64
	// holders are the connections that may be closed for bytes, and waiting those that may be
	// closed for new connections, by port.
	holders indexedheap.Heap[*client]
	waiting map[string]*waiting
	nextID  ID
	// shutdownTime bounds the times of clients while the process ends; zero means that it does not end.
	shutdownTime time.Duration
}

// New returns a machine without connections.
func New(b Bounds, t Times) *Machine {
	return &Machine{bounds: b, times: t, clients: map[ID]*client{}, perPort: map[string]int{}, waiting: map[string]*waiting{}}
}

// SetTimes sets the times of requests that begin from now on.
func (m *Machine) SetTimes(t Times) { m.times = t }

// Held returns the sum of the bytes that all clients hold, and of those that are detached.
func (m *Machine) Held() int64 { return m.held }

// Connections returns the number of open connections.
func (m *Machine) Connections() int { return len(m.clients) }

// Open adds a connection of a port that may have portBound connections; zero sets no bound of its
// own. The connections in closed, at most two, are to be closed and are not part of the machine
// any more. If ok is false, there is no room and the new connection is to be closed.
func (m *Machine) Open(port string, portBound int, now time.Duration) (id ID, closed []ID, ok bool) {
	if portBound > 0 && m.perPort[port] >= portBound {
		victim := m.leastUseful(port, now)
		if victim == nil {
			return 0, nil, false
		}
		m.Close(victim.id)
		closed = append(closed, victim.id)
	}
	if len(m.clients) >= m.bounds.Connections {
		victim := m.leastUseful("", now)
		if victim == nil {
			return 0, closed, false
		}
		m.Close(victim.id)
		closed = append(closed, victim.id)
	}
	m.nextID++
	c := &client{id: m.nextID, port: port, keepServed: m.bounds.KeepServed, position: indexedheap.NotInHeap}
	m.clients[m.nextID] = c
	m.perPort[port]++
	m.enter(c, idle, now)
	return m.nextID, closed, true
}

// Close removes a connection and gives back what it holds.
func (m *Machine) Close(id ID) {
	c := m.clients[id]
	if c == nil {
		return
	}
	m.release(c)
	m.unplace(c)
	delete(m.clients, id)
	if m.perPort[c.port]--; m.perPort[c.port] == 0 {
		delete(m.perPort, c.port)
	}
}

// Begin records that the first bytes of a request have arrived.
func (m *Machine) Begin(id ID, now time.Duration) {
	if c := m.clients[id]; c != nil && c.phase == idle {
		m.enter(c, header, now)
	}
}

// Progress records that another step of a body has arrived.
func (m *Machine) Progress(id ID, now time.Duration) {
	if c := m.clients[id]; c != nil && c.phase == body {
		m.enter(c, body, now)
	}
}

// Take raises what the body of a request holds to total bytes. The connections in closed are to be
// closed and are not part of the machine any more. If ok is false, there is no room and the
// request is to be refused; it holds nothing any more.
func (m *Machine) Take(id ID, total int64, now time.Duration) (closed []ID, ok bool) {
	c := m.clients[id]
	if c == nil {
		return nil, false
	}
	if c.phase != body {
		m.enter(c, body, now)
	}
	if total <= c.held {
		return nil, true
	}
	limit := m.bounds.Bytes
	if total > m.bounds.StepBytes {
		limit -= m.bounds.Reserve
	}
	for m.held-c.held+total > limit {
		victim := m.largest(c, total, now)
		if victim == c {
			m.release(c)
			return closed, false
		}
		m.Close(victim.id)
		closed = append(closed, victim.id)
	}
	m.held += total - c.held
	c.held = total
	m.updateHolder(c)
	return closed, true
}

// Start records that a request is complete and is handed over. It returns false if the connection
// has been closed meanwhile; the request must not be handed over then.
func (m *Machine) Start(id ID, now time.Duration) bool {
	c := m.clients[id]
	if c == nil {
		return false
	}
	m.enter(c, handled, now)
	return true
}

// Detach takes what the current request of a connection holds from the connection. The bytes stay
// taken until Release, also if the connection is closed.
func (m *Machine) Detach(id ID) (bytes int64) {
	if c := m.clients[id]; c != nil {
		bytes, c.held = c.held, 0
		m.updateHolder(c)
	}
	return bytes
}

// Release gives back bytes of Detach.
func (m *Machine) Release(bytes int64) { m.held -= bytes }

// Answer records that the handler of a request has ended, or that the request is refused without
// being handed over, and gives back what it holds. The answer may not have been sent yet.
func (m *Machine) Answer(id ID, now time.Duration) {
	if c := m.clients[id]; c != nil {
		c.served = c.served || c.phase == handled
		m.release(c)
		m.enter(c, answering, now)
	}
}

// End records that the connection waits for its next request, and gives back what it holds.
func (m *Machine) End(id ID, now time.Duration) {
	if c := m.clients[id]; c != nil {
		c.served = c.served || c.phase == handled
		m.release(c)
		m.enter(c, idle, now)
	}
}

// BeginShutdown bounds the time in which clients may end what they have begun, because the process ends.
func (m *Machine) BeginShutdown(within, now time.Duration) {
	m.shutdownTime = within
	for _, c := range m.clients {
		if c.phase == header || c.phase == body || c.phase == answering {
			c.deadline = now + within
		}
	}
}

// Unused returns the connections that have waited for a request for longer than the time allowed.
// They stay part of the machine, since a request may have arrived that is not known yet.
func (m *Machine) Unused(now time.Duration) []ID {
	return m.overdue(now, func(c *client) bool { return c.phase == idle })
}

// Overdue removes and returns the connections whose time has passed, without those of Unused.
func (m *Machine) Overdue(now time.Duration) []ID {
	return m.remove(m.overdue(now, func(c *client) bool { return c.phase != idle }))
}

// OverdueAnswers removes and returns those of the connections whose time has passed that have not
// read an answer. Their requests may have been handled.
func (m *Machine) OverdueAnswers(now time.Duration) []ID {
	return m.remove(m.overdue(now, func(c *client) bool { return c.phase == answering }))
}

// overdue returns those of the connections whose time has passed that are included.
func (m *Machine) overdue(now time.Duration, included func(*client) bool) []ID {
	var overdue []ID
	for id, c := range m.clients {
		if c.deadline > 0 && now >= c.deadline && included(c) {
			overdue = append(overdue, id)
		}
	}
	return overdue
}

func (m *Machine) remove(ids []ID) []ID {
	for _, id := range ids {
		m.Close(id)
	}
	return ids
}

func (m *Machine) release(c *client) {
	m.held -= c.held
	c.held = 0
	m.updateHolder(c)
}

// enter begins a phase, or the next step of a body.
func (m *Machine) enter(c *client, p phase, now time.Duration) {
	c.phase, c.progressAt, c.deadline = p, now, 0
	// No time bounds a request that is being handled: its handler does.
	allowed := [...]time.Duration{idle: m.times.Idle, header: m.times.Header, body: m.times.Progress, handled: 0, answering: m.times.Answer}[p]
	if m.shutdownTime > 0 && p != handled && p != idle {
		allowed = m.shutdownTime
	}
	if allowed > 0 {
		c.deadline = now + allowed
	}
	m.place(c)
	m.updateHolder(c)
}
