package entry

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// statusInterval is the time between two checks of the revisions in force.
	statusInterval = 200 * time.Millisecond
	// maxRolloutTimes is the number of revisions whose rollout times are kept.
	maxRolloutTimes = 1024
)

// rolloutTime is the time when all live processes first had a revision in force.
type rolloutTime struct {
	revision uint64
	at       time.Time
}

// rollout holds the live processes with their revisions in force, from which the
// resource API computes the status of the resources. A rollout is never changed;
// updateRollout replaces it.
type rollout struct {
	processes []resourceapi.Process
	// completed is sorted by revision.
	completed []rolloutTime
}

// lowestRevision returns the lowest revision in force.
func (r *rollout) lowestRevision() uint64 {
	if len(r.processes) == 0 {
		return 0
	}
	low := r.processes[0].InForce
	for _, q := range r.processes {
		low = min(low, q.InForce)
	}
	return low
}

// watchRollout updates the rollout regularly until the instance stops.
func (e *Entry) watchRollout() {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.updateRollout()
		}
	}
}

func (e *Entry) updateRollout() {
	next := &rollout{}
	if !e.core.call(func(time.Duration) { next.processes = e.core.processes() }) {
		return
	}
	if old := e.rollout.Load(); old != nil {
		next.completed = old.completed
	}
	low := next.lowestRevision()
	if n := len(next.completed); low > 0 && (n == 0 || next.completed[n-1].revision < low) {
		kept := next.completed[max(0, n-maxRolloutTimes+1):]
		next.completed = append(append([]rolloutTime{}, kept...), rolloutTime{low, time.Now()})
		e.rollout.Store(next)
		if e.deps.StatusChanged != nil {
			e.deps.StatusChanged()
		}
		return
	}
	e.rollout.Store(next)
}

// processes returns all live processes. It must run in the core loop.
func (c *core) processes() []resourceapi.Process {
	v := c.view.Load()
	own := c.e.configSource.Revisions()
	out := []resourceapi.Process{{
		Process: v.self.Process, Role: "entry", Address: v.self.Address, Zone: v.self.Zone,
		Known: own.Known, InForce: c.inForce(), Rejected: own.Rejected, Draining: c.draining.Load(),
	}}
	sidecars := map[wire.Peer]resourceapi.Process{}
	for _, m := range c.entryTable.InState(membership.Live) {
		ps := c.peers[m.Peer.Process]
		if ps == nil {
			continue
		}
		out = append(out, resourceapi.Process{
			Process: m.Peer.Process, Role: "entry", Address: m.Peer.Address, Zone: m.Peer.Zone,
			Known: ps.revisions.Known, InForce: ps.inForce(c.document), Rejected: ps.revisions.Rejected, Draining: ps.draining,
		})
		for _, r := range ps.sidecars {
			r.InForce = max(r.InForce, ps.lowestSidecarRevision)
			addSidecar(sidecars, r)
		}
	}
	for _, m := range c.sidecarTable.InState(membership.Live) {
		if s := c.attachedSidecars[m.Peer.Process]; s != nil {
			addSidecar(sidecars, wire.SidecarRef{Peer: m.Peer, Rack: m.Rack, InForce: s.inForce})
		}
	}
	for peer, p := range sidecars {
		if _, gone := c.goneSidecars[peer.Process]; !gone {
			out = append(out, p)
		}
	}
	return out
}

// inForce returns the revision in force at a peer.
func (ps *peerState) inForce(doc *resource.Document) uint64 {
	if doc != nil && len(limit.FromDocument(doc)) > 0 {
		return min(ps.revisions.InForce, ps.allocationRevision)
	}
	return ps.revisions.InForce
}

// addSidecar merges what several entry instances report about a sidecar.
func addSidecar(all map[wire.Peer]resourceapi.Process, r wire.SidecarRef) {
	p := all[r.Peer]
	all[r.Peer] = resourceapi.Process{
		Process: r.Peer.Process, Role: "sidecar", Address: r.Peer.Address, Zone: r.Peer.Zone, Rack: r.Rack,
		Known: max(p.Known, r.InForce), InForce: max(p.InForce, r.InForce),
	}
}

// Processes implements resourceapi.StatusSource.
func (e *Entry) Processes() []resourceapi.Process {
	if current := e.rollout.Load(); current != nil {
		return current.processes
	}
	return nil
}

// InForce implements resourceapi.StatusSource.
func (e *Entry) InForce(revision uint64) (processes, inForce int, since time.Time) {
	current := e.rollout.Load()
	if current == nil {
		return 0, 0, time.Time{}
	}
	for _, q := range current.processes {
		if q.InForce >= revision {
			inForce++
		}
	}
	for _, r := range current.completed {
		if r.revision >= revision {
			return len(current.processes), inForce, r.at
		}
	}
	return len(current.processes), inForce, time.Time{}
}

// Work implements resourceapi.StatusSource. It returns the sums over all entry
// instances.
func (e *Entry) Work(ref resource.Ref) *resource.WorkSummary {
	return e.workCache.summarize(ref)
}

// Reload puts a new configuration document into use without waiting for the next
// tick.
func (e *Entry) Reload() { e.core.call(e.core.reloadDocument) }

// Self implements controller.PeerSet.
func (e *Entry) Self() wire.Peer { return e.core.view.Load().self }

// AddPeer implements controller.PeerSet.
func (e *Entry) AddPeer(p wire.Peer) {
	e.core.post(func(time.Duration) { e.core.addPeer(p) })
}
