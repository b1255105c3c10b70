package dispatch

import (
	"container/heap"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const fleetSlots = 18

// finishing is a running task of the simulated fleet.
type finishing struct {
	at    time.Duration
	start wire.Start
}

type finishes []finishing

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at < f[j].at }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finishing)) }
func (f *finishes) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

var runTimes = map[string]time.Duration{"quick": 50 * time.Millisecond, "long": 500 * time.Millisecond}

// fleet runs one worker with fleetSlots slots in virtual time.
type fleet struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	running finishes
	credit  int
	jobs    int
	busy    map[string]time.Duration // slot time used per kind
	done    map[string]int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, m: newMachine(nil), busy: map[string]time.Duration{}, done: map[string]int{}}
	attach(f.m, 0, process(1), fleetSlots)
	f.grant(fleetSlots)
	return f
}

func (f *fleet) grant(n int) {
	f.m.Grant(f.now, process(1), grants(f.credit, n))
	f.credit += n
}

func (f *fleet) submit(kind string, tasks int) {
	f.jobs++
	if a := f.m.Submit(f.now, id(f.jobs), request(kind, tasks)); a.State == jobapi.JobRefused && a.Reason != jobapi.ReasonDeadline {
		f.t.Fatal(a)
	}
}

// step advances by one millisecond.
func (f *fleet) step() {
	f.now += time.Millisecond
	for len(f.running) > 0 && f.running[0].at <= f.now {
		e := heap.Pop(&f.running).(finishing)
		kind := e.start.Class.Kind
		f.done[kind]++
		f.busy[kind] += runTimes[kind]
		r := wire.TaskResult{Task: e.start.Task, Credit: e.start.Credit, State: jobapi.TaskCompleted, RunMs: runTimes[kind].Milliseconds()}
		f.m.Results(f.now, process(1), []wire.TaskResult{r})
		f.grant(1)
	}
	f.m.Tick(f.now)
	for _, s := range starts(f.m.Actions())[process(1)] {
		heap.Push(&f.running, finishing{at: f.now + runTimes[s.Class.Kind], start: s})
	}
}

// flood submits work of a kind beyond the capacity; admission may refuse it.
func (f *fleet) flood(kind string) {
	if f.m.pools["s"] == nil || f.m.pools["s"].queue.Class(wire.Class{Team: "a", Kind: kind}).Waiting() < 150 {
		f.submit(kind, 10)
	}
}

// TestFloodLeavesOthers guards against an overload by the least or by the most
// urgent work that takes the slots of work below its guaranteed share. The
// bound of 98% is that of design section 1.3.
func TestFloodLeavesOthers(t *testing.T) {
	for _, c := range []struct {
		flood, other string
		every        time.Duration // half of the other's guaranteed share
	}{
		{"long", "quick", 50 * time.Millisecond / 8},
		{"quick", "long", 500 * time.Millisecond},
	} {
		f := newFleet(t)
		submitted, next := 0, time.Second
		for f.now < 31*time.Second {
			f.flood(c.flood)
			for f.now >= next && f.now < 30*time.Second {
				f.submit(c.other, 1)
				submitted++
				next += c.every
			}
			f.step()
		}
		if 100*f.done[c.other] < 98*submitted {
			t.Errorf("flood of %s: %d of %d %s tasks completed in time", c.flood, f.done[c.other], submitted, c.other)
		}
	}
}

// TestFloodsShareByWeight guards against strict priority: when both classes
// have more work than capacity, slot time follows the weights 8 to 1.
func TestFloodsShareByWeight(t *testing.T) {
	f := newFleet(t)
	for f.now < 30*time.Second {
		f.flood("long")
		f.flood("quick")
		f.step()
	}
	ratio := float64(f.busy["quick"]) / float64(f.busy["long"])
	if ratio < 7 || ratio > 9 {
		t.Errorf("slot time of quick to long is %.2f, want 8 ± 1", ratio)
	}
	if used := float64(f.busy["quick"]+f.busy["long"]) / float64(fleetSlots*f.now); used < 0.95 {
		t.Errorf("%.2f of the slot time is used", used)
	}
}
