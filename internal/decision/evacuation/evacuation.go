// Package evacuation decides which workers may get work while operators evacuate availability
// zones, and how a worker gets its work back afterwards. It does no I/O.
package evacuation

import (
	"slices"

	"github.com/juju/errors"
)

const (
	// MaxZones bounds the zones of a state, and MaxZoneBytes the name of each, so that a state
	// fits into a message.
	MaxZones     = 1000
	MaxZoneBytes = 200
	// maxRevision bounds revisions. A higher one would stay the highest for good.
	maxRevision = uint64(1) << 53
)

// State is the set of the zones under evacuation at a revision of the store. The zero State means
// that none is known. A State is immutable: copies share Zones.
type State struct {
	// Revision is a revision of the store at which Zones was complete.
	Revision uint64 `msgpack:"r"`
	// Zones are the names of the zones, sorted.
	Zones []string `msgpack:"z,omitempty"`
}

// ValidZone reports whether a zone of this name can be evacuated.
func ValidZone(name string) bool { return name != "" && len(name) <= MaxZoneBytes }

// NewState returns the state with the given zones, the first MaxZones of them in the order of
// their names. The second result is false if it leaves out zones.
func NewState(revision uint64, zones []string) (State, bool) {
	sorted := slices.Compact(slices.Sorted(slices.Values(zones)))
	kept := sorted[:min(len(sorted), MaxZones)]
	return State{Revision: revision, Zones: kept}, len(kept) == len(sorted)
}

// Validate checks a state that another process has sent. Errors satisfy errors.IsNotValid.
func (s State) Validate() error {
	if s.Revision == 0 || s.Revision > maxRevision || len(s.Zones) > MaxZones {
		return errors.NotValidf("evacuation of %d zones at revision %d", len(s.Zones), s.Revision)
	}
	for _, zone := range s.Zones {
		if !ValidZone(zone) {
			return errors.NotValidf("evacuation of a zone with a name of %d bytes", len(zone))
		}
	}
	return nil
}

// Known reports whether s is the state at any revision.
func (s State) Known() bool { return s.Revision > 0 }

// Replaces reports whether s replaces the state other. One of a lower or equal revision never
// does, whichever way it comes.
func (s State) Replaces(other State) bool { return s.Revision > other.Revision }

// Allows reports whether a worker in a zone may get work.
func (s State) Allows(zone string) bool { return !slices.Contains(s.Zones, zone) }

// Without returns the zones of s that other does not have.
func (s State) Without(other State) []string {
	return slices.DeleteFunc(slices.Clone(s.Zones), func(zone string) bool { return !other.Allows(zone) })
}
