package limit

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// group is a set of holders of the same limits. The first holder has the whole
// share at first.
type group struct {
	now       time.Duration
	processes []ident.Process
	limiters  []*Limiter
	alloc     *Allocation
	running   []int64
}

func newGroup(n int, doc *resource.Document) *group {
	g := &group{running: make([]int64, n)}
	for i := range n {
		p := ident.Process{Instance: string(rune('a' + i)), Incarnation: uint64(i) + 1}
		g.processes, g.limiters = append(g.processes, p), append(g.limiters, NewLimiter(p))
	}
	g.configure(doc)
	return g
}

func (g *group) configure(doc *resource.Document) {
	if a := g.alloc.Reallocate(doc.Revision, FromDocument(doc), g.processes[0]); a != nil {
		g.alloc = a
	}
	for _, l := range g.limiters {
		l.SetDocument(doc)
		l.Apply(g.alloc)
	}
}

// round advances the time by 5 ms, starts all tasks that may start, transfers
// idle share and exchanges one message between each pair of holders.
func (g *group) round(key wire.Class) {
	g.now += 5 * time.Millisecond
	for i, l := range g.limiters {
		l.Tick(g.now)
		for l.class(key).queued > 0 && l.CanStart(g.now, key) {
			l.Queued(key, -1)
			l.Started(g.now, key)
			g.running[i]++
		}
		l.TransferIdle(g.now)
	}
	for i, from := range g.limiters {
		for j, to := range g.limiters {
			if i != j {
				to.Receive(g.processes[i], from.UnackedTotals(g.processes[j]))
				to.HandleDemand(g.now, g.processes[i], from.Demand(g.now))
			}
		}
	}
}

func (g *group) end(i int, key wire.Class) {
	g.running[i]--
	g.limiters[i].Ended(g.now, key)
}

func (g *group) totalRunning() (n int64) {
	for _, r := range g.running {
		n += r
	}
	return n
}

func (g *group) share(i int, name string) int64 { return g.limiters[i].states[name].share() }

// TestReceivedShareIsUsed guards against holders with waiting tasks that
// transfer received share to each other before a task can use it.
func TestReceivedShareIsUsed(t *testing.T) {
	g := newGroup(4, document(1, 12, 100000, 1000))
	for _, l := range g.limiters {
		l.Queued(class, 100)
	}
	for range 200 {
		g.round(class)
		for i := range g.limiters {
			if g.running[i] > 0 && g.now%(20*time.Millisecond) == 0 {
				g.end(i, class)
			}
		}
	}
	g.round(class)
	transferred := int64(0)
	for _, l := range g.limiters {
		for _, n := range l.states["team/t/concurrency"].given {
			transferred += n
		}
	}
	if g.totalRunning() < 11 || transferred > 40 {
		t.Fatalf("%d of 12 tasks running, share transferred in total: %d", g.totalRunning(), transferred)
	}
	for i := range g.limiters {
		if g.running[i] < 2 {
			t.Fatalf("holder %d runs %d of 12 tasks although all holders have equal demand: %+v", i, g.running[i], g.limiters[i].Statuses(g.now))
		}
	}
}

// TestDemandMoves guards against share that stays with a holder after all
// demand moved to another one, also for limits below the number of holders.
func TestDemandMoves(t *testing.T) {
	for _, total := range []int64{1, 2, 12} {
		g := newGroup(4, document(1, total, 100000, 1000))
		for i := range g.limiters {
			g.limiters[i].Queued(class, 30)
			for r := 0; r < 10; r++ {
				g.round(class)
			}
			if g.running[i] != total {
				t.Fatalf("holder %d runs %d of %d tasks after 50 ms", i, g.running[i], total)
			}
			g.limiters[i].Queued(class, -int(g.limiters[i].class(class).queued))
			for g.running[i] > 0 {
				g.end(i, class)
			}
		}
	}
}

// TestLoweredLimit guards against more running tasks than a lowered limit
// allows. That could happen because the whole decrease is taken from one base
// share.
func TestLoweredLimit(t *testing.T) {
	g := newGroup(3, document(1, 12, 100000, 1000))
	for _, l := range g.limiters {
		l.Queued(class, 100)
	}
	for range 40 {
		g.round(class)
	}
	g.configure(document(2, 3, 100000, 1000))
	for range 40 {
		before := append([]int64{}, g.running...)
		g.round(class)
		for i := range g.limiters {
			if g.running[i] > before[i] && g.running[i] > g.share(i, "team/t/concurrency") {
				t.Fatalf("holder %d started a task beyond its share", i)
			}
			if g.running[i] > 0 {
				g.end(i, class)
			}
		}
	}
	g.round(class)
	if n := g.totalRunning(); n > 3 || n < 2 {
		t.Fatalf("%d tasks running under the new limit of 3, want 2 or 3", n)
	}
}

// TestTwoLimitsNoEndlessExchange guards against two holders that transfer the
// shares of two limits to each other forever while each task needs both limits.
func TestTwoLimitsNoEndlessExchange(t *testing.T) {
	doc := document(1, 1, 100000, 1000)
	one := int64(1)
	doc.Limits = map[string]*resource.Limit{"k": {Spec: resource.LimitSpec{Kind: class.Kind, Amounts: resource.Amounts{Concurrency: &one}}}}
	g := newGroup(2, doc)
	g.limiters[0].transfer(g.limiters[0].states["limit/k/concurrency"], g.processes[1].String(), 1)
	g.limiters[1].Receive(g.processes[0], g.limiters[0].UnackedTotals(g.processes[1]))
	for _, l := range g.limiters {
		l.Queued(class, 10)
	}
	for range 20 {
		g.round(class)
	}
	if g.totalRunning() != 1 {
		t.Fatalf("%d tasks run after 100 ms, want 1", g.totalRunning())
	}
}

// TestRatePace guards against a single burst of starts in each second. Delays on
// the way to the backend servers would merge two such bursts into twice the rate.
func TestRatePace(t *testing.T) {
	g := newGroup(1, document(1, 1000, 20, 1000))
	g.limiters[0].Queued(class, 1000)
	var starts []time.Duration
	for range 1000 {
		before := g.running[0]
		g.round(class)
		for range g.running[0] - before {
			starts = append(starts, g.now)
		}
	}
	for i, at := range starts {
		if i >= 4 && at-starts[i-4] < burstWindow {
			t.Fatalf("5 starts within %v at a rate of 20", at-starts[i-4])
		}
		if i >= 20 && at-starts[i-20] < rateWindow {
			t.Fatalf("21 starts within %v", at-starts[i-20])
		}
	}
	if len(starts) < 96 {
		t.Fatalf("%d starts in 5 s at a rate of 20", len(starts))
	}
}

// TestAcknowledgedTotals guards against heartbeats that repeat totals which the
// peer has acknowledged, and against heartbeats that omit totals which the peer
// may not have received.
func TestAcknowledgedTotals(t *testing.T) {
	g := newGroup(2, document(1, 4, 4, 1000))
	a, b := g.limiters[0], g.limiters[1]
	b.Queued(class, 10)
	a.HandleDemand(0, g.processes[1], b.Demand(0))
	sent := a.UnackedTotals(g.processes[1])
	a.HandleAck(g.processes[1], 0, sent)
	if len(sent) == 0 || len(a.UnackedTotals(g.processes[1])) != len(sent) {
		t.Fatalf("totals %v of a division that the peer does not know are not sent again", sent)
	}
	a.HandleAck(g.processes[1], g.alloc.Seq, sent)
	if again := a.UnackedTotals(g.processes[1]); len(again) != 0 {
		t.Fatalf("acknowledged totals are sent again: %v", again)
	}
}

// TestQueueDemandEnds guards against a refused job that still counts as demand
// after enough queue share has arrived. Each exchange then transferred share
// and caused the next exchange: 1,400 heartbeats a second between two idle
// instances.
func TestQueueDemandEnds(t *testing.T) {
	doc := document(1, 4, 4, 1000)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := NewLimiter(a), NewLimiter(b)
	var none *Allocation
	alloc := none.Reallocate(1, FromDocument(doc), a)
	for _, l := range []*Limiter{la, lb} {
		l.SetDocument(doc)
		l.Apply(alloc)
		l.Tick(time.Second)
	}
	if lb.CanQueue(class, 3) {
		t.Fatal("a job was accepted without queue share")
	}
	la.HandleDemand(time.Second, b, lb.Demand(time.Second))
	lb.Receive(a, la.UnackedTotals(b))
	if !lb.CanQueue(class, 3) {
		t.Fatal("the job is refused although enough share was received")
	}
	for _, d := range lb.Demand(time.Second) {
		t.Errorf("still demands %+v", d)
	}
}
