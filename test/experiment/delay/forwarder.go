// Package delay forwards TCP connections over loopback with a constant delay
// in each direction. It keeps the order of bytes within a connection and can
// be cut, frozen and resumed.
package delay

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds the chunks of one direction that wait out their delay.
	chunksInFlight = 256
	dialTimeout    = 2 * time.Second
)

// Forwarder listens on loopback and forwards to one target.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    time.Duration

	mu     sync.Mutex // guards the fields below
	cond   *sync.Cond
	frozen bool
	cut    bool
	closed bool
	conns  map[net.Conn]struct{}
	wg     sync.WaitGroup
}

// chunk is data that may be written at due.
type chunk struct {
	due  time.Time
	data []byte
}

// New starts a forwarder to target ("ip:port") with a one way delay.
func New(target string, delay time.Duration) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "listen for the forwarder to %s", target)
	}
	f := &Forwarder{listener: l, target: target, delay: delay, conns: map[net.Conn]struct{}{}}
	f.cond = sync.NewCond(&f.mu)
	f.wg.Add(1)
	go f.accept()
	return f, nil
}

// Address is the "ip:port" on which the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Freeze holds all data back until Resume; connections stay open.
func (f *Forwarder) Freeze() { f.set(func() { f.frozen = true }) }

// Resume ends a freeze.
func (f *Forwarder) Resume() { f.set(func() { f.frozen = false }) }

// Cut closes all connections and closes new ones at once until Restore.
func (f *Forwarder) Cut() {
	f.set(func() {
		f.cut = true
		f.closeConns()
	})
}

// Restore ends a cut.
func (f *Forwarder) Restore() { f.set(func() { f.cut = false }) }

// Close ends the forwarder and waits for its goroutines.
func (f *Forwarder) Close() {
	f.set(func() {
		f.closed = true
		f.closeConns()
	})
	_ = f.listener.Close()
	f.wg.Wait()
}

func (f *Forwarder) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.cond.Broadcast()
}

// closeConns resets the connections; f.mu is held.
func (f *Forwarder) closeConns() {
	for c := range f.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset and not an end of
// data.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (f *Forwarder) accept() {
	defer f.wg.Done()
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.track(in) {
			_ = in.Close()
			continue
		}
		f.wg.Add(1)
		go f.serve(in)
	}
}

// track registers a connection unless the forwarder is cut or closed.
func (f *Forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut || f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (f *Forwarder) untrack(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		reset(c)
	}
	_ = c.Close()
	delete(f.conns, c)
}

func (f *Forwarder) serve(in net.Conn) {
	defer f.wg.Done()
	defer f.untrack(in)
	out, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		return
	}
	if !f.track(out) {
		_ = out.Close()
		return
	}
	defer f.untrack(out)
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); f.pipe(out, in) }()
	go func() { defer both.Done(); f.pipe(in, out) }()
	both.Wait()
}

// pipe copies src to dst until either fails, then passes on the end of data.
func (f *Forwarder) pipe(dst, src net.Conn) {
	queue := make(chan chunk, chunksInFlight)
	go func() {
		defer close(queue)
		for {
			buf := make([]byte, chunkBytes)
			n, err := src.Read(buf)
			if n > 0 {
				queue <- chunk{time.Now().Add(f.delay), buf[:n]}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					reset(dst)
				}
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		f.waitThawed()
		if _, err := dst.Write(c.data); err != nil {
			reset(src)
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func (f *Forwarder) waitThawed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.frozen && !f.closed && !f.cut {
		f.cond.Wait()
	}
}
