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
	// order is the number of the incarnation in the order of the first heartbeats.
	order uint64
	// lastSeen is the time of its last heartbeat.
	lastSeen time.Duration
	// newestEnd is the number of the newest end that it has reported in a session.
	session, newestEnd uint64
	// fencingToken is the highest fencing token that it has reported.
	fencingToken int64
}

// replaced reports whether a later incarnation of the sidecar is in use. A network
// partition can deliver heartbeats of a process that has ended long before. Fencing tokens
// order two processes of which none has replaced the other yet; they come from the time of
// day, which may be set back. A process with another known one is used when it has answered to
// a reply, so that one that has ended unheard is not. An incarnation replaces others only until its worker is
// removed, so that a wrong order ends when the process that has ended is out of contact.
func (m *Machine) replaced(info wire.WorkerInfo) bool {
	process := info.Sidecar.Process
	for id, other := range m.workers {
		if id.Instance == process.Instance && id != process && (other.predecessors[process.Incarnation] || other.info.FencingToken > info.FencingToken) {
			return true
		}
	}
	return false
}

// recordIncarnation records a heartbeat of a process.
func (m *Machine) recordIncarnation(now time.Duration, info wire.WorkerInfo) {
	process := info.Sidecar.Process
	known := m.incarnations[process.Instance]
	if known == nil {
		known = map[uint64]*incarnation{}
		m.incarnations[process.Instance] = known
	}
	if known[process.Incarnation] == nil {
		m.lastIncarnation++
		known[process.Incarnation] = &incarnation{order: m.lastIncarnation}
	}
	i := known[process.Incarnation]
	i.lastSeen, i.fencingToken = now, max(i.fencingToken, info.FencingToken)
}

// FencingToken returns the highest fencing token that any known process of a sidecar has
// reported, zero if none is known. A process that has started after the time of day was set back
// raises its own above it, so that the calls of its predecessors have no effect any more.
func (m *Machine) FencingToken(sidecar string) int64 {
	highest := int64(0)
	for _, i := range m.incarnations[sidecar] {
		highest = max(highest, i.fencingToken)
	}
	return highest
}

// predecessorsOf returns the incarnations of a sidecar that were known before the process.
func (m *Machine) predecessorsOf(process ident.Process) map[uint64]bool {
	predecessors := map[uint64]bool{}
	known := m.incarnations[process.Instance]
	for number, other := range known {
		if other.order < known[process.Incarnation].order {
			predecessors[number] = true
		}
	}
	return predecessors
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

// newEnds returns the ends in a report that no earlier one has named, and records them. The
// network may deliver a report again, and late.
func (m *Machine) newEnds(report *wire.EndBatch) []wire.RunEnd {
	i := m.incarnations[report.Sidecar.Instance][report.Sidecar.Incarnation]
	if i == nil || report.FirstEnd == 0 {
		return report.Ends
	}
	if i.session != report.Session {
		i.session, i.newestEnd = report.Session, 0
	}
	known := uint64(0) // number of ends in the report that are known
	if i.newestEnd >= report.FirstEnd {
		known = min(i.newestEnd-report.FirstEnd+1, uint64(len(report.Ends)))
	}
	i.newestEnd = max(i.newestEnd, report.FirstEnd+uint64(len(report.Ends))-1)
	return report.Ends[known:]
}
