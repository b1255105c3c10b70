package delay

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Gate holds the traffic of a process back while it is closed.
type Gate struct {
	mu   sync.Mutex // guards open
	open chan struct{}
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// Close holds traffic back until Open.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

// Open lets traffic pass.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// pass waits until the gate is open or done is closed.
func (g *Gate) pass(done <-chan struct{}) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	select {
	case <-open:
	case <-done:
	}
}

// Conn is a connection with a delay in each direction. It keeps the order of
// bytes. Deadlines are not supported.
type Conn struct {
	net.Conn
	delay time.Duration
	gates []*Gate
	out   chan chunk
	in    chan chunk
	rest  []byte
	done  chan struct{}
	once  sync.Once

	mu  sync.Mutex // guards err
	err error
}

// Wrap delays both directions of a connection and leads them through gates.
func Wrap(conn net.Conn, delay time.Duration, gates ...*Gate) *Conn {
	c := &Conn{
		Conn: conn, delay: delay, gates: gates, done: make(chan struct{}),
		out: make(chan chunk, chunksInFlight), in: make(chan chunk, chunksInFlight),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// Write queues the data; an earlier failure is returned.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	select {
	case c.out <- chunk{time.Now().Add(c.delay), append([]byte(nil), p...)}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns data that has waited out its delay.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		select {
		case b, ok := <-c.in:
			if !ok {
				return 0, c.readError()
			}
			c.wait(b.due)
			c.rest = b.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes the connection; queued data is lost.
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

func (c *Conn) writeLoop() {
	for {
		select {
		case b := <-c.out:
			c.wait(b.due)
			if _, err := c.Conn.Write(b.data); err != nil {
				c.fail(err)
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *Conn) readLoop() {
	defer close(c.in)
	for {
		buf := make([]byte, chunkBytes)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.in <- chunk{time.Now().Add(c.delay), buf[:n]}:
			case <-c.done:
				return
			}
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// wait waits for the due time and then for the gates.
func (c *Conn) wait(due time.Time) {
	if d := time.Until(due); d > 0 {
		time.Sleep(d)
	}
	for _, g := range c.gates {
		g.pass(c.done)
	}
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *Conn) readError() error {
	err := c.failure()
	if err == nil || errors.Is(err, io.EOF) {
		return io.EOF
	}
	return err
}
