package limit

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// group is a set of holders of the same limits; the first holds all at first.
type group struct {
	now     time.Duration
	ps      []ident.Process
	ls      []*Ledger
	alloc   *Allocation
	running []int64
}

func newGroup(n int, doc *resource.Document) *group {
	g := &group{running: make([]int64, n)}
	for i := range n {
		p := ident.Process{Instance: string(rune('a' + i)), Incarnation: uint64(i) + 1}
		g.ps, g.ls = append(g.ps, p), append(g.ls, New(p))
	}
	g.configure(doc)
	return g
}

func (g *group) configure(doc *resource.Document) {
	if a := g.alloc.Reallocate(doc.Revision, Limits(doc), g.ps[0]); a != nil {
		g.alloc = a
	}
	for _, l := range g.ls {
		l.SetDocument(doc)
		l.Apply(g.alloc)
	}
}

// round starts what may start, offers share and exchanges one message between
// each two holders, 5 ms later than the last one.
func (g *group) round(key wire.Class) {
	g.now += 5 * time.Millisecond
	for i, l := range g.ls {
		l.Tick(g.now)
		for l.class(key).queued > 0 && l.CanStart(g.now, key) {
			l.Queued(key, -1)
			l.Started(g.now, key)
			g.running[i]++
		}
		l.Offer(g.now)
	}
	for i, from := range g.ls {
		for j, to := range g.ls {
			if i != j {
				to.Receive(g.ps[i], from.Given(g.ps[j]))
				to.Give(g.now, g.ps[i], from.Wants(g.now))
			}
		}
	}
}

func (g *group) end(i int, key wire.Class) {
	g.running[i]--
	g.ls[i].Ended(g.now, key)
}

func (g *group) sum() (n int64) {
	for _, r := range g.running {
		n += r
	}
	return n
}

func (g *group) share(i int, name string) int64 { return g.ls[i].holdings[name].share() }

// TestReceivedShareIsUsed guards against holders with waiting tasks passing
// received share on to each other before a task can use it.
func TestReceivedShareIsUsed(t *testing.T) {
	g := newGroup(4, document(1, 12, 100000, 1000))
	for _, l := range g.ls {
		l.Queued(class, 100)
	}
	for range 200 {
		g.round(class)
		for i := range g.ls {
			if g.running[i] > 0 && g.now%(20*time.Millisecond) == 0 {
				g.end(i, class)
			}
		}
	}
	g.round(class)
	moved := int64(0)
	for _, l := range g.ls {
		for _, n := range l.holdings["team/t/concurrency"].given {
			moved += n
		}
	}
	if g.sum() < 11 || moved > 40 {
		t.Fatalf("%d of 12 in use after %d moves", g.sum(), moved)
	}
	for i := range g.ls {
		if g.running[i] < 2 {
			t.Fatalf("holder %d has %d of 12 although all have equal demand: %+v", i, g.running[i], g.ls[i].Holdings(g.now))
		}
	}
}

// TestDemandMoves guards against share staying behind when all demand moves
// to another holder, and when the limit is below the number of holders.
func TestDemandMoves(t *testing.T) {
	for _, total := range []int64{1, 2, 12} {
		g := newGroup(4, document(1, total, 100000, 1000))
		for i := range g.ls {
			g.ls[i].Queued(class, 30)
			for r := 0; r < 10; r++ {
				g.round(class)
			}
			if g.running[i] != total {
				t.Fatalf("holder %d runs %d of %d after 50 ms", i, g.running[i], total)
			}
			g.ls[i].Queued(class, -int(g.ls[i].class(class).queued))
			for g.running[i] > 0 {
				g.end(i, class)
			}
		}
	}
}

// TestLoweredLimit guards against holders that keep running more than a
// lowered limit, because the whole decrease is taken from one base share.
func TestLoweredLimit(t *testing.T) {
	g := newGroup(3, document(1, 12, 100000, 1000))
	for _, l := range g.ls {
		l.Queued(class, 100)
	}
	for range 40 {
		g.round(class)
	}
	g.configure(document(2, 3, 100000, 1000))
	for range 40 {
		before := append([]int64{}, g.running...)
		g.round(class)
		for i := range g.ls {
			if g.running[i] > before[i] && g.running[i] > g.share(i, "team/t/concurrency") {
				t.Fatalf("holder %d started above its share", i)
			}
			if g.running[i] > 0 {
				g.end(i, class)
			}
		}
	}
	g.round(class)
	if n := g.sum(); n > 3 || n < 2 {
		t.Fatalf("%d running under the new limit of 3", n)
	}
}

// TestTwoLimits guards against two holders that exchange the shares of two
// limits forever while the tasks of both need both.
func TestTwoLimits(t *testing.T) {
	doc := document(1, 1, 100000, 1000)
	one := int64(1)
	doc.Limits = map[string]*resource.Limit{"k": {Spec: resource.LimitSpec{Kind: class.Kind, Amounts: resource.Amounts{Concurrency: &one}}}}
	g := newGroup(2, doc)
	g.ls[0].give(g.ls[0].holdings["limit/k/concurrency"], g.ps[1].String(), 1)
	g.ls[1].Receive(g.ps[0], g.ls[0].Given(g.ps[1]))
	for _, l := range g.ls {
		l.Queued(class, 10)
	}
	for range 20 {
		g.round(class)
	}
	if g.sum() != 1 {
		t.Fatalf("%d tasks run after 100 ms, want 1", g.sum())
	}
}

// TestRatePace guards against starts in bursts at the ends of a second, which
// delays on the way to the backend servers merge into twice the rate.
func TestRatePace(t *testing.T) {
	g := newGroup(1, document(1, 1000, 20, 1000))
	g.ls[0].Queued(class, 1000)
	var starts []time.Duration
	for range 1000 {
		before := g.running[0]
		g.round(class)
		for range g.running[0] - before {
			starts = append(starts, g.now)
		}
	}
	for i, at := range starts {
		if i >= 4 && at-starts[i-4] < burst {
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

// TestAcknowledgedTotals guards against heartbeats that repeat totals which
// the peer has taken, and against dropping those that it may not have taken.
func TestAcknowledgedTotals(t *testing.T) {
	g := newGroup(2, document(1, 4, 4, 1000))
	a, b := g.ls[0], g.ls[1]
	b.Queued(class, 10)
	a.Give(0, g.ps[1], b.Wants(0))
	told := a.Given(g.ps[1])
	a.Acked(g.ps[1], 0, told)
	if len(told) == 0 || len(a.Given(g.ps[1])) != len(told) {
		t.Fatalf("totals %v of a division that the peer does not know are not repeated", told)
	}
	a.Acked(g.ps[1], g.alloc.Seq, told)
	if again := a.Given(g.ps[1]); len(again) != 0 {
		t.Fatalf("acknowledged totals are repeated: %v", again)
	}
}

// TestQueueDemandEnds guards against a refused job that goes on asking for queue
// share after enough has come: every exchange then moved share and caused the
// next one, 1,400 heartbeats a second between two idle instances.
func TestQueueDemandEnds(t *testing.T) {
	doc := document(1, 4, 4, 1000)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := New(a), New(b)
	var none *Allocation
	alloc := none.Reallocate(1, Limits(doc), a)
	for _, l := range []*Ledger{la, lb} {
		l.SetDocument(doc)
		l.Apply(alloc)
		l.Tick(time.Second)
	}
	if lb.CanQueue(class, 3) {
		t.Fatal("a job was accepted without a share")
	}
	la.Give(time.Second, b, lb.Wants(time.Second))
	lb.Receive(a, la.Given(b))
	if !lb.CanQueue(class, 3) {
		t.Fatal("the share that came is not enough")
	}
	for _, w := range lb.Wants(time.Second) {
		t.Errorf("still wants %+v", w)
	}
}
