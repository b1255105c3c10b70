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

// Watch returns a channel that is closed when the peer closes or resets the
// connection, and a function that ends the watch. If the connection is closed already,
// so is the channel. The caller must call stop before it reads from the connection
// again. Watch consumes no data of the connection. When data arrives from the peer, the
// watch ends, and a later close is not reported. If conn does not implement
// syscall.Conn, the channel is nil.
func Watch(conn net.Conn) (disconnected <-chan struct{}, stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return nil, func() {}
	}
	closedByPeer, watchEnded := make(chan struct{}), make(chan struct{})
	if closed, _ := peek(rc, false); closed {
		close(closedByPeer)
		return closedByPeer, func() {}
	}
	var stopped atomic.Bool
	go func() {
		defer close(watchEnded)
		closed, err := peek(rc, true)
		if closed || err != nil && !stopped.Load() {
			close(closedByPeer)
		}
	}()
	return closedByPeer, func() {
		stopped.Store(true)
		// A deadline in the past ends the wait in rc.Read. SetReadDeadline fails only
		// on a closed connection, whose reads have ended.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-watchEnded
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// peek reports whether the peer has closed or reset the connection. If wait is true, it
// waits until the peer does that or data arrives.
func peek(rc syscall.RawConn, wait bool) (closed bool, err error) {
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == unix.EAGAIN || err == unix.EINTR {
			return !wait // if false, Read waits until the connection is readable and calls again
		}
		closed = err != nil || n == 0
		return true
	})
	return closed, err
}
