package delay

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Gate holds back the traffic of connections while it is closed.
type Gate struct {
	mu sync.Mutex // guards opened
	// opened is closed when the gate opens, and replaced when the gate closes.
	opened chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// Close closes the gate, so that traffic waits until Open.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

// Open opens the gate and releases the waiting traffic.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// waitOpen waits until the gate opens or done is closed.
func (g *Gate) waitOpen(done <-chan struct{}) {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-opened:
	case <-done:
	}
}

// Conn is a connection with a constant delay in each direction. It keeps the order
// of bytes. Deadlines are not supported.
type Conn struct {
	net.Conn
	delay  time.Duration
	gates  []*Gate
	writes chan chunk
	reads  chan chunk
	unread []byte // part of a received chunk that Read has not returned yet
	done   chan struct{}
	once   sync.Once

	mu  sync.Mutex // guards err
	err error
}

// Wrap returns a connection that delays both directions of conn, and that holds
// traffic back while any of the gates is closed.
func Wrap(conn net.Conn, delay time.Duration, gates ...*Gate) *Conn {
	c := &Conn{
		Conn: conn, delay: delay, gates: gates, done: make(chan struct{}),
		writes: make(chan chunk, maxQueuedChunks), reads: make(chan chunk, maxQueuedChunks),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// Write queues a copy of the data. It returns the error of an earlier read or write
// of the wrapped connection.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.firstError(); err != nil {
		return 0, err
	}
	select {
	case c.writes <- chunk{time.Now().Add(c.delay), append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns received data after its delay.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case b, ok := <-c.reads:
			if !ok {
				return 0, c.readError()
			}
			c.wait(b.due)
			c.unread = b.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close closes the connection and drops the queued data.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		close(c.done)
		err = c.Conn.Close()
	})
	return err
}

// SetDeadline is not supported.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// writeLoop writes each queued chunk to the wrapped connection when it is due.
func (c *Conn) writeLoop() {
	for {
		select {
		case b := <-c.writes:
			c.wait(b.due)
			if _, err := c.Conn.Write(b.data); err != nil {
				c.setError(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

// readLoop reads from the wrapped connection and queues the chunks for Read.
func (c *Conn) readLoop() {
	defer close(c.reads)
	for {
		buf := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.reads <- chunk{time.Now().Add(c.delay), buf[:n]}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			c.setError(err)
			return
		}
	}
}

// wait waits until the due time, and then until each gate is open.
func (c *Conn) wait(due time.Time) {
	if d := time.Until(due); d > 0 {
		time.Sleep(d)
	}
	for _, g := range c.gates {
		g.waitOpen(c.done)
	}
}

// setError stores the first error of the wrapped connection.
func (c *Conn) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

func (c *Conn) firstError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// readError returns the error with which Read ends after the last chunk.
func (c *Conn) readError() error {
	err := c.firstError()
	if err == nil || errors.Is(err, io.EOF) {
		return io.EOF
	}
	return err
}
