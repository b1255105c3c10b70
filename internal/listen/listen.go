// Package listen opens the ports of a process together.
package listen

import (
	"net"

	"github.com/juju/errors"
)

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
		*p.Listener = lis
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
