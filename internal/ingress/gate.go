// Package ingress applies the decisions of package decision/ingress to the ports of a process. A
// Gate wraps the listeners of a group of ports, and the handlers of its HTTP servers, which still
// receive whole bodies.
package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	tally "github.com/uber-go/tally/v4"

	decision "github.com/cardamomturn/cardamomturn/internal/decision/ingress"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/queues"
)

// Default times. They bound how long a client outside the limits holds a connection, and are
// longer than the pauses of clients within them.
const (
	defaultHeaderTime   = 30 * time.Second
	defaultProgressTime = 30 * time.Second
	// writeTime is the longest time to send an answer to a client that does not read.
	writeTime = 30 * time.Second
	// sweepInterval is the time between two searches for connections whose time has passed.
	sweepInterval = 250 * time.Millisecond
	// maxClockStep bounds what a sweep adds to the clock, so that a pause of the process does not
	// count as time that its clients have taken.
	maxClockStep = 2 * sweepInterval
)

// reason is why a request was refused or a connection closed: a value of a metric's label.
type reason string

const (
	bodyTooLarge   reason = "body_too_large"
	headerTooLarge reason = "header_too_large"
	noRoom         reason = "no_room"
	noProgress     reason = "no_progress"
	unreadAnswer   reason = "unread_answer"
	connections    reason = "connections"
)

// Gate bounds what the clients of a group of ports hold. Its methods are safe for concurrent use.
// A nil Gate bounds nothing.
type Gate struct {
	scope tally.Scope
	// clock is the time at the last sweep, without pauses of the process. Reading the time for each
	// step of a request would cost more than the step.
	clock atomic.Int64
	// sweptAt is the time of the last sweep. Only sweep uses it.
	sweptAt time.Time
	limits  atomic.Pointer[limits]
	stop    chan struct{}
	once    sync.Once

	mu      sync.Mutex // guards the fields below
	machine *decision.Machine
	conns   map[decision.ID]*Conn
}

// New returns a gate, which works until Close. The name of the group is a label of its metrics.
// The scope may be nil.
func New(group string, b decision.Bounds, scope tally.Scope) *Gate {
	if scope == nil {
		scope = tally.NoopScope
	}
	g := &Gate{scope: scope.Tagged(map[string]string{"group": group}), sweptAt: time.Now(), stop: make(chan struct{}), conns: map[decision.ID]*Conn{}}
	g.clock.Store(1) // a time of zero means none
	g.machine = decision.New(b, decision.Times{})
	g.SetLimits(queues.Limits{})
	go g.sweepUntilStopped()
	return g
}

// Close ends the search for connections whose time has passed. Open connections stay.
func (g *Gate) Close() {
	if g != nil {
		g.once.Do(func() { close(g.stop) })
	}
}

// SetLimits puts the operator's limits into force for requests that begin from now on. Sizes only
// narrow the limits of a port, and values of zero or less leave the defaults.
func (g *Gate) SetLimits(l queues.Limits) {
	if g == nil {
		return
	}
	times := decision.Times{
		Header:   atLeast(defaultHeaderTime),
		Progress: atLeast(defaultProgressTime),
		Answer:   atLeast(writeTime),
	}
	if l.HeaderTimeout > 0 {
		times.Header = atLeast(l.HeaderTimeout)
	}
	if l.IdleTimeout > 0 {
		times.Idle = atLeast(l.IdleTimeout)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Store(&limits{Limits: l, keepAlive: keepAliveOf(l.IdleTimeout)})
	g.machine.SetTimes(times)
}

// atLeast returns the time on the clock in which at least d passes, since the clock may be late
// by maxClockStep when the time begins.
func atLeast(d time.Duration) time.Duration { return d + maxClockStep }

// shutdownTime is the time in which clients may end what they have begun when the process ends.
const shutdownTime = time.Second

// BeginShutdown closes clients that have not ended what they have begun within shutdownTime, so that a
// process does not wait for them when it ends.
func (g *Gate) BeginShutdown() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.machine.BeginShutdown(shutdownTime, g.now())
}

// Held returns the bytes that requests hold, and the number of open connections.
func (g *Gate) Held() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Held(), g.machine.Connections()
}

// now returns the time of the clock, up to maxClockStep late.
func (g *Gate) now() time.Duration { return time.Duration(g.clock.Load()) }

// Listen returns a listener whose connections are those of the gate. The port may have at most
// portBound connections; zero sets no bound of its own.
func (g *Gate) Listen(port string, portBound int, lis net.Listener) net.Listener {
	if g == nil {
		return lis
	}
	return &listener{Listener: lis, gate: g, port: port, portBound: portBound}
}

type listener struct {
	net.Listener
	gate      *Gate
	port      string
	portBound int
}

// Accept waits for a connection for which there is room. Others are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(conn, l.port, l.portBound); c != nil {
			return c, nil
		}
		l.gate.record(l.port, connections, conn)
		_ = conn.Close() // it is refused in any case
	}
}

// admit adds a connection, or returns nil if there is no room.
func (g *Gate) admit(conn net.Conn, port string, portBound int) *Conn {
	g.mu.Lock()
	id, closed, ok := g.machine.Open(port, portBound, g.now())
	victims := g.remove(closed)
	var c *Conn
	if ok {
		c = &Conn{Conn: conn, gate: g, id: id, port: port}
		g.conns[id] = c
	}
	g.mu.Unlock()
	g.closeAll(victims, connections)
	return c
}

// remove removes connections that the machine has removed; mu is held.
func (g *Gate) remove(ids []decision.ID) []*Conn {
	var removed []*Conn
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			delete(g.conns, id)
			removed = append(removed, c)
		}
	}
	return removed
}

func (g *Gate) closeAll(list []*Conn, why reason) {
	for _, c := range list {
		g.record(c.port, why, c.Conn)
		_ = c.Conn.Close() // its client is outside the limits in any case
	}
}

// record counts and logs a refused request or a closed connection.
func (g *Gate) record(port string, why reason, conn net.Conn) {
	g.scope.Tagged(map[string]string{"port": port, "reason": string(why)}).Counter("clients_refused").Inc(1)
	event.LogRateLimited(event.HTTPClientRefused, "port", port, "reason", string(why), "peer", conn.RemoteAddr().String())
}

func (g *Gate) sweepUntilStopped() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.sweep()
		}
	}
}

// sweep closes the connections whose time has passed, and updates the gauges.
func (g *Gate) sweep() {
	elapsed := time.Since(g.sweptAt)
	g.sweptAt = g.sweptAt.Add(elapsed)
	now := time.Duration(g.clock.Add(int64(min(elapsed, maxClockStep))))
	g.mu.Lock()
	unread := g.remove(g.machine.OverdueAnswers(now))
	slow := g.remove(g.machine.Overdue(now))
	unused := g.removeUnused(now)
	for id, c := range g.conns {
		if since := c.writingSince.Load(); since > 0 && now-time.Duration(since) > atLeast(writeTime) {
			g.machine.Close(id)
			unread = append(unread, g.remove([]decision.ID{id})...)
		}
	}
	held, open := g.machine.Held(), g.machine.Connections()
	g.mu.Unlock()
	g.closeAll(slow, noProgress)
	g.closeAll(unread, unreadAnswer)
	g.closeUnused(unused)
	g.scope.Gauge("clients_held_bytes").Update(float64(held))
	g.scope.Gauge("clients_connections").Update(float64(open))
}
