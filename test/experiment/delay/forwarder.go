// Package delay adds a constant delay to each direction of TCP connections and keeps
// the order of their bytes. It can also hold back the traffic, and a Forwarder can
// block its connections.
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
	// maxQueuedChunks is the maximum number of delayed chunks in one direction.
	maxQueuedChunks = 256
	dialTimeout     = 2 * time.Second
)

// Forwarder listens on the loopback interface and forwards each connection to one
// target, with a delay in each direction.
type Forwarder struct {
	listener net.Listener
	target   string
	delay    time.Duration

	mu      sync.Mutex // guards the fields below
	changed *sync.Cond
	paused  bool
	blocked bool
	closed  bool
	conns   map[net.Conn]struct{}
	wg      sync.WaitGroup
}

// chunk is data that is passed on at the time due.
type chunk struct {
	due  time.Time
	data []byte
}

// NewForwarder starts a forwarder to target ("ip:port") with a one-way delay.
func NewForwarder(target string, delay time.Duration) (*Forwarder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "listen for the forwarder to %s", target)
	}
	f := &Forwarder{listener: l, target: target, delay: delay, conns: map[net.Conn]struct{}{}}
	f.changed = sync.NewCond(&f.mu)
	f.wg.Add(1)
	go f.accept()
	return f, nil
}

// Address returns the "ip:port" on which the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Pause holds back all data until Resume. Connections stay open.
func (f *Forwarder) Pause() { f.update(func() { f.paused = true }) }

// Resume ends a pause.
func (f *Forwarder) Resume() { f.update(func() { f.paused = false }) }

// Block resets all connections, and closes new ones at once until Unblock.
func (f *Forwarder) Block() {
	f.update(func() {
		f.blocked = true
		f.closeConns()
	})
}

// Unblock lets new connections pass again.
func (f *Forwarder) Unblock() { f.update(func() { f.blocked = false }) }

// Close resets all connections, stops the forwarder and waits for its goroutines.
func (f *Forwarder) Close() {
	f.update(func() {
		f.closed = true
		f.closeConns()
	})
	_ = f.listener.Close()
	f.wg.Wait()
}

// update changes the state and wakes the goroutines that wait for a change.
func (f *Forwarder) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.changed.Broadcast()
}

// closeConns resets all connections. The caller holds f.mu.
func (f *Forwarder) closeConns() {
	for c := range f.conns {
		resetConn(c)
	}
}

// resetConn closes a connection so that its peer receives a TCP reset instead of an
// end of data.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves each accepted connection until the listener is closed.
func (f *Forwarder) accept() {
	defer f.wg.Done()
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.track(client) {
			_ = client.Close()
			continue
		}
		f.wg.Add(1)
		go f.serve(client)
	}
}

// track registers a connection. It returns false if the forwarder is blocked or
// closed.
func (f *Forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked || f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

// untrack closes a connection and removes it from the registered ones.
func (f *Forwarder) untrack(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.blocked {
		resetConn(c)
	}
	_ = c.Close()
	delete(f.conns, c)
}

// serve connects to the target and forwards both directions until they end.
func (f *Forwarder) serve(clientConn net.Conn) {
	defer f.wg.Done()
	defer f.untrack(clientConn)
	targetConn, err := net.DialTimeout("tcp", f.target, dialTimeout)
	if err != nil {
		return
	}
	if !f.track(targetConn) {
		_ = targetConn.Close()
		return
	}
	defer f.untrack(targetConn)
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); f.copyDelayed(targetConn, clientConn) }()
	go func() { defer directions.Done(); f.copyDelayed(clientConn, targetConn) }()
	directions.Wait()
}

// copyDelayed copies src to dst with the delay until src ends, and then closes the
// write side of dst. An error on one connection resets the other one.
func (f *Forwarder) copyDelayed(dst, src net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
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
					resetConn(dst)
				}
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		f.waitResumed()
		if _, err := dst.Write(c.data); err != nil {
			resetConn(src)
		}
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// waitResumed waits until the forwarder is not paused, or is blocked or closed.
func (f *Forwarder) waitResumed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.paused && !f.closed && !f.blocked {
		f.changed.Wait()
	}
}
