package slots

import (
	"math/rand"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func entryPeer(i int) wire.Peer {
	return wire.Peer{Process: ident.Process{Instance: "entry-" + strconv.Itoa(i), Incarnation: 1}}
}

func taskOf(owner ident.Process, i int) wire.TaskKey {
	return wire.TaskKey{Submission: ident.Prefix(owner, 1) + "job" + strconv.Itoa(i/4), Index: i % 4}
}

// held is a credit as its holder knows it; gone says why it became void.
type held struct {
	owner ident.Process
	at    time.Duration
	gone  string
}

// model checks a machine against what its callers know.
type model struct {
	m        *Machine
	now      time.Duration
	slots    int
	credits  map[wire.Credit]*held
	newest   map[uint64]wire.Credit // of each slot number
	order    []wire.Credit
	started  map[wire.TaskKey]bool
	running  []wire.TaskKey
	fenced   map[ident.Process]bool
	nextTask int
}

func (x *model) drain() {
	x.m.Actions()
	for i := range 3 {
		p := entryPeer(i).Process
		for _, g := range x.m.Grants(x.now, p) {
			if old := x.credits[x.newest[SlotOf(g.Credit)]]; old != nil && old.gone == "" {
				old.gone = "replaced"
			}
			x.newest[SlotOf(g.Credit)] = g.Credit
			x.credits[g.Credit] = &held{owner: p, at: x.now}
			x.order = append(x.order, g.Credit)
		}
	}
}

func (x *model) lose(reason string, which func(*held) bool) {
	for _, c := range x.credits {
		if c.gone == "" && which(c) {
			c.gone = reason
		}
	}
}

func (x *model) start(t *rapid.T) {
	if len(x.order) == 0 {
		return
	}
	id := rapid.SampledFrom(x.order[max(0, len(x.order)-20):]).Draw(t, "credit")
	c := x.credits[id]
	from := entryPeer(rapid.IntRange(0, 2).Draw(t, "from")).Process
	if rapid.IntRange(0, 3).Draw(t, "honest") > 0 {
		from = c.owner
	}
	n := x.nextTask
	if n > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		n = rapid.IntRange(max(0, n-8), n-1).Draw(t, "task")
	} else {
		x.nextTask++
	}
	task := taskOf(from, n)
	class := wire.Class{Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")}
	code := x.m.Start(x.now, from, wire.Start{Credit: id, Task: task, Class: class})
	if x.fenced[from] && code != wire.RefusedFenced {
		t.Fatalf("start for a fenced owner: code %d", code)
	}
	if code == wire.Accepted {
		switch {
		case c.gone != "":
			t.Fatalf("start on a credit that was %s", c.gone)
		case from != c.owner:
			t.Fatal("start on the credit of another entry instance")
		case x.now-c.at >= DefaultCreditTTL:
			t.Fatal("start on an expired credit")
		case x.started[task]:
			t.Fatal("second start of a task")
		case x.slots == 0:
			t.Fatal("start after the backend server left")
		}
		x.started[task] = true
		x.running = append(x.running, task)
	}
	if code == wire.Accepted || from == c.owner {
		c.gone = "spent or refused"
	}
}

func (x *model) finish(t *rapid.T) {
	if len(x.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(x.running)-1).Draw(t, "which")
	task := x.running[i]
	x.running = append(x.running[:i], x.running[i+1:]...)
	state := rapid.SampledFrom([]jobapi.TaskState{jobapi.TaskCompleted, jobapi.TaskFailed, jobapi.TaskNotRun}).Draw(t, "state")
	if _, known := x.m.Finish(x.now, wire.TaskResult{Task: task, State: state}); !known {
		t.Fatalf("running task %v is unknown", task)
	}
	if state == jobapi.TaskNotRun {
		delete(x.started, task)
	}
}

func (x *model) fence(t *rapid.T) {
	if len(x.order) == 0 {
		return
	}
	id := rapid.SampledFrom(x.order).Draw(t, "credit")
	c := x.credits[id]
	task := taskOf(c.owner, rapid.IntRange(0, x.nextTask).Draw(t, "task"))
	out := x.m.Fence(x.now, c.owner, []wire.FencedStart{{Credit: id, Task: task}})
	if len(out) != 1 || (out[0].State != jobapi.TaskNotRun) != x.started[task] {
		t.Fatalf("fence of %v, started %v: %+v", task, x.started[task], out)
	}
	if c.gone == "" {
		c.gone = "fenced"
	}
}

func (x *model) check(t *rapid.T) {
	x.drain()
	busy := x.m.Running() + len(x.m.credits)
	if busy > max(x.slots, x.m.Running()) || x.m.Running() != len(x.running) {
		t.Fatalf("%d running of %d, %d credits, %d slots", x.m.Running(), len(x.running), len(x.m.credits), x.slots)
	}
	for _, cl := range x.m.list {
		if cl.count < 0 || cl.waiting < 0 {
			t.Fatalf("class %v counts %d, waits %d", cl.name, cl.count, cl.waiting)
		}
	}
}

// TestMachine guards against more running tasks and credits than slots, two
// starts on one credit or of one task, and starts after a fence, the expiry of
// the credit, or a leave.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &model{m: New(Config{}, rand.New(rand.NewSource(1))), credits: map[wire.Credit]*held{},
			newest: map[uint64]wire.Credit{}, started: map[wire.TaskKey]bool{}, fenced: map[ident.Process]bool{}}
		entry := func(t *rapid.T) wire.Peer { return entryPeer(rapid.IntRange(0, 2).Draw(t, "entry")) }
		t.Repeat(map[string]func(*rapid.T){
			"": x.check,
			"tick": func(t *rapid.T) {
				x.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				x.m.Tick(x.now)
			},
			"wait": func(t *rapid.T) {
				x.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"backend": func(t *rapid.T) {
				x.slots = rapid.IntRange(0, 6).Draw(t, "slots")
				if x.slots == 0 {
					x.m.SetBackend(x.now, nil)
					x.lose("voided by the leave", func(*held) bool { return true })
					return
				}
				x.m.SetBackend(x.now, &wire.Backend{Slots: x.slots})
			},
			"attach": func(t *rapid.T) { x.m.Attach(x.now, entry(t), 1, 3) },
			"detach": func(t *rapid.T) {
				p := entry(t).Process
				x.m.Detach(x.now, p)
				x.lose("detached", func(c *held) bool { return c.owner == p })
			},
			"demand": func(t *rapid.T) {
				x.m.Demand(x.now, entry(t).Process, []wire.Demand{
					{Class: wire.Class{Kind: "a"}, Waiting: rapid.IntRange(0, 9).Draw(t, "a"), Weight: 8, Rank: 3, RunMs: 10},
					{Class: wire.Class{Kind: "b"}, Waiting: rapid.IntRange(0, 9).Draw(t, "b"), Weight: 1, RunMs: 100}})
			},
			"start": x.start, "start again": x.start, "finish": x.finish, "fence": x.fence,
			"fence owner": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				p := entry(t).Process
				x.m.FenceOwner(x.now, p)
				x.fenced[p] = true
			},
			"return": func(t *rapid.T) {
				p := entry(t).Process
				var ids []wire.Credit
				for _, id := range x.order {
					if c := x.credits[id]; c.owner == p && c.gone == "" {
						ids = append(ids, id)
						c.gone = "returned"
						break
					}
				}
				x.m.Returned(x.now, p, ids)
			},
		})
	})
}

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
		if len(g) != 1 || SlotOf(g[0].Credit) != SlotOf(last) || g[0].Credit <= last {
			t.Fatalf("grants %v after credit %d at %v", g, last, now)
		}
		if code := m.Start(now, owner, wire.Start{Credit: last, Task: taskOf(owner, 0)}); code != wire.RefusedCredit {
			t.Fatalf("start on a replaced credit: code %d", code)
		}
		last = g[0].Credit
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
	if len(r.Entries) != 3 || !r.Known || r.FirstWindow != 3 || r.Fenced {
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
