package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func peer(name string, inc uint64, zone string) wire.Peer {
	return wire.Peer{Process: ident.Process{Instance: name, Incarnation: inc}, Zone: zone}
}

// TestDeadStaysDead guards against an incarnation that was declared dead, and
// whose tasks were reported on, being used again.
func TestDeadStaysDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 1000})
		dead := map[ident.Process]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "gap"))
			p := peer(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Uint64Range(1, 3).Draw(t, "inc"), "z")
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				if ok := tab.Seen(now, p, "r", 0); ok == dead[p.Process] {
					t.Fatalf("Seen(%v) = %v, dead %v", p.Process, ok, dead[p.Process])
				}
			case 1:
				tab.Tick(now)
			case 2:
				tab.Kill(now, p.Process)
			}
			for _, e := range tab.Events() {
				if e.From == Dead {
					t.Fatalf("a dead member changed: %+v", e)
				}
				if e.Member.State == Dead {
					dead[e.Member.Peer.Process] = true
				}
			}
			live := map[string]int{}
			for _, m := range tab.In(Live) {
				live[m.Peer.Process.Instance]++
				if live[m.Peer.Process.Instance] > 1 {
					t.Fatalf("two live incarnations of %s", m.Peer.Process.Instance)
				}
			}
		}
	})
}

// TestSilence guards against a short silence being taken for a death.
func TestSilence(t *testing.T) {
	tab := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 100})
	a := peer("a", 1, "z")
	tab.Seen(0, a, "r", 7)
	before := tab.Hash()
	tab.Tick(4)
	if m, _ := tab.Get(a.Process); m.State != Silent || m.FirstWindow != 7 {
		t.Fatalf("after 4: %+v", m)
	}
	tab.Seen(5, a, "r", 9)
	if m, _ := tab.Get(a.Process); m.State != Live || m.FirstWindow != 7 || tab.Hash() != before {
		t.Fatalf("after return: %+v", m)
	}
	tab.Tick(16)
	if tab.Seen(17, a, "r", 9) {
		t.Fatal("a dead incarnation returned")
	}
	tab.Tick(200)
	if _, ok := tab.Get(a.Process); ok {
		t.Fatal("a dead member is kept for ever")
	}
}

// TestMayReturn guards against a member that was cut off for long being shut
// out for ever, and against a replaced incarnation returning.
func TestMayReturn(t *testing.T) {
	tab := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 100, MayReturn: true})
	a := peer("a", 1, "z")
	tab.Seen(0, a, "r", 0)
	tab.Tick(20)
	if m, _ := tab.Get(a.Process); m.State != Dead {
		t.Fatalf("after a long silence: %+v", m)
	}
	if !tab.Seen(21, a, "r", 0) {
		t.Fatal("a member that was cut off may not return")
	}
	tab.Seen(22, peer("a", 2, "z"), "r", 0)
	if tab.Seen(23, a, "r", 0) {
		t.Fatal("a replaced incarnation returned")
	}
}

// TestGroup guards against a rack or zone loss being reported per process.
func TestGroup(t *testing.T) {
	g := NewGrouper(10)
	m := func(name, zone, rack string) Member { return Member{Peer: peer(name, 1, zone), Rack: rack} }
	for _, lost := range []Member{m("a", "z1", "r1"), m("b", "z1", "r2"), m("c", "z2", "r1"), m("d", "z2", "r1"), m("e", "z2", "r2")} {
		g.Add(1, lost)
	}
	if g.Due(5, nil) != nil {
		t.Fatal("reported before the period ended")
	}
	got := g.Due(11, []Member{m("f", "z2", "r2"), m("g", "z2", "r3")})
	want := []Loss{{ScopeZone, "z1", 2}, {ScopeRack, "z2/r1", 2}, {ScopeProcess, "e.1", 1}}
	if len(got) != len(want) {
		t.Fatalf("got %v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	if g.Due(50, nil) != nil {
		t.Fatal("reported twice")
	}
}

// TestGroupUnknownPlace guards against a "zone lost" or "rack lost" for members
// without a place: dead incarnations known only by name, and entry instances.
func TestGroupUnknownPlace(t *testing.T) {
	g := NewGrouper(10)
	for _, name := range []string{"a", "b"} {
		g.Add(1, Member{Peer: peer(name, 1, "")})
		g.Add(1, Member{Peer: peer("entry-"+name, 1, "z1")})
	}
	for _, l := range g.Due(11, []Member{{Peer: peer("c", 1, "z1"), Rack: "r1"}}) {
		if l.Scope != ScopeProcess {
			t.Errorf("loss %+v", l)
		}
	}
}
