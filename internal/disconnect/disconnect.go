// Package disconnect detects that the peer closes a connection while the server
// handles a request from it.
package disconnect

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watcher watches one connection while the server handles a request. It consumes no data
// of the connection.
type Watcher struct {
	conn net.Conn
	// raw is nil if the connection can't be watched.
	raw  syscall.RawConn
	left chan struct{}
	// ended is closed when the watch has ended.
	ended   chan struct{}
	stopped atomic.Bool
}

// Watch begins to watch a connection until Stop. If conn does not implement
// syscall.Conn, the Watcher never reports anything.
func Watch(conn net.Conn) *Watcher {
	w := &Watcher{conn: conn}
	c, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return w
	}
	w.raw, w.left, w.ended = raw, make(chan struct{}), make(chan struct{})
	go w.wait()
	return w
}

// wait waits until the peer closes the connection or Stop is called.
func (w *Watcher) wait() {
	defer close(w.ended)
	closed := false
	err := w.raw.Read(func(fd uintptr) bool {
		closed = hasClosed(fd)
		return closed // if not, Read waits until data or a close arrives and calls again
	})
	if closed || err != nil && !w.stopped.Load() {
		close(w.left)
	}
}

// hasClosed reports whether the peer has closed or reset a connection.
func hasClosed(fd uintptr) bool {
	var one [1]byte
	n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil || n == 0:
		return true
	}
	// Unread data hides a close from a read.
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	ready, err := unix.Poll(fds, 0)
	return err == nil && ready > 0
}

// Left returns a channel that is closed when the peer closes or resets the connection.
func (w *Watcher) Left() <-chan struct{} { return w.left }

// HasLeft reports whether the peer has closed or reset the connection, also if the
// channel of Left has not been closed yet.
func (w *Watcher) HasLeft() bool {
	if w.raw == nil {
		return false
	}
	closed := false
	err := w.raw.Control(func(fd uintptr) { closed = hasClosed(fd) })
	return closed || err != nil
}

// Stop ends the watch. It must be called before the connection is read again.
func (w *Watcher) Stop() {
	if w.raw == nil {
		return
	}
	w.stopped.Store(true)
	// A deadline in the past ends the wait in Read. SetReadDeadline fails only on a closed
	// connection, whose reads have ended.
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.ended
	_ = w.conn.SetReadDeadline(time.Time{})
}
