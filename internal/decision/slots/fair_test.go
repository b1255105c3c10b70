package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// workload is the work of one class at one entry instance in a simulation.
type workload struct {
	entry      int
	demand     wire.Demand
	interval   time.Duration   // between two arrivals
	arrivals   []time.Duration // arrival times of the waiting tasks
	starts     int
	maxWait    time.Duration
	slowStarts int // starts after more than 10 ms of waiting
}

// simulate runs workloads on one sidecar with 8 slots and 3 entry instances. Messages
// have no delay.
func simulate(t *testing.T, duration time.Duration, workloads []*workload) {
	t.Helper()
	const step = time.Millisecond
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 8})
	for i := range 3 {
		m.Attach(0, entryPeer(i), 1, 3)
	}
	ends := map[time.Duration][]wire.TaskKey{}
	grants := make([][]wire.Grant, 3)
	tasks := 0
	sendDemand := func(now time.Duration, entry int) {
		var summary []wire.Demand
		for _, w := range workloads {
			if w.entry == entry && len(w.arrivals) > 0 {
				w.demand.Waiting = len(w.arrivals)
				w.demand.OldestMs = (now - w.arrivals[0]).Milliseconds()
				summary = append(summary, w.demand)
			}
		}
		m.SetDemand(now, entryPeer(entry).Process, summary)
	}
	for now := time.Duration(0); now < duration; now += step {
		for _, task := range ends[now] {
			m.Finish(now, wire.TaskResult{Task: task, State: jobapi.TaskCompleted})
		}
		delete(ends, now)
		for _, w := range workloads {
			if now%w.interval == 0 {
				w.arrivals = append(w.arrivals, now)
			}
		}
		m.Tick(now)
		for i := range 3 {
			sendDemand(now, i)
		}
		for i := range 3 {
			process := entryPeer(i).Process
			grants[i] = append(grants[i], m.TakeGrants(now, process)...)
			for _, w := range workloads {
				for w.entry == i && len(w.arrivals) > 0 && len(grants[i]) > 0 {
					grant := grants[i][0]
					grants[i] = grants[i][1:]
					if m.credits[grant.Credit] == nil {
						continue // the credit has been replaced or voided
					}
					tasks++
					start := wire.Start{Credit: grant.Credit, Task: taskKey(process, tasks), Class: w.demand.Class}
					if code := m.Start(now, process, start); code != wire.Accepted {
						t.Fatalf("start: code %d, want accepted", code)
					}
					if now-w.arrivals[0] > 10*time.Millisecond {
						w.slowStarts++
					}
					w.maxWait = max(w.maxWait, now-w.arrivals[0])
					w.arrivals = w.arrivals[1:]
					w.starts++
					ends[now+time.Duration(w.demand.RunMs)*time.Millisecond] = append(ends[now+time.Duration(w.demand.RunMs)*time.Millisecond], start.Task)
				}
			}
		}
		for _, action := range m.Actions() {
			if recall, ok := action.(Recall); ok {
				var returned []wire.Credit
				for i := range 3 {
					for entryPeer(i).Process == recall.Entry && len(grants[i]) > 0 && len(returned) < recall.Count {
						returned = append(returned, grants[i][0].Credit)
						grants[i] = grants[i][1:]
					}
				}
				m.ReturnCredits(now, recall.Entry, returned)
			}
		}
	}
}

func classDemand(kind string, weight float64, rank int, runMs int64) wire.Demand {
	return wire.Demand{Class: wire.Class{Team: "t", Kind: kind}, Weight: weight, Rank: rank, RunMs: runMs}
}

// TestCriticalWorkDuringLowFlood guards against a flood of low urgency at one entry
// instance that delays occasional critical work at another one by more than the run time
// of one task.
func TestCriticalWorkDuringLowFlood(t *testing.T) {
	flood := &workload{entry: 0, demand: classDemand("low", 1, 0, 400), interval: time.Millisecond}
	sparse := &workload{entry: 1, demand: classDemand("critical", 8, 3, 50), interval: 100 * time.Millisecond}
	simulate(t, 20*time.Second, []*workload{flood, sparse})
	if sparse.starts < 199 || sparse.maxWait > 400*time.Millisecond {
		t.Fatalf("critical: %d of 200 started, longest wait %v", sparse.starts, sparse.maxWait)
	}
	// At most 1% of the critical tasks, those above the p99, may wait for the end of a
	// long task.
	if sparse.slowStarts > 2 {
		t.Fatalf("critical: %d of %d waited over 10 ms", sparse.slowStarts, sparse.starts)
	}
	// The flood gets 7 slots, and each of its tasks runs for 400 ms.
	if flood.starts < 7*50*9/10 {
		t.Fatalf("low: %d started", flood.starts)
	}
}

// TestLowWorkDuringCriticalFlood guards against a flood of the highest urgency that
// deprives waiting low work at another entry instance of its share of one ninth.
func TestLowWorkDuringCriticalFlood(t *testing.T) {
	flood := &workload{entry: 0, demand: classDemand("critical", 8, 3, 100), interval: time.Millisecond}
	low := &workload{entry: 1, demand: classDemand("low", 1, 0, 100), interval: 20 * time.Millisecond}
	simulate(t, 20*time.Second, []*workload{flood, low})
	total := flood.starts + low.starts
	if total < 1600*95/100 {
		t.Fatalf("%d starts in total, want 1600", total)
	}
	if low.starts < total/9*9/10 {
		t.Fatalf("low: %d of %d starts, want a ninth", low.starts, total)
	}
}

// TestSharesBelowOneSlot guards against the starvation of a class of low rank when the
// share of each class is below one slot. The rank alone would then decide if shares were
// not compared in whole slots.
func TestSharesBelowOneSlot(t *testing.T) {
	low := &workload{entry: 1, demand: classDemand("low", 1, 0, 100), interval: 20 * time.Millisecond}
	workloads := []*workload{low}
	for i := range 20 {
		workloads = append(workloads, &workload{entry: i % 2 * 2, demand: classDemand(string(rune('a'+i)), 8, 3, 100), interval: 10 * time.Millisecond})
	}
	simulate(t, 40*time.Second, workloads)
	if low.starts < 3200/161*8/10 {
		t.Fatalf("low: %d starts, want about %d", low.starts, 3200/161)
	}
}

// TestRankOrderWithinShare guards against classes within their share that are served in
// another order than that of their ranks.
func TestRankOrderWithinShare(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 1)
	high, low := classDemand("high", 1, 3, 1000), classDemand("low", 1, 0, 10)
	high.Waiting, low.Waiting = 9, 9
	m.SetDemand(0, entryPeer(0).Process, []wire.Demand{low, high})
	m.SetBackend(0, &wire.Backend{Slots: 8})
	for i, g := range m.TakeGrants(0, entryPeer(0).Process) {
		if (g.Class == high.Class) != (i < 4) {
			t.Fatalf("grant %d is for %s; each class has a share of 4", i, g.Class.Kind)
		}
	}
	if held, _, _ := m.CreditCounts(entryPeer(0).Process); held != 8 {
		t.Fatalf("%d credits granted, want 8", held)
	}
}

// TestOldestTaskFirstInClass guards against a flood of a class at one entry instance
// that starves older tasks of the same class at another one.
func TestOldestTaskFirstInClass(t *testing.T) {
	flood := &workload{entry: 0, demand: classDemand("x", 1, 0, 100), interval: time.Millisecond}
	sparse := &workload{entry: 1, demand: classDemand("x", 1, 0, 100), interval: 50 * time.Millisecond}
	simulate(t, 10*time.Second, []*workload{flood, sparse})
	if sparse.starts == 0 || float64(sparse.starts)/float64(flood.starts+sparse.starts) < 0.015 {
		t.Fatalf("entry 1: %d starts, entry 0: %d; the ratio of their arrivals is 1 to 50", sparse.starts, flood.starts)
	}
}

// BenchmarkStart measures a start, the end of its task and the grant that follows.
func BenchmarkStart(b *testing.B) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 8})
	m.Attach(0, entryPeer(0), 1, 1)
	owner := entryPeer(0).Process
	demand := classDemand("x", 1, 0, 100)
	demand.Waiting = 1000
	var queue []wire.Grant
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Microsecond
		if i%4 == 0 {
			m.SetDemand(now, owner, []wire.Demand{demand})
		}
		queue = append(queue, m.TakeGrants(now, owner)...)
		m.Actions()
		task := taskKey(owner, i)
		if code := m.Start(now, owner, wire.Start{Credit: queue[0].Credit, Task: task, Class: demand.Class}); code != wire.Accepted {
			b.Fatal(code)
		}
		queue = queue[1:]
		m.Finish(now, wire.TaskResult{Task: task, State: jobapi.TaskCompleted})
	}
}
