package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestJoinDelay guards against credits for an entry instance before JoinDelay has passed
// if no other entry instance is attached.
func TestJoinDelay(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 4})
	m.Attach(0, entryPeer(0), 1, 2)
	for now := time.Duration(0); now < DefaultJoinDelay; now += time.Second {
		m.SetDemand(now, entryPeer(0).Process, nil)
		m.Tick(now)
		if g := m.TakeGrants(now, entryPeer(0).Process); len(g) > 0 {
			t.Fatalf("%d grants after %v", len(g), now)
		}
	}
	m.SetDemand(DefaultJoinDelay, entryPeer(0).Process, nil)
	m.Tick(DefaultJoinDelay)
	if g := m.TakeGrants(DefaultJoinDelay, entryPeer(0).Process); len(g) != 4 {
		t.Fatalf("%d grants after the join delay, want 4", len(g))
	}
	m.Attach(DefaultJoinDelay, entryPeer(1), 1, 2)
	m.Detach(DefaultJoinDelay, entryPeer(0).Process)
	if g := m.TakeGrants(DefaultJoinDelay, entryPeer(1).Process); len(g) != 4 {
		t.Fatalf("%d grants to the second entry instance, want 4", len(g))
	}
}

// TestCreditRenewal guards against idle credits that expire at a live entry instance,
// and against a start with a credit that was replaced.
func TestCreditRenewal(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	owner := entryPeer(0).Process
	m.SetBackend(0, &wire.Backend{Slots: 1})
	m.Attach(0, entryPeer(0), 1, 1)
	last := m.TakeGrants(0, owner)[0].Credit
	for now := DefaultCreditTTL / 2; now < 4*DefaultCreditTTL; now += DefaultCreditTTL / 2 {
		m.SetDemand(now, owner, nil)
		m.Tick(now)
		grants := m.TakeGrants(now, owner)
		if len(grants) != 1 || grants[0].Credit.Slot() != last.Slot() || grants[0].Credit <= last {
			t.Fatalf("grants %v after credit %d at %v", grants, last, now)
		}
		if code := m.Start(now, owner, wire.Start{Credit: last, Task: taskKey(owner, 0)}); code != wire.RefusedCredit {
			t.Fatalf("start with a replaced credit: code %d", code)
		}
		last = grants[0].Credit
	}
	expiry := 4*DefaultCreditTTL - DefaultCreditTTL/2 + DefaultCreditTTL
	if code := m.Start(expiry, owner, wire.Start{Credit: last, Task: taskKey(owner, 0)}); code != wire.RefusedCredit {
		t.Fatalf("start at the expiry of the credit: code %d", code)
	}
	m.Tick(6 * DefaultCreditTTL)
	if held, _, _ := m.CreditCounts(owner); held != 0 {
		t.Fatal("the silent entry instance still holds its credit")
	}
}

// TestRecall guards against idle credits that stay at an entry instance while another
// one has waiting tasks. It also guards against frequent recalls while none returns a
// credit.
func TestRecall(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 4})
	m.Attach(0, entryPeer(0), 1, 1)
	m.Attach(0, entryPeer(1), 1, 2)
	m.Actions()
	demand := classDemand("x", 1, 0, 10)
	demand.Waiting = 2
	m.SetDemand(0, entryPeer(1).Process, []wire.Demand{demand})
	actions := m.Actions()
	if len(actions) != 1 || actions[0] != (Recall{Entry: entryPeer(0).Process, Count: 2}) {
		t.Fatalf("actions %+v, want a recall of 2", actions)
	}
	m.ReturnCredits(0, entryPeer(0).Process, nil)
	recalls := 0
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		m.Tick(now)
		for range m.Actions() {
			recalls++
			m.ReturnCredits(now, entryPeer(0).Process, nil)
		}
	}
	if recalls > 6 {
		t.Fatalf("%d recalls in 2 s although none returned a credit", recalls)
	}
	// The credits have been renewed since the first recall.
	credits := m.TakeGrants(2*time.Second, entryPeer(0).Process)[:2]
	m.ReturnCredits(2*time.Second, entryPeer(0).Process, []wire.Credit{credits[0].Credit, credits[1].Credit})
	if grants := m.TakeGrants(2*time.Second, entryPeer(1).Process); len(grants) != 2 || grants[0].Class != demand.Class {
		t.Fatalf("grants after the return: %+v", grants)
	}
}

// TestUnusedCredits guards against an entry instance that keeps credits it doesn't use
// while another one has demand. An entry instance does not use the credits of a worker
// that it has ejected, for example.
func TestUnusedCredits(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 2)
	m.Attach(0, entryPeer(1), 1, 2)
	demand := classDemand("x", 1, 0, 10)
	demand.Waiting = 100
	m.SetDemand(0, entryPeer(0).Process, []wire.Demand{demand})
	m.SetBackend(0, &wire.Backend{Slots: 4})
	now := DefaultCreditTTL/3 + 1
	m.SetDemand(now, entryPeer(0).Process, []wire.Demand{demand})
	m.Tick(now)
	m.SetDemand(now, entryPeer(1).Process, []wire.Demand{demand})
	recalled := false
	for _, a := range m.Actions() {
		r, ok := a.(Recall)
		recalled = recalled || ok && r.Entry == entryPeer(0).Process && r.Count > 0
	}
	if !recalled {
		t.Fatal("the unused credits were not recalled")
	}
	var credits []wire.Credit
	for _, g := range m.TakeGrants(now, entryPeer(0).Process) {
		credits = append(credits, g.Credit)
	}
	m.ReturnCredits(now, entryPeer(0).Process, credits[1:])
	if held, _, elsewhere := m.CreditCounts(entryPeer(1).Process); held != 3 || elsewhere != 1 {
		t.Fatalf("entry 1 holds %d credits, entry 0 holds %d; want 3 and 1", held, elsewhere)
	}
}

// TestLedgerRetention guards against a ledger that removes a task before the end of the
// retention, never removes it, or keeps more result bytes than allowed.
func TestLedgerRetention(t *testing.T) {
	m := New(Config{MaxResultBytes: 100}, rand.New(rand.NewSource(1)))
	owner := entryPeer(0).Process
	m.SetBackend(0, &wire.Backend{Slots: 2})
	m.Attach(0, entryPeer(0), 3, 1)
	for i := range 3 {
		c := m.TakeGrants(0, owner)[0].Credit
		if code := m.Start(0, owner, wire.Start{Credit: c, Task: taskKey(owner, i)}); code != wire.Accepted {
			t.Fatalf("start %d: code %d", i, code)
		}
		m.Finish(0, wire.TaskResult{Task: taskKey(owner, i), State: jobapi.TaskCompleted, Body: make([]byte, 40)})
	}
	m.Tick(DefaultRetention)
	reply := m.Ledger(taskKey(owner, 0).Submission)
	if len(reply.Entries) != 3 || !reply.OwnerKnown || reply.OwnerFirstWindow != 3 || reply.OwnerFenced {
		t.Fatalf("ledger %+v", reply)
	}
	for _, e := range reply.Entries {
		if e.State != jobapi.TaskCompleted || (e.Result == nil) != (e.Task.Index == 0) {
			t.Fatalf("entry %+v: only the oldest result should be dropped", e)
		}
	}
	m.Tick(DefaultRetention + 1)
	if reply := m.Ledger(taskKey(owner, 0).Submission); len(reply.Entries) != 0 || len(m.ledger.bySubmission) != 0 || m.ledger.bodyBytes != 0 {
		t.Fatalf("ledger after the retention: %+v", reply)
	}
}
