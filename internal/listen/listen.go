// Package listen opens the ports of a process together.
package listen

import (
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// acceptPause is the time between two attempts to accept a connection while
// the process lacks resources for it.
const acceptPause = 10 * time.Millisecond

// patient is a listener that survives a lack of resources: servers take any
// other error of Accept for the end of the port, and the process would end
// because of a flood of connections.
type patient struct{ net.Listener }

// Accept waits for a connection, also while file descriptors are exhausted.
func (p *patient) Accept() (net.Conn, error) {
	for {
		conn, err := p.Listener.Accept()
		if err == nil || !exhausted(err) {
			return conn, err
		}
		time.Sleep(acceptPause)
	}
}

// exhausted reports whether an error of Accept passes by itself.
func exhausted(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Port is a port to open.
type Port struct {
	// Name of the port in errors, and the "ip:port" to listen on.
	Name, Address string
	// Listener receives the listener.
	Listener *net.Listener
}

// Open opens all ports, or none. The error names the port that failed.
func Open(ports ...Port) error {
	for i, p := range ports {
		lis, err := net.Listen("tcp", p.Address)
		if err != nil {
			Close(ports[:i]...)
			return errors.Annotatef(err, "listen on %s address %s", p.Name, p.Address)
		}
		*p.Listener = &patient{Listener: lis}
	}
	return nil
}

// Close closes the ports that are open.
func Close(ports ...Port) {
	for _, p := range ports {
		if *p.Listener != nil {
			(*p.Listener).Close()
		}
	}
}
