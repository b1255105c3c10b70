package sidecar

import (
	"net"
	"reflect"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// probeInterval is the time between attempts to connect to an unreachable backend
// server.
const probeInterval = 500 * time.Millisecond

// backendState is the state of the sidecar's backend server. Only the core
// goroutine uses it.
type backendState struct {
	current *wire.Backend // nil if no backend server has announced itself
	// described is the newest one that has announced itself, also if it has left.
	described *wire.Backend
	leaseEnd  time.Duration // time at which the announcement expires
	client    *backendClient
	// clients holds client and the earlier clients that may still run tasks.
	clients []*backendClient
	// unreachable is true after a failure to connect, until the backend server
	// accepts a connection or announces itself again.
	unreachable bool
	probing     bool
	nextProbe   time.Duration
}

func (b *backendState) announced() *wire.Backend { return b.current }

func (b *backendState) close() {
	for _, c := range b.clients {
		c.closeConns()
	}
}

// handleAnnouncement stores an announcement, or renews its lease if nothing else
// has changed.
func (s *Sidecar) handleAnnouncement(a *announce.Announcement) error {
	now := s.deps.Clock()
	b := a.Backend()
	setDefault(&b.Zone, s.cfg.Zone)
	setDefault(&b.Rack, s.cfg.Rack)
	if previous := s.backend.current; previous == nil || !reflect.DeepEqual(previous, b) {
		client, err := newBackendClient(b)
		if err != nil {
			return err
		}
		s.replaceClient(client)
		s.backend.current = b
		s.describe(now, b)
		s.deps.Log("backend-announced", "%s at %s with %d slots", b.Name, b.Address, b.Slots)
		for _, l := range s.links {
			l.attachDue = true
		}
	}
	s.backend.leaseEnd = now + a.Lease()
	s.backend.unreachable = false
	s.applyBackend(now)
	return nil
}

// describe records the newest backend server. Entry instances chose tasks for the earlier one, so if
// this is another one, their credits are void, and they get others when they have been told of it.
func (s *Sidecar) describe(now time.Duration, b *wire.Backend) {
	earlier := s.backend.described
	s.backend.described = b
	if earlier == nil || sameBackend(earlier, b) {
		return
	}
	for _, l := range s.links {
		if l.attached {
			s.detach(now, l)
		}
	}
}

// sameBackend reports whether tasks chosen for one backend server may run on the other. Its address
// may change, and its slots bound the number of credits only.
func sameBackend(a, b *wire.Backend) bool {
	return a.Name == b.Name && a.Service == b.Service && a.Zone == b.Zone && a.Rack == b.Rack && a.Size == b.Size
}

// replaceClient makes client the one for new tasks. The running calls of earlier
// clients continue, and their idle connections are closed.
func (s *Sidecar) replaceClient(client *backendClient) {
	if previous := s.backend.client; previous != nil {
		previous.httpClient.CloseIdleConnections()
	}
	if s.machine.Running() == 0 {
		s.backend.clients = nil
	}
	s.backend.client = client
	s.backend.clients = append(s.backend.clients, client)
}

// handleLeave stops new starts if the named backend server is the announced one, and
// reports whether it is.
func (s *Sidecar) handleLeave(name string) bool {
	if s.backend.current == nil || s.backend.current.Name != name {
		return false
	}
	s.deps.Log("backend-left", "%s takes no more tasks", name)
	s.backend.current = nil
	s.applyBackend(s.deps.Clock())
	return true
}

// checkBackend ends an expired announcement and probes an unreachable backend
// server when the next probe is due.
func (s *Sidecar) checkBackend(now time.Duration) {
	if b := s.backend.current; b != nil && now >= s.backend.leaseEnd {
		s.deps.Log("backend-lease-ended", "%s did not renew its announcement", b.Name)
		s.backend.current = nil
		s.applyBackend(now)
	}
	if s.backend.unreachable && s.backend.current != nil && !s.backend.probing && now >= s.backend.nextProbe {
		s.probe()
	}
}

// applyBackend sets the backend server for new work in the state machine. It sends
// heartbeats at once if the sidecar starts or stops accepting new work.
func (s *Sidecar) applyBackend(now time.Duration) {
	b := s.backend.current
	if s.draining || s.shuttingDown || s.backend.unreachable {
		b = nil
	}
	wasLeaving := s.leaving()
	s.machine.SetBackend(now, b)
	if s.leaving() == wasLeaving {
		return
	}
	for _, l := range s.links {
		l.heartbeatDue = true
	}
}

// markBackendUnreachable stops new starts after a failure to connect. Otherwise the
// sidecar would keep granting credits for tasks that it can't run.
func (s *Sidecar) markBackendUnreachable(now time.Duration) {
	if s.backend.unreachable || s.backend.current == nil {
		return
	}
	s.deps.Log("backend-unreachable", "cannot connect to %s at %s", s.backend.current.Name, s.backend.current.Address)
	s.backend.unreachable = true
	s.backend.nextProbe = now + probeInterval
	s.applyBackend(now)
}

// probe tries to connect to the backend server, without sending a request.
func (s *Sidecar) probe() {
	s.backend.probing = true
	client := s.backend.client
	s.pendingCalls.Add(1)
	go func() {
		defer s.pendingCalls.Done()
		conn, err := net.DialTimeout("tcp", client.address, dialTimeout)
		if err == nil {
			conn.Close()
		}
		s.post(func() {
			now := s.deps.Clock()
			s.backend.probing = false
			s.backend.nextProbe = now + probeInterval
			if err == nil && client == s.backend.client {
				s.backend.unreachable = false
				s.applyBackend(now)
			}
		})
	}()
}
