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
	// statusInterval is the time between two looks at the revisions in force.
	statusInterval = 200 * time.Millisecond
	// reachedRevisions is the number of remembered revisions.
	reachedRevisions = 1024
)

// reached notes when all live processes had a revision in force.
type reached struct {
	revision uint64
	at       time.Time
}

// progress is what the status of the resources is made of. It is replaced as
// a whole.
type progress struct {
	processes []resourceapi.Process
	// reached is sorted by revision.
	reached []reached
}

// lowest returns the lowest revision in force.
func (p *progress) lowest() uint64 {
	if len(p.processes) == 0 {
		return 0
	}
	low := p.processes[0].InForce
	for _, q := range p.processes {
		low = min(low, q.InForce)
	}
	return low
}

// watchProgress follows the revisions of the live processes.
func (e *Entry) watchProgress() {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.updateProgress()
		}
	}
}

func (e *Entry) updateProgress() {
	next := &progress{}
	if !e.core.call(func(time.Duration) { next.processes = e.core.processes() }) {
		return
	}
	if old := e.progress.Load(); old != nil {
		next.reached = old.reached
	}
	low := next.lowest()
	if n := len(next.reached); low > 0 && (n == 0 || next.reached[n-1].revision < low) {
		kept := next.reached[max(0, n-reachedRevisions+1):]
		next.reached = append(append([]reached{}, kept...), reached{low, time.Now()})
		e.progress.Store(next)
		if e.deps.StatusChanged != nil {
			e.deps.StatusChanged()
		}
		return
	}
	e.progress.Store(next)
}

// processes lists the live processes of the fleet, in the core loop.
func (c *core) processes() []resourceapi.Process {
	v := c.view.Load()
	own := c.e.config.Revisions()
	out := []resourceapi.Process{{
		Process: v.self.Process, Role: "entry", Address: v.self.Address, Zone: v.self.Zone,
		Known: own.Known, InForce: c.inForce(), Rejected: own.Rejected, Draining: c.draining.Load(),
	}}
	sidecars := map[wire.Peer]resourceapi.Process{}
	for _, m := range c.entries.InState(membership.Live) {
		ps := c.peers[m.Peer.Process]
		if ps == nil {
			continue
		}
		out = append(out, resourceapi.Process{
			Process: m.Peer.Process, Role: "entry", Address: m.Peer.Address, Zone: m.Peer.Zone,
			Known: ps.revisions.Known, InForce: ps.inForce(c.document), Rejected: ps.revisions.Rejected, Draining: ps.draining,
		})
		for _, r := range ps.sidecars {
			r.InForce = max(r.InForce, ps.sidecarsInForce)
			addSidecar(sidecars, r)
		}
	}
	for _, m := range c.sidecars.InState(membership.Live) {
		if s := c.links[m.Peer.Process]; s != nil {
			addSidecar(sidecars, wire.SidecarRef{Peer: m.Peer, Rack: m.Rack, InForce: s.inForce})
		}
	}
	for peer, p := range sidecars {
		if _, gone := c.gone[peer.Process]; !gone {
			out = append(out, p)
		}
	}
	return out
}

// inForce returns the revision in force at a peer.
func (ps *peerState) inForce(doc *resource.Document) uint64 {
	if doc != nil && len(limit.FromDocument(doc)) > 0 {
		return min(ps.revisions.InForce, ps.limits)
	}
	return ps.revisions.InForce
}

// addSidecar merges what several entry instances know of a sidecar.
func addSidecar(all map[wire.Peer]resourceapi.Process, r wire.SidecarRef) {
	p := all[r.Peer]
	all[r.Peer] = resourceapi.Process{
		Process: r.Peer.Process, Role: "sidecar", Address: r.Peer.Address, Zone: r.Peer.Zone, Rack: r.Rack,
		Known: max(p.Known, r.InForce), InForce: max(p.InForce, r.InForce),
	}
}

// Processes implements resourceapi.StatusSource.
func (e *Entry) Processes() []resourceapi.Process {
	if p := e.progress.Load(); p != nil {
		return p.processes
	}
	return nil
}

// InForce implements resourceapi.StatusSource.
func (e *Entry) InForce(revision uint64) (processes, inForce int, since time.Time) {
	p := e.progress.Load()
	if p == nil {
		return 0, 0, time.Time{}
	}
	for _, q := range p.processes {
		if q.InForce >= revision {
			inForce++
		}
	}
	for _, r := range p.reached {
		if r.revision >= revision {
			return len(p.processes), inForce, r.at
		}
	}
	return len(p.processes), inForce, time.Time{}
}

// Work implements resourceapi.StatusSource: it sums up all entry instances.
func (e *Entry) Work(ref resource.Ref) *resource.WorkSummary {
	return e.work.of(ref)
}

// Reload takes a new configuration document now.
func (e *Entry) Reload() { e.core.post(e.core.reload) }

// Self implements controller.PeerSet.
func (e *Entry) Self() wire.Peer { return e.core.view.Load().self }

// AddPeer implements controller.PeerSet.
func (e *Entry) AddPeer(p wire.Peer) {
	e.core.post(func(time.Duration) { e.core.hearOf(p) })
}
