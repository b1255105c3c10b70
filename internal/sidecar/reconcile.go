package sidecar

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// reconcileEvery is the time between checks of the links against the list of
// live entry instances, besides those at each change.
const reconcileEvery = time.Second

// seed opens links to all addresses of the settings that have none.
func (s *Sidecar) seed() {
	for _, addr := range s.cfg.EntryAddresses {
		s.open(addr)
	}
}

func (s *Sidecar) open(addr string) *link {
	for _, l := range s.links {
		if l.addr == addr {
			return l
		}
	}
	l := &link{addr: addr, client: rpcnet.NewClientWithDialer(addr, s.cfg.Dial)}
	s.links = append(s.links, l)
	return l
}

// known returns the live entry instances, as the attached ones list them.
func (s *Sidecar) known() []wire.Peer {
	var peers []wire.Peer
	add := func(p wire.Peer) {
		same := func(o wire.Peer) bool { return o.Process.Instance == p.Process.Instance }
		if p.Address != "" && !s.m.OwnerFenced(p.Process) && !slices.ContainsFunc(peers, same) {
			peers = append(peers, p)
		}
	}
	for _, l := range s.links {
		if l.attached {
			add(l.peer)
		}
	}
	for _, l := range s.links {
		if l.attached {
			for _, p := range l.entries {
				add(p)
			}
		}
	}
	return peers
}

// score ranks an entry instance for a sidecar by rendezvous hash. It does not
// depend on incarnations, so a restart moves nothing.
func score(sidecar, entry string) uint64 { return xxhash.Sum64String(sidecar + "\x00" + entry) }

// desired returns the count entry instances that a sidecar attaches to: the
// first by rendezvous hash, one of them in its own zone if there is any, and
// the others spread over zones.
func desired(sidecar, zone string, peers []wire.Peer, count int) []wire.Peer {
	rest := slices.Clone(peers)
	slices.SortFunc(rest, func(a, b wire.Peer) int {
		if score(sidecar, a.Process.Instance) > score(sidecar, b.Process.Instance) {
			return -1
		}
		return 1
	})
	var chosen []wire.Peer
	used := map[string]int{}
	pick := func(i int) {
		used[rest[i].Zone]++
		chosen = append(chosen, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	if i := slices.IndexFunc(rest, func(p wire.Peer) bool { return p.Zone == zone }); i >= 0 && count > 0 {
		pick(i)
	}
	for len(chosen) < count && len(rest) > 0 {
		best := 0
		for i := range rest {
			if used[rest[i].Zone] < used[rest[best].Zone] {
				best = i
			}
		}
		pick(best)
	}
	return chosen
}

// reconcile opens links to the desired entry instances and marks the others
// as unwanted.
func (s *Sidecar) reconcile(now time.Duration) {
	s.reconciledAt = now
	s.rename()
	known := s.known()
	want := desired(s.self.Process.Instance, s.cfg.Zone, known, s.cfg.Attachments)
	for _, p := range want {
		s.open(p.Address)
	}
	for _, l := range s.links {
		l.unwanted = !slices.ContainsFunc(want, func(p wire.Peer) bool { return p.Address == l.addr })
		if !l.attached {
			// Addresses of the settings are tried until they answer once.
			seed := l.peer.Process.IsZero() && slices.Contains(s.cfg.EntryAddresses, l.addr)
			l.unwanted = l.unwanted && !seed && len(known) > 0
			continue
		}
		switch {
		case !l.unwanted:
			l.granting = true
			s.m.Attach(now, l.peer, l.window, max(len(known), 1))
		case l.granting:
			s.m.Detach(now, l.peer.Process)
			l.granting = false
			l.beat = true
		}
	}
}

// rename moves links that were opened by another address, for example that of
// a load balancer, to the address of the entry instance itself.
func (s *Sidecar) rename() {
	for _, l := range slices.Clone(s.links) {
		addr := l.peer.Address
		if !l.attached || addr == "" || addr == l.addr {
			continue
		}
		other := slices.ContainsFunc(s.links, func(o *link) bool { return o.addr == addr })
		if other {
			s.close(l)
			continue
		}
		l.client.Close()
		l.addr = addr
		l.client = rpcnet.NewClientWithDialer(addr, s.cfg.Dial)
	}
}

func (s *Sidecar) close(l *link) {
	if l.granting && !slices.ContainsFunc(s.links, func(o *link) bool { return o != l && o.granting && o.peer.Process == l.peer.Process }) {
		s.m.Detach(s.deps.Clock(), l.peer.Process)
	}
	l.granting = false
	l.attached = false
	l.client.Close()
	s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
}

// tickLinks ends the grants to silent entry instances, closes links that are
// no longer needed, and goes back to the settings when no link is left.
func (s *Sidecar) tickLinks(now time.Duration) {
	attached := 0
	for _, l := range slices.Clone(s.links) {
		if l.attached && now-l.lastHeard > s.cfg.SilentAfter {
			s.deps.Log("entry-silent", "no answer of %s at %s for %v", l.peer.Process, l.addr, now-l.lastHeard)
			s.forget(now, l)
			s.reconcile(now)
		}
		if l.attached {
			attached++
		}
		if s.disposable(l) {
			s.close(l)
		}
	}
	if attached == 0 {
		s.seed()
	}
	if now-s.reconciledAt >= reconcileEvery {
		s.reconcile(now)
	}
}

// disposable reports whether a link has no use: it is unwanted and nothing is
// owed to its owner.
func (s *Sidecar) disposable(l *link) bool {
	if !l.unwanted || l.attaching || l.beating || l.sending || l.attached && l.beat {
		return false
	}
	return s.outboxes[l.peer.Process] == nil && !s.m.HasRunningTasks(l.peer.Process)
}
