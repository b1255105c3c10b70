package entry

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// heldBy waits until an entry instance holds a peer's current lists, and
// returns the heartbeat that it sends to the peer then.
func heldBy(t *testing.T, e, peer *Entry) wire.PeerHeartbeat {
	t.Helper()
	p := peer.Self().Process
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var b wire.PeerHeartbeat
		have := false
		e.core.call(func(now time.Duration) {
			ps := e.core.peers[p]
			have = ps != nil && ps.hash == peer.core.view.Load().refsHash && ps.haveSidecars == e.core.view.Load().refsHash &&
				ps.haveEntries == e.core.view.Load().entriesHash
			b = e.core.ownBeat(now, p)
		})
		if have {
			return b
		}
	}
	t.Fatalf("%s does not hold the lists of %s", e.cfg.Instance, peer.cfg.Instance)
	return wire.PeerHeartbeat{}
}

// TestBeatLists guards against heartbeats that repeat the lists that the peer
// holds, whose bytes grow with the fleet, and against lists that are left out
// for a peer that lacks them.
func TestBeatLists(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	s.addWorker("w", a, b)
	for end := time.Now().Add(10 * time.Second); len(a.core.view.Load().refs) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, pair := range [][2]*Entry{{a, b}, {b, a}} {
		got := heldBy(t, pair[0], pair[1])
		if len(got.Sidecars) != 0 || len(got.Entries) != 0 {
			t.Errorf("heartbeat of %s repeats %d sidecars and %d entry instances", pair[0].cfg.Instance, len(got.Sidecars), len(got.Entries))
		}
	}
	var fresh wire.PeerHeartbeat
	a.core.call(func(now time.Duration) { fresh = a.core.ownBeat(now, ident.Process{Instance: "c", Incarnation: 1}) })
	if len(fresh.Sidecars) != 1 || len(fresh.Entries) != 2 {
		t.Errorf("heartbeat to an unknown peer has %d sidecars and %d entry instances, want 1 and 2", len(fresh.Sidecars), len(fresh.Entries))
	}
	a.core.call(func(now time.Duration) {
		a.core.peers[b.Self().Process].haveSidecars = 1
		fresh = a.core.ownBeat(now, b.Self().Process)
	})
	if len(fresh.Sidecars) != 1 {
		t.Errorf("heartbeat to a peer with another list has %d sidecars, want 1", len(fresh.Sidecars))
	}
}

// TestSidecarsInForceOverPeers guards against a status that never shows a
// revision in force at sidecars that are attached to other entry instances
// only: their revisions were told only when the list of sidecars changed.
func TestSidecarsInForceOverPeers(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	heldBy(t, a, b)
	heldBy(t, b, a)
	car := wire.Peer{Process: ident.Process{Instance: "w", Incarnation: 1}, Address: "127.0.0.1:1"}
	other := wire.Peer{Process: ident.Process{Instance: "x", Incarnation: 1}, Address: "127.0.0.1:2"}
	shown := func(first, second uint64) (inForce uint64) {
		var beat wire.PeerHeartbeat
		b.core.call(func(now time.Duration) {
			for p, revision := range map[wire.Peer]uint64{car: first, other: second} {
				if b.core.links[p.Process] == nil {
					b.core.attach(now, &wire.AttachRequest{Sidecar: p}, &wire.AttachReply{})
				}
				b.core.links[p.Process].inForce = revision
			}
			beat = b.core.ownBeat(now, a.Self().Process)
		})
		a.core.call(func(now time.Duration) {
			a.core.peerBeat(now, &beat)
			for _, p := range a.core.processes() {
				if p.Process == car.Process {
					inForce = p.InForce
				}
			}
		})
		return inForce
	}
	for _, c := range []struct{ first, second, want uint64 }{{3, 3, 3}, {7, 3, 3}, {7, 7, 7}} {
		if got := shown(c.first, c.second); got != c.want {
			t.Errorf("with revisions %d and %d at the sidecars of a peer, %d is shown, want %d", c.first, c.second, got, c.want)
		}
	}
}

// TestGoneIsForgotten guards against sidecars that stay gone for ever: two
// entry instances that forgot one at different times told each other of it
// again as a new loss, so that lists grew and recovery never said "not run". It
// also guards against a recovery that does not see a loss that a peer told.
func TestGoneIsForgotten(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b")
	p := ident.Process{Instance: "w", Incarnation: 1}
	retention := a.cfg.retention()
	for _, c := range []struct {
		age  time.Duration
		kept bool
	}{{time.Second, true}, {retention + time.Second, false}} {
		var beat wire.PeerHeartbeat
		b.core.call(func(now time.Duration) {
			b.core.gone[p] = now - c.age
			beat = b.core.ownBeat(now, ident.Process{})
		})
		a.core.call(func(now time.Duration) {
			delete(a.core.gone, p)
			a.core.publish()
			a.core.peerBeat(now, &beat)
			at, kept := a.core.gone[p]
			if got := len(a.core.view.Load().gone) > 0; got != c.kept {
				t.Errorf("a sidecar gone for %v at a peer is in the view %v", c.age, got)
			}
			if kept != c.kept || kept && now-at < c.age {
				t.Errorf("a sidecar gone for %v at a peer is kept %v, gone for %v", c.age, kept, now-at)
			}
		})
	}
}
