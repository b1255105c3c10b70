package entry

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// heldBy waits until an entry instance holds a peer's current lists, and
// returns the heartbeat that it sends to the peer then.
func heldBy(t *testing.T, e, peer *Entry) wire.PeerBeat {
	t.Helper()
	p := peer.Self().Process
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var b wire.PeerBeat
		have := false
		e.core.call(func(now time.Duration) {
			ps := e.core.peers[p]
			have = ps != nil && ps.hash == peer.core.view.Load().refsHash && ps.have == e.core.view.Load().refsHash &&
				ps.entriesHash == e.core.view.Load().entriesHash
			b = e.core.ownBeat(now, p)
		})
		if have {
			return b
		}
	}
	t.Fatalf("%s does not hold the lists of %s", e.cfg.Instance, peer.cfg.Instance)
	return wire.PeerBeat{}
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
	var fresh wire.PeerBeat
	a.core.call(func(now time.Duration) { fresh = a.core.ownBeat(now, ident.Process{Instance: "c", Incarnation: 1}) })
	if len(fresh.Sidecars) != 1 || len(fresh.Entries) != 2 {
		t.Errorf("heartbeat to an unknown peer has %d sidecars and %d entry instances, want 1 and 2", len(fresh.Sidecars), len(fresh.Entries))
	}
	a.core.call(func(now time.Duration) {
		a.core.peers[b.Self().Process].have = 1
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
		var beat wire.PeerBeat
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
