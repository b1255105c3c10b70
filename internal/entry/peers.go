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

// peerState is what the core knows of another entry incarnation.
type peerState struct {
	client    *rpcnet.Client
	window    uint64
	revisions wire.Revisions
	sidecars  []wire.SidecarRef
	hash      uint64
	// sidecarsInForce is the lowest revision in force at all of sidecars.
	sidecarsInForce uint64
	// entries are the incarnations that the peer lists as live, identified by
	// entriesHash.
	entries     map[ident.Process]bool
	entriesHash uint64
	// haveSidecars and haveEntries are the hashes of this process's lists that
	// the peer holds.
	haveSidecars, haveEntries uint64
	draining                  bool
	// dead are the entry incarnations that the peer holds dead, and flows its
	// final limit flows with them.
	dead  []ident.Process
	flows []wire.ShareFlow
	// limits is the revision whose limits the peer has allocated.
	limits uint64
}

// view is the membership as other goroutines read it; it is replaced as a
// whole at each change.
type view struct {
	self wire.Peer
	// entries are the live entry instances, self included.
	entries     []wire.Peer
	entriesHash uint64
	dead        []ident.Process
	// peers are the other live entry incarnations.
	peers map[ident.Process]*rpcnet.Client
	// known holds all remembered entry incarnations.
	known map[ident.Process]membership.Member
	// sidecars are the attached ones with their links.
	sidecars map[ident.Process]*link
	refs     []wire.SidecarRef
	refsHash uint64
	gone     []ident.Process
}

// publish builds a new view and swaps it in.
func (c *core) publish() {
	v := &view{
		self:     wire.Peer{Process: *c.self.Load(), Address: c.e.advertised(), Zone: c.e.cfg.Zone, Region: c.e.cfg.Region},
		peers:    map[ident.Process]*rpcnet.Client{},
		known:    map[ident.Process]membership.Member{},
		sidecars: map[ident.Process]*link{},
	}
	v.entries = append(v.entries, v.self)
	for _, s := range []membership.State{membership.Live, membership.Silent, membership.Dead} {
		for _, m := range c.entries.InState(s) {
			c.viewEntry(v, m)
		}
	}
	v.entriesHash = hashEntries(v.entries)
	for _, m := range c.sidecars.InState(membership.Live) {
		s := c.links[m.Peer.Process]
		if s == nil {
			continue
		}
		v.sidecars[m.Peer.Process] = s.link
		v.refs = append(v.refs, wire.SidecarRef{Peer: m.Peer, Rack: m.Rack, InForce: s.inForce})
	}
	for p := range c.gone {
		v.gone = append(v.gone, p)
	}
	v.refsHash = hashRefs(v.refs)
	c.view.Store(v)
}

func (c *core) viewEntry(v *view, m membership.Member) {
	p := m.Peer.Process
	v.known[p] = m
	switch m.State {
	case membership.Dead:
		v.dead = append(v.dead, p)
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

func hashRefs(refs []wire.SidecarRef) uint64 {
	h := xxhash.New()
	for _, r := range refs {
		h.WriteString(r.Peer.Process.String())
		h.WriteString(r.Peer.Address)
	}
	return max(h.Sum64(), 1)
}

// hearOf notes an entry instance that somebody else named; the beat loop
// contacts it.
func (c *core) hearOf(p wire.Peer) {
	if p.Process.Instance != c.e.cfg.Instance && p.Address != "" {
		c.e.beats.add(p.Address)
	}
}

// peerBeat handles a heartbeat of another entry instance, received as a
// request or as a reply.
func (c *core) peerBeat(now time.Duration, b *wire.PeerHeartbeat) {
	p := b.Entry.Process
	if p.Instance == c.e.cfg.Instance || p.IsZero() {
		return
	}
	if !c.entries.RecordContact(now, b.Entry, "", b.Window) {
		return
	}
	ps := c.peers[p]
	if ps == nil {
		ps = &peerState{client: rpcnet.NewClientWithDialer(b.Entry.Address, c.e.cfg.Dial)}
		c.peers[p] = ps
		c.e.beats.add(b.Entry.Address)
		c.e.log(event.PeerSeen, "peer", p.String(), "address", b.Entry.Address)
		c.publish()
	}
	ps.window, ps.revisions, ps.draining = b.Window, b.Revisions, b.Draining
	ps.haveSidecars, ps.haveEntries = b.HaveSidecarsHash, b.HaveEntriesHash
	if b.SidecarsHash != ps.hash && hashRefs(b.Sidecars) == b.SidecarsHash {
		c.unlist(now, ps.sidecars)
		ps.sidecars, ps.hash, ps.sidecarsInForce = b.Sidecars, b.SidecarsHash, 0
	}
	if b.SidecarsHash == ps.hash {
		ps.sidecarsInForce = max(ps.sidecarsInForce, b.LowestSidecarRevision)
	}
	c.e.config.ObserveRevision(b.Revisions.Known)
	c.listed(ps, b)
	for _, q := range b.DeadEntries {
		c.hearDead(now, q)
	}
	c.heardGone(now, b)
	c.limitsHeard(now, ps, b)
	c.follow(now)
}

// listed takes the live entry instances that a peer lists. The list is left
// out if this process has told that it holds it.
func (c *core) listed(ps *peerState, b *wire.PeerHeartbeat) {
	if hashEntries(b.Entries) == b.EntriesHash {
		ps.entries, ps.entriesHash = make(map[ident.Process]bool, len(b.Entries)), b.EntriesHash
		for _, q := range b.Entries {
			ps.entries[q.Process] = true
		}
	}
	for _, q := range b.Entries {
		c.hearOf(q)
	}
}

// heardGone takes the sidecar incarnations that a peer knows as gone, with
// their ages: without these, two entry instances that drop them at different
// times would tell each other of them for ever.
func (c *core) heardGone(now time.Duration, b *wire.PeerHeartbeat) {
	added := false
	for i, q := range b.GoneSidecars[:min(len(b.GoneSidecars), len(b.GoneSidecarAgesMs))] {
		age := time.Duration(b.GoneSidecarAgesMs[i]) * time.Millisecond
		if _, known := c.gone[q]; !known && c.links[q] == nil && age <= c.e.cfg.retention() {
			c.gone[q] = now - age
			added = true
		}
	}
	if added {
		c.publish() // recovery reads the list there
	}
}

// hearDead takes a peer's verdict that an entry incarnation is dead. The
// verdict on this incarnation ends it.
func (c *core) hearDead(now time.Duration, p ident.Process) {
	if p == *c.self.Load() {
		c.e.log(event.EntryFenced)
		c.restart(now)
		return
	}
	if m, ok := c.entries.Get(p); !ok || m.State != membership.Dead {
		c.entries.MarkDead(now, p)
	}
}

// entryChanged acts on a state change of another entry incarnation.
func (c *core) entryChanged(now time.Duration, t membership.Transition) {
	p := t.Member.Peer.Process
	switch t.Member.State {
	case membership.Silent:
		c.e.log(event.PeerLost, "peer", p.String())
	case membership.Dead:
		c.e.log(event.EntryOwnerDead, "peer", p.String())
		c.losses.Add(now, t.Member)
		c.ledger.ClosePeer(p)
		if ps := c.peers[p]; ps != nil {
			if ps.hash != 0 {
				c.noteSidecars(p, ps.sidecars)
			}
			go ps.client.Close()
			delete(c.peers, p)
		}
		for _, s := range c.links {
			s.link.fenceOwner(p)
		}
	}
}

// fenceOwner tells the sidecar that an entry incarnation is dead. A lost call
// is made up for by the dead list of the next attach.
func (l *link) fenceOwner(p ident.Process) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
		defer cancel()
		var reply wire.FenceOwnerReply
		req := wire.FenceOwnerRequest{Owners: []ident.Process{p}}
		_ = l.client.Call(ctx, wire.ServiceSidecar+".FenceOwner", &req, &reply)
	}()
}

// sidecarsInForce returns the lowest revision in force at the listed sidecars.
func (c *core) sidecarsInForce(v *view) uint64 {
	lowest := uint64(0)
	for i, r := range v.refs {
		s := c.links[r.Peer.Process]
		if s == nil {
			return 0
		}
		if i == 0 || s.inForce < lowest {
			lowest = s.inForce
		}
	}
	return lowest
}

// ownBeat builds the heartbeat to a peer, in the core loop. Lists that the peer
// has shown to hold are left out.
func (c *core) ownBeat(now time.Duration, to ident.Process) wire.PeerHeartbeat {
	v := c.view.Load()
	b := wire.PeerHeartbeat{
		Entry:        v.self,
		Window:       c.window.Load(),
		Revisions:    c.e.config.Revisions(),
		SidecarsHash: v.refsHash,
		EntriesHash:  v.entriesHash,
		DeadEntries:  v.dead,
		Draining:     c.draining.Load(),
	}
	for p, at := range c.gone {
		b.GoneSidecars = append(b.GoneSidecars, p)
		b.GoneSidecarAgesMs = append(b.GoneSidecarAgesMs, (now - at).Milliseconds())
	}
	b.LowestSidecarRevision = c.sidecarsInForce(v)
	ps := c.peers[to]
	if ps != nil {
		b.HaveSidecarsHash, b.HaveEntriesHash = ps.hash, ps.entriesHash
	}
	if ps == nil || ps.haveSidecars != v.refsHash {
		b.Sidecars = v.refs
	}
	if ps == nil || ps.haveEntries != v.entriesHash {
		b.Entries = v.entries
	}
	c.limitsTold(now, to, &b)
	return b
}
