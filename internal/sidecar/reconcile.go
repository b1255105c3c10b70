package sidecar

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/attachment"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// reconcileInterval is the time between calls of reconcile, in addition to those
// when an entry instance attaches or fails.
const reconcileInterval = time.Second

// ownZoneAttachments is the number of entry instances of the sidecar's own availability
// zone that are chosen before those of other zones.
const ownZoneAttachments = 1

// openConfiguredLinks opens links to the configured addresses that have none.
func (s *Sidecar) openConfiguredLinks() {
	for _, addr := range s.cfg.EntryAddresses {
		s.openLink(addr)
	}
}

// openLink returns the link to an address and creates it if there is none.
func (s *Sidecar) openLink(addr string) *link {
	for _, l := range s.links {
		if l.addr == addr {
			return l
		}
	}
	l := &link{addr: addr, client: rpcnet.NewClientWithDialer(addr, s.cfg.Dial)}
	s.links = append(s.links, l)
	return l
}

// liveEntries returns the attached entry instances and those that they list as live,
// one per instance name and without fenced ones.
func (s *Sidecar) liveEntries() []wire.Peer {
	var peers []wire.Peer
	add := func(p wire.Peer) {
		sameInstance := func(o wire.Peer) bool { return o.Process.Instance == p.Process.Instance }
		if p.Address != "" && !s.machine.OwnerFenced(p.Process) && !slices.ContainsFunc(peers, sameInstance) {
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

// reconcile opens links to the chosen entry instances and marks the other links as
// unwanted. It attaches wanted entry instances to the state machine and detaches
// unwanted ones from it.
func (s *Sidecar) reconcile(now time.Duration) {
	s.reconciledAt = now
	s.correctAddresses()
	live := s.liveEntries()
	chosen := attachment.Choose(s.self.Process.Instance, s.cfg.Zone, live, s.cfg.Attachments, ownZoneAttachments)
	for _, p := range chosen {
		s.openLink(p.Address)
	}
	for _, l := range s.links {
		l.unwanted = !slices.ContainsFunc(chosen, func(p wire.Peer) bool { return p.Address == l.addr })
		if !l.attached {
			// The sidecar keeps trying a configured address until it has answered
			// once.
			awaitingFirstReply := l.peer.Process.IsZero() && slices.Contains(s.cfg.EntryAddresses, l.addr)
			l.unwanted = l.unwanted && !awaitingFirstReply && len(live) > 0
			continue
		}
		switch {
		case !l.unwanted:
			l.granting = true
			s.machine.Attach(now, l.peer, l.submissionWindow, max(len(live), 1))
		case l.granting:
			s.machine.Detach(now, l.peer.Process)
			l.granting = false
			l.heartbeatDue = true
		}
	}
}

// correctAddresses replaces the address of each link that was opened with another
// address, for example that of a load balancer, by the entry instance's own address.
// It closes the link if there already is another one to that address.
func (s *Sidecar) correctAddresses() {
	for _, l := range slices.Clone(s.links) {
		addr := l.peer.Address
		if !l.attached || addr == "" || addr == l.addr {
			continue
		}
		duplicate := slices.ContainsFunc(s.links, func(o *link) bool { return o.addr == addr })
		if duplicate {
			s.closeLink(l)
			continue
		}
		l.client.Close()
		l.addr = addr
		l.client = rpcnet.NewClientWithDialer(addr, s.cfg.Dial)
	}
}

// closeLink closes and removes a link. It detaches the entry instance from the state
// machine unless another link to the same incarnation grants credits.
func (s *Sidecar) closeLink(l *link) {
	if l.granting && !slices.ContainsFunc(s.links, func(o *link) bool { return o != l && o.granting && o.peer.Process == l.peer.Process }) {
		s.machine.Detach(s.deps.Clock(), l.peer.Process)
	}
	l.granting = false
	l.attached = false
	l.client.Close()
	s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
}

// tickLinks detaches entry instances that have not replied for EntryTimeout, closes
// disposable links, and opens links to the configured addresses while no entry instance
// is attached.
func (s *Sidecar) tickLinks(now time.Duration) {
	attached := 0
	for _, l := range slices.Clone(s.links) {
		if l.attached && now-l.lastReply > s.cfg.EntryTimeout {
			s.deps.Log("entry-silent", "no reply from %s at %s for %v", l.peer.Process, l.addr, now-l.lastReply)
			s.detach(now, l)
			s.reconcile(now)
		}
		if l.attached {
			attached++
		}
		if s.disposable(l) {
			s.closeLink(l)
		}
	}
	if attached == 0 {
		s.openConfiguredLinks()
	}
	if now-s.reconciledAt >= reconcileInterval {
		s.reconcile(now)
	}
}

// disposable reports whether a link can be closed: it is unwanted, no Attach, Beat
// or Results call is in flight and no heartbeat is due on it, and its entry
// incarnation has neither running tasks nor unacknowledged results here.
func (s *Sidecar) disposable(l *link) bool {
	if !l.unwanted || l.attachInFlight || l.heartbeatInFlight || l.resultsInFlight || l.attached && l.heartbeatDue {
		return false
	}
	return s.outboxes[l.peer.Process] == nil && !s.machine.HasRunningTasks(l.peer.Process)
}
