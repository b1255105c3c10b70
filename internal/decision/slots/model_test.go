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
	return wire.TaskKey{Submission: ident.SubmissionPrefix(owner, 1) + "job" + strconv.Itoa(i/4), Index: i % 4}
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
			if old := x.credits[x.newest[g.Credit.Slot()]]; old != nil && old.gone == "" {
				old.gone = "replaced"
			}
			x.newest[g.Credit.Slot()] = g.Credit
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
				x.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
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
