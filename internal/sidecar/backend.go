package sidecar

import (
	"net"
	"reflect"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// probeEvery is the time between attempts to reach a backend server that has
// refused a connection.
const probeEvery = 500 * time.Millisecond

// backendState is what the sidecar knows of its backend server. It belongs to
// the core goroutine.
type backendState struct {
	current *wire.Backend // nil: none announced
	leaseAt time.Duration // end of the lease
	client  *backendClient
	clients []*backendClient
	// down is true after a refused connection, until the backend server
	// accepts one or announces itself again.
	down    bool
	probing bool
	probeAt time.Duration
}

func (b *backendState) announced() *wire.Backend { return b.current }

func (b *backendState) close() {
	for _, c := range b.clients {
		c.abort()
	}
}

// announce takes an announcement or renews its lease.
func (s *Sidecar) announce(a *announce.Announcement) error {
	now := s.deps.Clock()
	b := a.Backend()
	setDefault(&b.Zone, s.cfg.Zone)
	setDefault(&b.Rack, s.cfg.Rack)
	if old := s.backend.current; old == nil || !reflect.DeepEqual(old, b) {
		client, err := newBackendClient(b)
		if err != nil {
			return err
		}
		s.replaceClient(client)
		s.backend.current = b
		s.deps.Log("backend-announced", "%s at %s with %d slots", b.Name, b.Address, b.Slots)
		for _, l := range s.links {
			l.reattach = true
		}
	}
	s.backend.leaseAt = now + a.Lease()
	s.backend.down = false
	s.applyBackend(now)
	return nil
}

// replaceClient switches to a new client. Calls of earlier ones end on their
// own; their idle connections close.
func (s *Sidecar) replaceClient(client *backendClient) {
	if old := s.backend.client; old != nil {
		old.hc.CloseIdleConnections()
	}
	if s.m.Running() == 0 {
		s.backend.clients = nil
	}
	s.backend.client = client
	s.backend.clients = append(s.backend.clients, client)
}

// leave ends new work if the named backend server is the announced one.
func (s *Sidecar) leave(name string) bool {
	if s.backend.current == nil || s.backend.current.Name != name {
		return false
	}
	s.deps.Log("backend-left", "%s leaves", name)
	s.backend.current = nil
	s.applyBackend(s.deps.Clock())
	return true
}

func (s *Sidecar) checkLease(now time.Duration) {
	if b := s.backend.current; b != nil && now >= s.backend.leaseAt {
		s.deps.Log("backend-lease-ended", "%s did not renew its announcement", b.Name)
		s.backend.current = nil
		s.applyBackend(now)
	}
	if s.backend.down && s.backend.current != nil && !s.backend.probing && now >= s.backend.probeAt {
		s.probe()
	}
}

// applyBackend tells the state machine which backend server takes new work,
// and the entry instances at once when that changes.
func (s *Sidecar) applyBackend(now time.Duration) {
	b := s.backend.current
	if s.draining || s.closing || s.backend.down {
		b = nil
	}
	was := s.leaving()
	s.m.SetBackend(now, b)
	if s.leaving() == was {
		return
	}
	for _, l := range s.links {
		l.beat = true
	}
}

// backendDown stops new starts after a refused connection, so that the worker
// does not draw tasks only to refuse them.
func (s *Sidecar) backendDown(now time.Duration) {
	if s.backend.down || s.backend.current == nil {
		return
	}
	s.deps.Log("backend-unreachable", "%s at %s refuses connections", s.backend.current.Name, s.backend.current.Address)
	s.backend.down = true
	s.backend.probeAt = now + probeEvery
	s.applyBackend(now)
}

// probe opens a connection to the backend server without a request.
func (s *Sidecar) probe() {
	s.backend.probing = true
	client := s.backend.client
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		conn, err := net.DialTimeout("tcp", client.address, dialTimeout)
		if err == nil {
			conn.Close()
		}
		s.post(func() {
			now := s.deps.Clock()
			s.backend.probing = false
			s.backend.probeAt = now + probeEvery
			if err == nil && client == s.backend.client {
				s.backend.down = false
				s.applyBackend(now)
			}
		})
	}()
}
