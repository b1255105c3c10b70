package daemon

import (
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/settings"
)

// EntryRole is the runtime of an entry instance.
type EntryRole interface{ Runner }

// SidecarRole is the runtime of a sidecar.
type SidecarRole interface{ Runner }

// StandaloneRole is the runtime of all roles in one process.
type StandaloneRole interface {
	Runner
	// Ready delivers the addresses once when both APIs accept connections.
	Ready() <-chan Addresses
}

// Addresses are those of the APIs of a standalone process, "ip:port".
type Addresses struct {
	Caller   string
	Operator string
}

// errNotLinked means that this build lacks the runtime of a role.
const errNotLinked = errors.ConstError("the runtime of this role is not part of this build")

// newEntry builds the runtime of an entry instance.
func newEntry(s *settings.Entry, _ *metrics.Registry) (EntryRole, error) {
	return nil, errors.Annotatef(errNotLinked, "instance %s", s.Instance)
}

// newSidecar builds the runtime of a sidecar.
func newSidecar(s *settings.Sidecar, _ *metrics.Registry) (SidecarRole, error) {
	return nil, errors.Annotatef(errNotLinked, "instance %s", s.Instance)
}

// newStandalone builds all roles with the embedded store and the sample
// backend servers.
func newStandalone(s *settings.Standalone, _ *metrics.Registry) (StandaloneRole, error) {
	return nil, errors.Annotatef(errNotLinked, "caller address %s", s.CallerAddress)
}
