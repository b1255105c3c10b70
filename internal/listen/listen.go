// Package listen opens all listeners of a process, and keeps them accepting while
// the process lacks resources for new connections.
package listen

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// acceptRetryDelay is the time between two attempts to accept a connection after a
// transient error.
const acceptRetryDelay = 10 * time.Millisecond

// retryingListener retries Accept after a transient error. Servers stop at any
// error of Accept, so without the retries a large number of connections would end
// the process.
type retryingListener struct{ net.Listener }

// Accept waits for a connection. It returns no transient errors.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !isTransient(err) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// isTransient reports whether an error of Accept is a lack of resources or an
// aborted connection, after which a later Accept can succeed.
func isTransient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Port describes a listener to open.
type Port struct {
	// Name is the name of the port in errors, and Address the "ip:port" to listen
	// on.
	Name, Address string
	// Listener is where Open stores the listener.
	Listener *net.Listener
}

// Open opens all ports. If one fails, Open closes the others and returns an error
// that names the failed port.
func Open(ports ...Port) error {
	for i, p := range ports {
		lis, err := net.Listen("tcp", p.Address)
		if err != nil {
			Close(ports[:i]...)
			return errors.Annotatef(err, "listen on %s address %s", p.Name, p.Address)
		}
		*p.Listener = &retryingListener{Listener: lis}
	}
	return nil
}

// Close closes the open ones among the given ports.
func Close(ports ...Port) {
	for _, p := range ports {
		if *p.Listener != nil {
			(*p.Listener).Close()
		}
	}
}
