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

func taskKey(owner ident.Process, i int) wire.TaskKey {
	return wire.TaskKey{Submission: ident.SubmissionPrefix(owner, 1) + "job" + strconv.Itoa(i/4), Index: i % 4}
}

// knownCredit is a credit as its holder knows it. voidReason is empty while the credit
// is valid.
type knownCredit struct {
	owner      ident.Process
	grantedAt  time.Duration
	voidReason string
}

// model holds the state that the callers of a machine know. The test checks the machine
// against it.
type model struct {
	m        *Machine
	now      time.Duration
	slots    int
	credits  map[wire.Credit]*knownCredit
	newest   map[uint64]wire.Credit // newest credit of each slot number
	issued   []wire.Credit          // all credits, oldest first
	started  map[wire.TaskKey]bool
	running  []wire.TaskKey
	fenced   map[ident.Process]bool
	nextTask int
}

// takeGrants takes the grants of all entry instances.
func (x *model) takeGrants() {
	x.m.Actions()
	for i := range 3 {
		p := entryPeer(i).Process
		for _, g := range x.m.TakeGrants(x.now, p) {
			if old := x.credits[x.newest[g.Credit.Slot()]]; old != nil && old.voidReason == "" {
				old.voidReason = "replaced"
			}
			x.newest[g.Credit.Slot()] = g.Credit
			x.credits[g.Credit] = &knownCredit{owner: p, grantedAt: x.now}
			x.issued = append(x.issued, g.Credit)
		}
	}
}

// markVoid records the reason for which the matching valid credits became void.
func (x *model) markVoid(reason string, matches func(*knownCredit) bool) {
	for _, c := range x.credits {
		if c.voidReason == "" && matches(c) {
			c.voidReason = reason
		}
	}
}

func (x *model) start(t *rapid.T) {
	if len(x.issued) == 0 {
		return
	}
	id := rapid.SampledFrom(x.issued[max(0, len(x.issued)-20):]).Draw(t, "credit")
	credit := x.credits[id]
	sender := entryPeer(rapid.IntRange(0, 2).Draw(t, "from")).Process
	if rapid.IntRange(0, 3).Draw(t, "honest") > 0 {
		sender = credit.owner
	}
	n := x.nextTask
	if n > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		n = rapid.IntRange(max(0, n-8), n-1).Draw(t, "task")
	} else {
		x.nextTask++
	}
	task := taskKey(sender, n)
	class := wire.Class{Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "kind")}
	code := x.m.Start(x.now, sender, wire.Start{Credit: id, Task: task, Class: class})
	if x.fenced[sender] && code != wire.RefusedFenced {
		t.Fatalf("start for a fenced owner: code %d", code)
	}
	if code == wire.Accepted {
		switch {
		case credit.voidReason != "":
			t.Fatalf("start with a credit that was %s", credit.voidReason)
		case sender != credit.owner:
			t.Fatal("start with the credit of another entry instance")
		case x.now-credit.grantedAt >= DefaultCreditTTL:
			t.Fatal("start with an expired credit")
		case x.started[task]:
			t.Fatal("second start of a task")
		case x.slots == 0:
			t.Fatal("start after the backend server left")
		}
		x.started[task] = true
		x.running = append(x.running, task)
	}
	if code == wire.Accepted || sender == credit.owner {
		credit.voidReason = "spent or refused"
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
	if len(x.issued) == 0 {
		return
	}
	id := rapid.SampledFrom(x.issued).Draw(t, "credit")
	credit := x.credits[id]
	task := taskKey(credit.owner, rapid.IntRange(0, x.nextTask).Draw(t, "task"))
	entries := x.m.FenceStarts(x.now, credit.owner, []wire.FencedStart{{Credit: id, Task: task}})
	if len(entries) != 1 || (entries[0].State != jobapi.TaskNotRun) != x.started[task] {
		t.Fatalf("fence of %v, started %v: %+v", task, x.started[task], entries)
	}
	if credit.voidReason == "" {
		credit.voidReason = "fenced"
	}
}

func (x *model) check(t *rapid.T) {
	x.takeGrants()
	taken := x.m.Running() + len(x.m.credits)
	if taken > max(x.slots, x.m.Running()) || x.m.Running() != len(x.running) {
		t.Fatalf("%d tasks running, want %d; %d credits, %d slots", x.m.Running(), len(x.running), len(x.m.credits), x.slots)
	}
	for _, cl := range x.m.classList {
		if cl.usedSlots < 0 || cl.ungranted < 0 {
			t.Fatalf("class %v uses %d slots, %d tasks ungranted", cl.key, cl.usedSlots, cl.ungranted)
		}
	}
}

// TestMachineModel guards against more running tasks and credits than slots, and against
// two starts with one credit or of one task. It also guards against starts after a fence,
// after the expiry of the credit, and after the backend server has left.
func TestMachineModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &model{m: New(Config{}, rand.New(rand.NewSource(1))), credits: map[wire.Credit]*knownCredit{},
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
					x.markVoid("voided because the backend server left", func(*knownCredit) bool { return true })
					return
				}
				x.m.SetBackend(x.now, &wire.Backend{Slots: x.slots})
			},
			"attach": func(t *rapid.T) { x.m.Attach(x.now, entry(t), 1, 3) },
			"detach": func(t *rapid.T) {
				p := entry(t).Process
				x.m.Detach(x.now, p)
				x.markVoid("detached", func(c *knownCredit) bool { return c.owner == p })
			},
			"demand": func(t *rapid.T) {
				x.m.SetDemand(x.now, entry(t).Process, []wire.Demand{
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
				for _, id := range x.issued {
					if c := x.credits[id]; c.owner == p && c.voidReason == "" {
						ids = append(ids, id)
						c.voidReason = "returned"
						break
					}
				}
				x.m.ReturnCredits(x.now, p, ids)
			},
		})
	})
}
