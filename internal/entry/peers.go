package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// peerState holds what the core knows about another entry incarnation.
type peerState struct {
	client       *rpcnet.Client
	window       uint64
	revisions    wire.Revisions
	sidecars     []wire.SidecarRef
	sidecarsHash uint64
	// lowestSidecarRevision is the lowest revision in force at the peer's
	// sidecars.
	lowestSidecarRevision uint64
	// entries are the incarnations that the peer lists as live; entriesHash is the
	// hash of the list.
	entries     map[ident.Process]bool
	entriesHash uint64
	// heldSidecarsHash and heldEntriesHash are the hashes of this process's lists
	// that the peer holds.
	heldSidecarsHash, heldEntriesHash uint64
	draining                          bool
	// deadEntries are the entry incarnations that the peer considers dead, and
	// finalFlows its final transfers of limit share with them.
	deadEntries []ident.Process
	finalFlows  []wire.ShareFlow
	// allocationRevision is the configuration revision of the peer's limit
	// allocation.
	allocationRevision uint64
}

// view is a snapshot of the membership for other goroutines. A view is never
// changed; publishView replaces it.
type view struct {
	self wire.Peer
	// entries are the live entry instances, including self.
	entries     []wire.Peer
	entriesHash uint64
	deadEntries []ident.Process
	// peers are the other live entry incarnations.
	peers map[ident.Process]*rpcnet.Client
	// entryMembers holds all live, silent and dead entry incarnations.
	entryMembers map[ident.Process]membership.Member
	// sidecarClients holds the clients of the attached live sidecars.
	sidecarClients map[ident.Process]*sidecarClient
	sidecars       []wire.SidecarRef
	sidecarsHash   uint64
	goneSidecars   []ident.Process
}

// publishView builds a new view and stores it.
func (c *core) publishView() {
	v := &view{
		self:           wire.Peer{Process: *c.self.Load(), Address: c.e.advertisedAddress(), Zone: c.e.cfg.Zone, Region: c.e.cfg.Region},
		peers:          map[ident.Process]*rpcnet.Client{},
		entryMembers:   map[ident.Process]membership.Member{},
		sidecarClients: map[ident.Process]*sidecarClient{},
	}
	v.entries = append(v.entries, v.self)
	for _, s := range []membership.State{membership.Live, membership.Silent, membership.Dead} {
		for _, m := range c.entryTable.InState(s) {
			c.addEntryToView(v, m)
		}
	}
	v.entriesHash = hashEntries(v.entries)
	for _, m := range c.sidecarTable.InState(membership.Live) {
		s := c.attachedSidecars[m.Peer.Process]
		if s == nil {
			continue
		}
		v.sidecarClients[m.Peer.Process] = s.client
		v.sidecars = append(v.sidecars, wire.SidecarRef{Peer: m.Peer, Rack: m.Rack, InForce: s.inForce})
	}
	for p := range c.goneSidecars {
		v.goneSidecars = append(v.goneSidecars, p)
	}
	v.sidecarsHash = hashSidecars(v.sidecars)
	c.view.Store(v)
}

func (c *core) addEntryToView(v *view, m membership.Member) {
	p := m.Peer.Process
	v.entryMembers[p] = m
	switch m.State {
	case membership.Dead:
		v.deadEntries = append(v.deadEntries, p)
	case membership.Live:
		if ps := c.peers[p]; ps != nil {
			v.entries = append(v.entries, m.Peer)
			v.peers[p] = ps.client
		}
	}
}

func hashEntries(entries []wire.Peer) (hash uint64) {
	for _, e := range entries {
		hash += xxhash.Sum64String(e.Process.String())
	}
	return hash
}

func hashSidecars(refs []wire.SidecarRef) uint64 {
	h := xxhash.New()
	for _, r := range refs {
		h.WriteString(r.Peer.Process.String())
		h.WriteString(r.Peer.Address)
	}
	return max(h.Sum64(), 1)
}

// addPeer starts heartbeats to an entry instance that another process reported.
func (c *core) addPeer(p wire.Peer) {
	if p.Process.Instance != c.e.cfg.Instance && p.Address != "" {
		c.e.heartbeater.add(p.Address)
	}
}

// handlePeerHeartbeat applies a heartbeat of another entry instance, which may be
// a request or a reply.
func (c *core) handlePeerHeartbeat(now time.Duration, b *wire.PeerHeartbeat) {
	p := b.Entry.Process
	if p.Instance == c.e.cfg.Instance || p.IsZero() {
		return
	}
	if !c.entryTable.RecordContact(now, b.Entry, "", b.Window) {
		return
	}
	ps := c.peers[p]
	if ps == nil {
		ps = &peerState{client: rpcnet.NewClientWithDialer(b.Entry.Address, c.e.cfg.Dial)}
		c.peers[p] = ps
		c.e.heartbeater.add(b.Entry.Address)
		c.e.log(event.PeerSeen, "peer", p.String(), "address", b.Entry.Address)
		c.publishView()
	}
	ps.window, ps.revisions, ps.draining = b.Window, b.Revisions, b.Draining
	ps.heldSidecarsHash, ps.heldEntriesHash = b.HaveSidecarsHash, b.HaveEntriesHash
	if b.SidecarsHash != ps.sidecarsHash && hashSidecars(b.Sidecars) == b.SidecarsHash {
		c.recordFormerSidecars(now, ps.sidecars)
		ps.sidecars, ps.sidecarsHash, ps.lowestSidecarRevision = b.Sidecars, b.SidecarsHash, 0
	}
	if b.SidecarsHash == ps.sidecarsHash {
		ps.lowestSidecarRevision = max(ps.lowestSidecarRevision, b.LowestSidecarRevision)
	}
	c.e.configSource.ObserveRevision(b.Revisions.Known)
	c.applyEntryList(ps, b)
	for _, q := range b.DeadEntries {
		c.applyDeadEntry(now, q)
	}
	c.applyGoneSidecars(now, b)
	c.applyLimitFields(now, ps, b)
	c.applyTransitions(now)
}

// applyEntryList applies a peer's list of live entry instances. The peer omits
// the list if this process has reported that it holds it.
func (c *core) applyEntryList(ps *peerState, b *wire.PeerHeartbeat) {
	if hashEntries(b.Entries) == b.EntriesHash {
		ps.entries, ps.entriesHash = make(map[ident.Process]bool, len(b.Entries)), b.EntriesHash
		for _, q := range b.Entries {
			ps.entries[q.Process] = true
		}
	}
	for _, q := range b.Entries {
		c.addPeer(q)
	}
}

// applyGoneSidecars applies a peer's list of ended sidecar incarnations and the
// times since their ends. Without these times, two entry instances that remove an
// ended sidecar at different times would report it to each other forever.
func (c *core) applyGoneSidecars(now time.Duration, b *wire.PeerHeartbeat) {
	added := false
	for i, q := range b.GoneSidecars[:min(len(b.GoneSidecars), len(b.GoneSidecarAgesMs))] {
		age := time.Duration(b.GoneSidecarAgesMs[i]) * time.Millisecond
		if _, known := c.goneSidecars[q]; !known && c.attachedSidecars[q] == nil && age <= c.e.cfg.retention() {
			c.goneSidecars[q] = now - age
			added = true
		}
	}
	if added {
		c.publishView() // recovery reads goneSidecars from the view
	}
}

// applyDeadEntry applies a peer's report that an entry incarnation is dead. If the
// report is about this incarnation, this process starts a new one.
func (c *core) applyDeadEntry(now time.Duration, p ident.Process) {
	if p == *c.self.Load() {
		c.e.log(event.EntryFenced)
		c.restartIncarnation(now)
		return
	}
	if m, ok := c.entryTable.Get(p); !ok || m.State != membership.Dead {
		c.entryTable.MarkDead(now, p)
	}
}

// handleEntryTransition handles a state change of another entry incarnation.
func (c *core) handleEntryTransition(now time.Duration, t membership.Transition) {
	p := t.Member.Peer.Process
	switch t.Member.State {
	case membership.Silent:
		c.e.log(event.PeerLost, "peer", p.String())
	case membership.Dead:
		c.e.log(event.EntryOwnerDead, "peer", p.String())
		c.lossGrouper.Add(now, t.Member)
		c.limiter.ClosePeer(p)
		if ps := c.peers[p]; ps != nil {
			if ps.sidecarsHash != 0 {
				c.recordHolderSidecars(p, ps.sidecars)
			}
			go ps.client.Close()
			delete(c.peers, p)
		}
		for _, s := range c.attachedSidecars {
			s.client.fenceOwner(p)
		}
	}
}

// fenceOwner tells the sidecar that an entry incarnation is dead. If the call
// fails, the sidecar learns it from AttachReply.DeadEntries of its next attach.
func (sc *sidecarClient) fenceOwner(p ident.Process) {
	go func() {
		ctx, cancel := context.WithTimeout(sc.ctx, callTimeout)
		defer cancel()
		var reply wire.FenceOwnerReply
		req := wire.FenceOwnerRequest{Owners: []ident.Process{p}}
		_ = sc.client.Call(ctx, wire.ServiceSidecar+".FenceOwner", &req, &reply)
	}()
}

// lowestSidecarRevision returns the lowest revision in force at any sidecar of the
// view.
func (c *core) lowestSidecarRevision(v *view) uint64 {
	lowest := uint64(0)
	for i, r := range v.sidecars {
		s := c.attachedSidecars[r.Peer.Process]
		if s == nil {
			return 0
		}
		if i == 0 || s.inForce < lowest {
			lowest = s.inForce
		}
	}
	return lowest
}

// newPeerHeartbeat returns the heartbeat to a peer. It omits the lists that the
// peer has reported to hold. It must run in the core loop.
func (c *core) newPeerHeartbeat(now time.Duration, to ident.Process) wire.PeerHeartbeat {
	v := c.view.Load()
	b := wire.PeerHeartbeat{
		Entry:        v.self,
		Window:       c.window.Load(),
		Revisions:    c.e.configSource.Revisions(),
		SidecarsHash: v.sidecarsHash,
		EntriesHash:  v.entriesHash,
		DeadEntries:  v.deadEntries,
		Draining:     c.draining.Load(),
	}
	for p, at := range c.goneSidecars {
		b.GoneSidecars = append(b.GoneSidecars, p)
		b.GoneSidecarAgesMs = append(b.GoneSidecarAgesMs, (now - at).Milliseconds())
	}
	b.LowestSidecarRevision = c.lowestSidecarRevision(v)
	ps := c.peers[to]
	if ps != nil {
		b.HaveSidecarsHash, b.HaveEntriesHash = ps.sidecarsHash, ps.entriesHash
	}
	if ps == nil || ps.heldSidecarsHash != v.sidecarsHash {
		b.Sidecars = v.sidecars
	}
	if ps == nil || ps.heldEntriesHash != v.entriesHash {
		b.Entries = v.entries
	}
	c.addLimitFields(now, to, &b)
	return b
}
