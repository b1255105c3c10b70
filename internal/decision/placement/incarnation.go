package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// incarnationRetention is the time after which an incarnation of a sidecar that sends
// nothing is forgotten. It is longer than a network delivers what an ended process sent.
const incarnationRetention = 5 * time.Minute

// incarnation is what is known about one process of a sidecar, also after its worker has
// been removed.
type incarnation struct {
	// lastSeen is the time of its last heartbeat, or of the successor's first one with
	// which its worker accepted runs.
	lastSeen time.Duration
	// ended is true once a successor's worker has accepted runs.
	ended bool
}

// replaced reports whether a later incarnation of the sidecar is known. A network
// partition can deliver heartbeats of a process that has ended long before. Fencing tokens
// order two processes of which none has replaced the other yet; they come from the time of
// day, which may be set back.
func (m *Machine) replaced(info wire.WorkerInfo) bool {
	process := info.Sidecar.Process
	if known := m.incarnations[process.Instance][process.Incarnation]; known != nil && known.ended {
		return true
	}
	for id, other := range m.workers {
		if id.Instance == process.Instance && id != process && other.info.FencingToken > info.FencingToken {
			return true
		}
	}
	return false
}

// recordIncarnation records a heartbeat of a process.
func (m *Machine) recordIncarnation(now time.Duration, process ident.Process) {
	known := m.incarnations[process.Instance]
	if known == nil {
		known = map[uint64]*incarnation{}
		m.incarnations[process.Instance] = known
	}
	if known[process.Incarnation] == nil {
		known[process.Incarnation] = &incarnation{}
	}
	known[process.Incarnation].lastSeen = now
}

// endOtherIncarnations records that a process has replaced all others of its sidecar.
func (m *Machine) endOtherIncarnations(now time.Duration, process ident.Process) {
	for number, other := range m.incarnations[process.Instance] {
		if number != process.Incarnation && !other.ended {
			other.ended, other.lastSeen = true, now
		}
	}
}

// forgetIncarnations removes the incarnations that have been silent for
// incarnationRetention.
func (m *Machine) forgetIncarnations(now time.Duration) {
	for instance, known := range m.incarnations {
		for number, i := range known {
			if now-i.lastSeen > incarnationRetention {
				delete(known, number)
			}
		}
		if len(known) == 0 {
			delete(m.incarnations, instance)
		}
	}
}
