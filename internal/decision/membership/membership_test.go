package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func peer(name string, incarnation uint64, zone string) wire.Peer {
	return wire.Peer{Process: ident.Process{Instance: name, Incarnation: incarnation}, Zone: zone}
}

// TestDeadStaysDead guards against the reuse of an incarnation that was declared
// dead and whose tasks have already been reported as lost.
func TestDeadStaysDead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 1000})
		dead := map[ident.Process]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 5).Draw(t, "gap"))
			p := peer(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), rapid.Uint64Range(1, 3).Draw(t, "inc"), "z")
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				if ok := table.RecordContact(now, p, "r", 0); ok == dead[p.Process] {
					t.Fatalf("RecordContact(%v) = %v, dead %v", p.Process, ok, dead[p.Process])
				}
			case 1:
				table.Tick(now)
			case 2:
				table.MarkDead(now, p.Process)
			}
			for _, e := range table.TakeTransitions() {
				if e.From == Dead {
					t.Fatalf("the state of a dead member changed: %+v", e)
				}
				if e.Member.State == Dead {
					dead[e.Member.Peer.Process] = true
				}
			}
			live := map[string]int{}
			for _, m := range table.InState(Live) {
				live[m.Peer.Process.Instance]++
				if live[m.Peer.Process.Instance] > 1 {
					t.Fatalf("two live incarnations of %s", m.Peer.Process.Instance)
				}
			}
		}
	})
}

// TestSilence guards against a short time without contact that makes a member
// Dead, and against a member that stays in the table forever.
func TestSilence(t *testing.T) {
	table := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 100})
	a := peer("a", 1, "z")
	table.RecordContact(0, a, "r", 7)
	before := table.LiveHash()
	table.Tick(4)
	if m, _ := table.Get(a.Process); m.State != Silent || m.FirstWindow != 7 {
		t.Fatalf("4 without contact: %+v", m)
	}
	table.RecordContact(5, a, "r", 9)
	if m, _ := table.Get(a.Process); m.State != Live || m.FirstWindow != 7 || table.LiveHash() != before {
		t.Fatalf("after a new contact: %+v", m)
	}
	table.Tick(16)
	if table.RecordContact(17, a, "r", 9) {
		t.Fatal("a dead incarnation returned")
	}
	table.Tick(200)
	if _, ok := table.Get(a.Process); ok {
		t.Fatal("a dead member was not removed after the retention time")
	}
}

// TestMayReturn guards against a member that can't return after a long loss of
// connection, and against the return of a replaced incarnation.
func TestMayReturn(t *testing.T) {
	table := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 100, MayReturn: true})
	a := peer("a", 1, "z")
	table.RecordContact(0, a, "r", 0)
	table.Tick(20)
	if m, _ := table.Get(a.Process); m.State != Dead {
		t.Fatalf("after a long time without contact: %+v", m)
	}
	if !table.RecordContact(21, a, "r", 0) {
		t.Fatal("a member could not return after a loss of connection")
	}
	table.RecordContact(22, peer("a", 2, "z"), "r", 0)
	if table.RecordContact(23, a, "r", 0) {
		t.Fatal("a replaced incarnation returned")
	}
}

// TestLossGrouper guards against the loss of a rack or availability zone that is
// reported as separate losses of processes.
func TestLossGrouper(t *testing.T) {
	g := NewLossGrouper(10)
	m := func(name, zone, rack string) Member { return Member{Peer: peer(name, 1, zone), Rack: rack} }
	for _, lost := range []Member{m("a", "z1", "r1"), m("b", "z1", "r2"), m("c", "z2", "r1"), m("d", "z2", "r1"), m("e", "z2", "r2")} {
		g.Add(1, lost)
	}
	if g.TakeDue(5, nil) != nil {
		t.Fatal("losses were reported before the period ended")
	}
	got := g.TakeDue(11, []Member{m("f", "z2", "r2"), m("g", "z2", "r3")})
	want := []Loss{{ScopeZone, "z1", 2}, {ScopeRack, "z2/r1", 2}, {ScopeProcess, "e.1", 1}}
	if len(got) != len(want) {
		t.Fatalf("got %v", got)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	if g.TakeDue(50, nil) != nil {
		t.Fatal("losses were reported twice")
	}
}

// TestLossGrouperUnknownPlace guards against a zone or rack loss reported for
// members without a known zone or rack: dead incarnations known only by name, and
// entry instances.
func TestLossGrouperUnknownPlace(t *testing.T) {
	g := NewLossGrouper(10)
	for _, name := range []string{"a", "b"} {
		g.Add(1, Member{Peer: peer(name, 1, "")})
		g.Add(1, Member{Peer: peer("entry-"+name, 1, "z1")})
	}
	for _, l := range g.TakeDue(11, []Member{{Peer: peer("c", 1, "z1"), Rack: "r1"}}) {
		if l.Scope != ScopeProcess {
			t.Errorf("got loss %+v, want scope process", l)
		}
	}
}

// Guards against a live incarnation that stays Dead for the retention time because a late
// message of one that had ended before was taken for that of its successor.
func TestReturnAfterLateMessage(t *testing.T) {
	table := New(Config{SilentAfter: 3, DeadAfter: 10, Retain: 1000, MayReturn: true})
	ended, live := peer("a", 1, "z"), peer("a", 2, "z")
	table.RecordContact(0, live, "r", 0)
	table.RecordContact(1, ended, "r", 0) // delivered when a partition heals
	for now := time.Duration(2); now <= 4; now++ {
		if table.RecordContact(now, live, "r", 0) {
			t.Fatalf("at %d: a replaced incarnation returned while its successor is in contact", now)
		}
	}
	if !table.RecordContact(5, live, "r", 0) {
		t.Fatal("a live incarnation may not return although the other one is silent")
	}
	table.Tick(5)
	if members := table.InState(Live); len(members) != 1 || members[0].Peer != live {
		t.Fatalf("live: %v", members)
	}
	if table.RecordContact(6, ended, "r", 0) {
		t.Fatal("the incarnation that has ended returned")
	}
}
