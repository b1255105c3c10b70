package entry

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// waitForLists waits until two entry instances hold each other's current lists,
// and returns the next heartbeat from e to peer.
func waitForLists(t *testing.T, e, peer *Entry) wire.PeerHeartbeat {
	t.Helper()
	p := peer.Self().Process
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var b wire.PeerHeartbeat
		have := false
		e.core.call(func(now time.Duration) {
			ps := e.core.peers[p]
			have = ps != nil && ps.sidecarsHash == peer.core.view.Load().sidecarsHash && ps.heldSidecarsHash == e.core.view.Load().sidecarsHash &&
				ps.heldEntriesHash == e.core.view.Load().entriesHash
			b = e.core.newPeerHeartbeat(now, p)
		})
		if have {
			return b
		}
	}
	t.Fatalf("%s does not hold the lists of %s", e.cfg.Instance, peer.cfg.Instance)
	return wire.PeerHeartbeat{}
}

// TestHeartbeatLists guards against heartbeats that repeat the lists that the peer
// already holds, because the lists grow with the number of processes. It also
// guards against heartbeats that omit lists that the peer does not hold.
func TestHeartbeatLists(t *testing.T) {
	s := &testCluster{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	s.addWorker("w", a, b)
	for end := time.Now().Add(10 * time.Second); len(a.core.view.Load().sidecars) == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	for _, pair := range [][2]*Entry{{a, b}, {b, a}} {
		got := waitForLists(t, pair[0], pair[1])
		if len(got.Sidecars) != 0 || len(got.Entries) != 0 {
			t.Errorf("heartbeat of %s repeats %d sidecars and %d entry instances", pair[0].cfg.Instance, len(got.Sidecars), len(got.Entries))
		}
	}
	var fresh wire.PeerHeartbeat
	a.core.call(func(now time.Duration) {
		fresh = a.core.newPeerHeartbeat(now, ident.Process{Instance: "c", Incarnation: 1})
	})
	if len(fresh.Sidecars) != 1 || len(fresh.Entries) != 2 {
		t.Errorf("heartbeat to an unknown peer has %d sidecars and %d entry instances, want 1 and 2", len(fresh.Sidecars), len(fresh.Entries))
	}
	a.core.call(func(now time.Duration) {
		a.core.peers[b.Self().Process].heldSidecarsHash = 1
		fresh = a.core.newPeerHeartbeat(now, b.Self().Process)
	})
	if len(fresh.Sidecars) != 1 {
		t.Errorf("heartbeat to a peer with another list has %d sidecars, want 1", len(fresh.Sidecars))
	}
}

// TestSidecarRevisionsFromPeers guards against a status that never shows a
// revision as in force at sidecars that are attached only to other entry
// instances. This happens if heartbeats report the revisions of sidecars only
// when the list of sidecars changes.
func TestSidecarRevisionsFromPeers(t *testing.T) {
	s := &testCluster{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	waitForLists(t, a, b)
	waitForLists(t, b, a)
	shownSidecar := wire.Peer{Process: ident.Process{Instance: "w", Incarnation: 1}, Address: "127.0.0.1:1"}
	otherSidecar := wire.Peer{Process: ident.Process{Instance: "x", Incarnation: 1}, Address: "127.0.0.1:2"}
	shownRevision := func(first, second uint64) (inForce uint64) {
		var beat wire.PeerHeartbeat
		b.core.call(func(now time.Duration) {
			for p, revision := range map[wire.Peer]uint64{shownSidecar: first, otherSidecar: second} {
				if b.core.attachedSidecars[p.Process] == nil {
					b.core.handleAttach(now, &wire.AttachRequest{Sidecar: p}, &wire.AttachReply{})
				}
				b.core.attachedSidecars[p.Process].inForce = revision
			}
			beat = b.core.newPeerHeartbeat(now, a.Self().Process)
		})
		a.core.call(func(now time.Duration) {
			a.core.handlePeerHeartbeat(now, &beat)
			for _, p := range a.core.processes() {
				if p.Process == shownSidecar.Process {
					inForce = p.InForce
				}
			}
		})
		return inForce
	}
	for _, c := range []struct{ first, second, want uint64 }{{3, 3, 3}, {7, 3, 3}, {7, 7, 7}} {
		if got := shownRevision(c.first, c.second); got != c.want {
			t.Errorf("with revisions %d and %d at the sidecars of a peer, the status shows %d, want %d", c.first, c.second, got, c.want)
		}
	}
}

// TestGoneSidecarExpires guards against lists of ended sidecars that never shrink.
// If two entry instances remove an ended sidecar at different times, each may
// report it to the other as newly ended; then the lists grow and recovery never
// answers "not run". The test also guards against a recovery that ignores an
// ended sidecar that a peer reported.
func TestGoneSidecarExpires(t *testing.T) {
	s := &testCluster{t: t}
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
			b.core.goneSidecars[p] = now - c.age
			beat = b.core.newPeerHeartbeat(now, ident.Process{})
		})
		a.core.call(func(now time.Duration) {
			delete(a.core.goneSidecars, p)
			a.core.publishView()
			a.core.handlePeerHeartbeat(now, &beat)
			at, kept := a.core.goneSidecars[p]
			if got := len(a.core.view.Load().goneSidecars) > 0; got != c.kept {
				t.Errorf("a sidecar that ended %v ago at a peer: in the view %v", c.age, got)
			}
			if kept != c.kept || kept && now-at < c.age {
				t.Errorf("a sidecar that ended %v ago at a peer: kept %v, ended %v ago", c.age, kept, now-at)
			}
		})
	}
}
