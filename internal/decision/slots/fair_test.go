package slots

import (
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// load is the work of one class at one entry instance of a simulation.
type load struct {
	entry   int
	demand  wire.Demand
	every   time.Duration // between arrivals
	arrived []time.Duration
	starts  int
	maxWait time.Duration
	slow    int // starts that waited over 10 ms
}

// simulate runs loads against one sidecar of 8 slots, without message delays.
func simulate(t *testing.T, length time.Duration, loads []*load) {
	t.Helper()
	const step = time.Millisecond
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 8})
	for i := range 3 {
		m.Attach(0, entryPeer(i), 1, 3)
	}
	ends := map[time.Duration][]wire.TaskKey{}
	credits := make([][]wire.Grant, 3)
	tasks := 0
	tell := func(now time.Duration, entry int) {
		var d []wire.Demand
		for _, l := range loads {
			if l.entry == entry && len(l.arrived) > 0 {
				l.demand.Waiting = len(l.arrived)
				l.demand.OldestMs = (now - l.arrived[0]).Milliseconds()
				d = append(d, l.demand)
			}
		}
		m.Demand(now, entryPeer(entry).Process, d)
	}
	for now := time.Duration(0); now < length; now += step {
		for _, task := range ends[now] {
			m.Finish(now, wire.TaskResult{Task: task, State: jobapi.TaskCompleted})
		}
		delete(ends, now)
		for _, l := range loads {
			if now%l.every == 0 {
				l.arrived = append(l.arrived, now)
			}
		}
		m.Tick(now)
		for i := range 3 {
			tell(now, i)
		}
		for i := range 3 {
			p := entryPeer(i).Process
			credits[i] = append(credits[i], m.Grants(now, p)...)
			for _, l := range loads {
				for l.entry == i && len(l.arrived) > 0 && len(credits[i]) > 0 {
					c := credits[i][0]
					credits[i] = credits[i][1:]
					if m.credits[c.Credit] == nil {
						continue // replaced or recalled
					}
					tasks++
					s := wire.Start{Credit: c.Credit, Task: taskOf(p, tasks), Class: l.demand.Class}
					if code := m.Start(now, p, s); code != wire.Accepted {
						t.Fatalf("start: code %d", code)
					}
					if now-l.arrived[0] > 10*time.Millisecond {
						l.slow++
					}
					l.maxWait = max(l.maxWait, now-l.arrived[0])
					l.arrived = l.arrived[1:]
					l.starts++
					ends[now+time.Duration(l.demand.RunMs)*time.Millisecond] = append(ends[now+time.Duration(l.demand.RunMs)*time.Millisecond], s.Task)
				}
			}
		}
		for _, a := range m.Actions() {
			if r, ok := a.(Recall); ok {
				var back []wire.Credit
				for i := range 3 {
					for entryPeer(i).Process == r.Entry && len(credits[i]) > 0 && len(back) < r.Count {
						back = append(back, credits[i][0].Credit)
						credits[i] = credits[i][1:]
					}
				}
				m.Returned(now, r.Entry, back)
			}
		}
	}
}

func demandOf(kind string, weight float64, rank int, runMs int64) wire.Demand {
	return wire.Demand{Class: wire.Class{Team: "t", Kind: kind}, Weight: weight, Rank: rank, RunMs: runMs}
}

// TestLowFlood guards against a flood of low urgency at one entry instance
// that delays sparse critical work at another beyond the end of one task.
func TestLowFlood(t *testing.T) {
	flood := &load{entry: 0, demand: demandOf("low", 1, 0, 400), every: time.Millisecond}
	sparse := &load{entry: 1, demand: demandOf("critical", 8, 3, 50), every: 100 * time.Millisecond}
	simulate(t, 20*time.Second, []*load{flood, sparse})
	if sparse.starts < 199 || sparse.maxWait > 400*time.Millisecond {
		t.Fatalf("critical: %d of 200 started, longest wait %v", sparse.starts, sparse.maxWait)
	}
	// At most the one percent above the p99 may wait for the end of a long task.
	if sparse.slow > 2 {
		t.Fatalf("critical: %d of %d waited over 10 ms", sparse.slow, sparse.starts)
	}
	// The flood has 7 slots, for 400 ms each.
	if flood.starts < 7*50*9/10 {
		t.Fatalf("low: %d started", flood.starts)
	}
}

// TestHighFlood guards against a flood of top urgency that starves waiting
// low work at another entry instance of its share of one ninth.
func TestHighFlood(t *testing.T) {
	flood := &load{entry: 0, demand: demandOf("critical", 8, 3, 100), every: time.Millisecond}
	low := &load{entry: 1, demand: demandOf("low", 1, 0, 100), every: 20 * time.Millisecond}
	simulate(t, 20*time.Second, []*load{flood, low})
	total := flood.starts + low.starts
	if total < 1600*95/100 {
		t.Fatalf("%d starts in all, want 1600", total)
	}
	if low.starts < total/9*9/10 {
		t.Fatalf("low: %d of %d starts, want a ninth", low.starts, total)
	}
}

// TestManyHighClasses guards against starvation when each class's share is
// below one slot, so that rank alone would decide.
func TestManyHighClasses(t *testing.T) {
	low := &load{entry: 1, demand: demandOf("low", 1, 0, 100), every: 20 * time.Millisecond}
	loads := []*load{low}
	for i := range 20 {
		loads = append(loads, &load{entry: i % 2 * 2, demand: demandOf(string(rune('a'+i)), 8, 3, 100), every: 10 * time.Millisecond})
	}
	simulate(t, 40*time.Second, loads)
	if low.starts < 3200/161*8/10 {
		t.Fatalf("low: %d starts, want about %d", low.starts, 3200/161)
	}
}

// TestRankFirst guards against classes below their share being served in any
// other order than that of their ranks.
func TestRankFirst(t *testing.T) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.Attach(0, entryPeer(0), 1, 1)
	high, low := demandOf("high", 1, 3, 1000), demandOf("low", 1, 0, 10)
	high.Waiting, low.Waiting = 9, 9
	m.Demand(0, entryPeer(0).Process, []wire.Demand{low, high})
	m.SetBackend(0, &wire.Backend{Slots: 8})
	for i, g := range m.Grants(0, entryPeer(0).Process) {
		if (g.Class == high.Class) != (i < 4) {
			t.Fatalf("grant %d is for %s, each has a share of 4", i, g.Class.Kind)
		}
	}
	if held, _, _ := m.Load(entryPeer(0).Process); held != 8 {
		t.Fatalf("%d credits granted, want 8", held)
	}
}

// TestSameClass guards against a flood of a class at one entry instance that
// starves older tasks of the same class at another.
func TestSameClass(t *testing.T) {
	flood := &load{entry: 0, demand: demandOf("x", 1, 0, 100), every: time.Millisecond}
	late := &load{entry: 1, demand: demandOf("x", 1, 0, 100), every: 50 * time.Millisecond}
	simulate(t, 10*time.Second, []*load{flood, late})
	if late.starts == 0 || float64(late.starts)/float64(flood.starts+late.starts) < 0.015 {
		t.Fatalf("entry 1: %d starts, entry 0: %d; arrivals are 1 to 20", late.starts, flood.starts)
	}
}

// BenchmarkStart measures a start, its finish and the grant that follows.
func BenchmarkStart(b *testing.B) {
	m := New(Config{}, rand.New(rand.NewSource(1)))
	m.SetBackend(0, &wire.Backend{Slots: 8})
	m.Attach(0, entryPeer(0), 1, 1)
	owner := entryPeer(0).Process
	demand := demandOf("x", 1, 0, 100)
	demand.Waiting = 1000
	var queue []wire.Grant
	for i := 0; b.Loop(); i++ {
		now := time.Duration(i) * time.Microsecond
		if i%4 == 0 {
			m.Demand(now, owner, []wire.Demand{demand})
		}
		queue = append(queue, m.Grants(now, owner)...)
		m.Actions()
		task := taskOf(owner, i)
		if code := m.Start(now, owner, wire.Start{Credit: queue[0].Credit, Task: task, Class: demand.Class}); code != wire.Accepted {
			b.Fatal(code)
		}
		queue = queue[1:]
		m.Finish(now, wire.TaskResult{Task: task, State: jobapi.TaskCompleted})
	}
}
