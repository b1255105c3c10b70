package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestJoinDelay guards against credits for an entry instance that is the only
// one to know the sidecar.
func TestJoinDelay(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 4})
	m.Attach(0, entryPeer(0), 1, 2)
	for now := time.Duration(0); now < DefaultJoinDelay; now += time.Second {
		m.Demand(now, entryPeer(0).Process, nil)
		m.Tick(now)
		if g := m.Grants(now, entryPeer(0).Process); len(g) > 0 {
			t.Fatalf("%d grants after %v", len(g), now)
		}
	}
	m.Demand(DefaultJoinDelay, entryPeer(0).Process, nil)
	m.Tick(DefaultJoinDelay)
	if g := m.Grants(DefaultJoinDelay, entryPeer(0).Process); len(g) != 4 {
		t.Fatalf("%d grants after the join delay, want 4", len(g))
	}
	m.Attach(DefaultJoinDelay, entryPeer(1), 1, 2)
	m.Detach(DefaultJoinDelay, entryPeer(0).Process)
	if g := m.Grants(DefaultJoinDelay, entryPeer(1).Process); len(g) != 4 {
		t.Fatalf("%d grants to the second entry instance, want 4", len(g))
	}
}

// TestRenewal guards against idle credits that run out at a live entry
// instance, and against a start on one that was replaced.
func TestRenewal(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	owner := entryPeer(0).Process
	m.SetBackend(0, &wire.Backend{Slots: 1})
	m.Attach(0, entryPeer(0), 1, 1)
	last := m.Grants(0, owner)[0].Credit
	for now := DefaultCreditTTL / 2; now < 4*DefaultCreditTTL; now += DefaultCreditTTL / 2 {
		m.Demand(now, owner, nil)
		m.Tick(now)
		g := m.Grants(now, owner)
		if len(g) != 1 || g[0].Credit.Slot() != last.Slot() || g[0].Credit <= last {
			t.Fatalf("grants %v after credit %d at %v", g, last, now)
		}
		if code := m.Start(now, owner, wire.Start{Credit: last, Task: taskOf(owner, 0)}); code != wire.RefusedCredit {
			t.Fatalf("start on a replaced credit: code %d", code)
		}
		last = g[0].Credit
	}
	late := 4*DefaultCreditTTL - DefaultCreditTTL/2 + DefaultCreditTTL
	if code := m.Start(late, owner, wire.Start{Credit: last, Task: taskOf(owner, 0)}); code != wire.RefusedCredit {
		t.Fatalf("start at the expiry of the credit: code %d", code)
	}
	m.Tick(6 * DefaultCreditTTL)
	if held, _, _ := m.Load(owner); held != 0 {
		t.Fatal("a silent entry instance keeps its credit")
	}
}

// TestRecall guards against idle credits that stay at an entry instance while
// another has waiting work, and against recalls that repeat without effect.
func TestRecall(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 4})
	m.Attach(0, entryPeer(0), 1, 1)
	m.Attach(0, entryPeer(1), 1, 2)
	m.Actions()
	d := demandOf("x", 1, 0, 10)
	d.Waiting = 2
	m.Demand(0, entryPeer(1).Process, []wire.Demand{d})
	a := m.Actions()
	if len(a) != 1 || a[0] != (Recall{Entry: entryPeer(0).Process, Count: 2}) {
		t.Fatalf("actions %+v, want a recall of 2", a)
	}
	m.Returned(0, entryPeer(0).Process, nil)
	recalls := 0
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		m.Tick(now)
		for range m.Actions() {
			recalls++
			m.Returned(now, entryPeer(0).Process, nil)
		}
	}
	if recalls > 6 {
		t.Fatalf("%d recalls without effect in 2 s", recalls)
	}
	// The credits were renewed in the meantime.
	credits := m.Grants(2*time.Second, entryPeer(0).Process)[:2]
	m.Returned(2*time.Second, entryPeer(0).Process, []wire.Credit{credits[0].Credit, credits[1].Credit})
	if g := m.Grants(2*time.Second, entryPeer(1).Process); len(g) != 2 || g[0].Class != d.Class {
		t.Fatalf("grants after the return: %+v", g)
	}
}

// TestUnusedCredits guards against an entry instance that keeps credits which
// it doesn't use, for example of an ejected worker, while another has demand.
func TestUnusedCredits(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 2)
	m.Attach(0, entryPeer(1), 1, 2)
	d := demandOf("x", 1, 0, 10)
	d.Waiting = 100
	m.Demand(0, entryPeer(0).Process, []wire.Demand{d})
	m.SetBackend(0, &wire.Backend{Slots: 4})
	now := DefaultCreditTTL/3 + 1
	m.Demand(now, entryPeer(0).Process, []wire.Demand{d})
	m.Tick(now)
	m.Demand(now, entryPeer(1).Process, []wire.Demand{d})
	recalled := false
	for _, a := range m.Actions() {
		r, ok := a.(Recall)
		recalled = recalled || ok && r.Entry == entryPeer(0).Process && r.Count > 0
	}
	if !recalled {
		t.Fatal("unused credits are not recalled")
	}
	var back []wire.Credit
	for _, g := range m.Grants(now, entryPeer(0).Process) {
		back = append(back, g.Credit)
	}
	m.Returned(now, entryPeer(0).Process, back[1:])
	if held, _, foreign := m.Load(entryPeer(1).Process); held != 3 || foreign != 1 {
		t.Fatalf("the other entry instance holds %d, this one %d; want 3 and 1", held, foreign)
	}
}

// TestLedgerRetention guards against a ledger that forgets a task too early,
// keeps it for ever, or keeps more result bytes than allowed.
func TestLedgerRetention(t *testing.T) {
	m := New(Config{ResultBytes: 100}, rand.New(rand.NewSource(1)))
	owner := entryPeer(0).Process
	m.SetBackend(0, &wire.Backend{Slots: 2})
	m.Attach(0, entryPeer(0), 3, 1)
	for i := range 3 {
		c := m.Grants(0, owner)[0].Credit
		if code := m.Start(0, owner, wire.Start{Credit: c, Task: taskOf(owner, i)}); code != wire.Accepted {
			t.Fatalf("start %d: code %d", i, code)
		}
		m.Finish(0, wire.TaskResult{Task: taskOf(owner, i), State: jobapi.TaskCompleted, Body: make([]byte, 40)})
	}
	m.Tick(DefaultRetain)
	r := m.Ledger(taskOf(owner, 0).Submission)
	if len(r.Entries) != 3 || !r.OwnerKnown || r.OwnerFirstWindow != 3 || r.OwnerFenced {
		t.Fatalf("ledger %+v", r)
	}
	for _, e := range r.Entries {
		if e.State != jobapi.TaskCompleted || (e.Result == nil) != (e.Task.Index == 0) {
			t.Fatalf("entry %+v: only the oldest body is to be dropped", e)
		}
	}
	m.Tick(DefaultRetain + 1)
	if r := m.Ledger(taskOf(owner, 0).Submission); len(r.Entries) != 0 || len(m.ledger.subs) != 0 || m.ledger.bytes != 0 {
		t.Fatalf("ledger after its retention: %+v", r)
	}
}
