package ingress

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/chunks"
	decision "github.com/cardamomturn/cardamomturn/internal/decision/ingress"
)

// stepBytes is the number of bytes of a body after which a client has made progress, and the
// first step in which a body is read.
const stepBytes = chunks.Size

// Conn is a connection of a Gate. Only the goroutine that serves it may call Read, Take, Start,
// Keep, Answer and End.
type Conn struct {
	net.Conn
	gate *Gate
	id   decision.ID
	port string
	// begun is true from the first byte of a request to its end, and sinceProgress the number of
	// bytes since the last progress.
	begun         bool
	sinceProgress int
	// answered is true from the end of the handler to the next read, which follows the answer.
	answered bool
	// writingSince is the time at which the current write began, zero if there is none.
	writingSince atomic.Int64
}

// Read implements net.Conn. It records the begin and the progress of a request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.answered {
		c.End()
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.sinceProgress += n
	switch {
	case !c.begun:
		c.begun, c.sinceProgress = true, 0
		c.update((*decision.Machine).Begin)
	case c.sinceProgress >= stepBytes:
		c.sinceProgress = 0
		c.update((*decision.Machine).Progress)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(c.gate.now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	c.gate.machine.Close(c.id)
	delete(c.gate.conns, c.id)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, for the watch of the connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("access to a connection of type %T", c.Conn)
	}
	return conn.SyscallConn()
}

// Take raises what the current request holds to total bytes. It returns false if there is no room
// or the connection was closed for lack of it.
func (c *Conn) Take(total int) bool {
	c.begun, c.answered = true, false
	c.gate.mu.Lock()
	closed, ok := c.gate.machine.Take(c.id, int64(total), c.gate.now())
	victims := c.gate.remove(closed)
	c.gate.mu.Unlock()
	c.gate.closeAll(victims, noRoom)
	return ok
}

// Start records that the request is complete and is handed over. It returns false if the gate has
// closed the connection meanwhile; the request must not be handed over then.
func (c *Conn) Start() bool {
	c.answered = false
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.gate.machine.Start(c.id, c.gate.now())
}

// Refuse records that the current request is refused for lack of room.
func (c *Conn) Refuse() { c.gate.record(c.port, noRoom, c.Conn) }

// Keep makes what the current request holds stay taken after End, until release is called.
func (c *Conn) Keep() (release func()) {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := g.machine.Detach(c.id)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.machine.Release(kept)
	}
}

// Answer records that the handler of the request has ended, or that the request is refused, and
// gives back what it holds.
func (c *Conn) Answer() {
	c.answered = true
	c.update((*decision.Machine).Answer)
}

// End records that the connection waits for its next request, and gives back what it holds.
func (c *Conn) End() {
	c.begun, c.answered = false, false
	c.update((*decision.Machine).End)
}

func (c *Conn) update(f func(*decision.Machine, decision.ID, time.Duration)) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	f(c.gate.machine, c.id, c.gate.now())
}
