package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

var class = wire.Class{Team: "t", Kind: "k"}

func document(revision uint64, concurrency, rate, queue int64) *resource.Document {
	return &resource.Document{Revision: revision, Teams: map[string]*resource.Team{
		"t": {Spec: resource.TeamSpec{Quota: resource.Amounts{Concurrency: &concurrency, Rate: &rate, Queue: &queue}}},
	}}
}

// model is a set of holders whose messages may be lost, repeated and delayed.
type model struct {
	t       *rapid.T
	now     time.Duration
	next    uint64
	live    []*member
	dead    []*member
	alloc   *Allocation
	doc     *resource.Document
	total   int64
	starts  []time.Duration
	pending []message
}

type member struct {
	p       ident.Process
	l       *Ledger
	running int64
}

type message struct {
	from, to *member
	totals   []wire.ShareTotal
}

func (m *model) add() {
	m.next++
	x := &member{p: ident.Process{Instance: fmt.Sprint("e", m.next), Incarnation: m.next}}
	x.l = New(x.p)
	x.l.SetDocument(m.doc)
	m.live = append(m.live, x)
}

func (m *model) pick() *member { return m.live[rapid.IntRange(0, len(m.live)-1).Draw(m.t, "member")] }

func (m *model) write(a *Allocation) {
	if a != nil {
		m.alloc = a
	}
}

func (m *model) exchange(from, to *member) {
	wants := to.l.Wants(m.now)
	for name, d := range m.alloc.Limits {
		wants = append(wants, wire.ShareDemand{Limit: name, Epoch: d.Epoch, Want: 3})
	}
	from.l.Give(m.now, to.p, wants)
	g := message{from, to, from.l.Given(to.p)}
	if rapid.Bool().Draw(m.t, "late") {
		m.pending = append(m.pending, g)
		return
	}
	to.l.Receive(from.p, g.totals)
}

// settle reclaims the shares of the dead whose tasks have ended, as the
// controller does: every live holder closes first and reports its flows.
func (m *model) settle() {
	m.now += rateWindow // the wait that a reclaim includes
	by := m.pick()
	var dead []string
	for _, x := range m.dead {
		if x.running > 0 {
			return
		}
		dead = append(dead, x.p.String())
	}
	flows := map[string][]wire.ShareFlow{}
	for _, y := range m.live {
		for _, x := range m.dead {
			y.l.Close(x.p)
		}
		flows[y.p.String()] = y.l.Flows()
	}
	if len(dead) > 0 {
		m.write(m.alloc.Settle(dead, flows, by.p))
		m.dead = nil
	}
}

func (m *model) check() {
	var running, used int64
	for _, x := range append(append([]*member{}, m.live...), m.dead...) {
		running += x.running
	}
	recent := 0
	for _, s := range m.starts {
		if m.now-s < rateWindow {
			recent++
		}
	}
	for _, x := range m.live {
		for _, h := range x.l.Holdings(m.now) {
			if h.Limit.Dimension == Concurrency {
				used += h.Share
			}
		}
	}
	if running > m.total || int64(recent) > m.total {
		m.t.Fatalf("limit %d: %d running, %d starts in a second", m.total, running, recent)
	}
	if used > m.total {
		m.t.Fatalf("live shares add up to %d of %d", used, m.total)
	}
}

// TestNeverExceeded guards against a limit being exceeded when transfers are
// lost or repeated, holders die, or the limit is raised meanwhile.
func TestNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, total: rapid.Int64Range(1, 12).Draw(t, "total")}
		m.doc = document(1, m.total, m.total, 1000)
		m.add()
		m.add()
		m.add()
		m.write(m.alloc.Reallocate(1, Limits(m.doc), m.live[0].p))
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(m.t, "ms")) * time.Millisecond
	x := m.pick()
	x.l.Tick(m.now)
	switch rapid.IntRange(0, 9).Draw(m.t, "op") {
	case 0, 1, 2:
		x.l.Queued(class, 1)
		if x.l.CanStart(m.now, class) {
			x.l.Started(m.now, class)
			x.running++
			m.starts = append(m.starts, m.now)
		}
		x.l.Queued(class, -1)
	case 3:
		if x.running > 0 {
			x.running--
			x.l.Ended(m.now, class)
		}
	case 4, 5:
		if y := m.pick(); y != x {
			m.exchange(x, y)
		}
	case 6:
		if len(m.pending) > 0 {
			i := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "message")
			g := m.pending[i]
			g.to.l.Receive(g.from.p, g.totals)
			if rapid.Bool().Draw(m.t, "drop") {
				m.pending = append(m.pending[:i], m.pending[i+1:]...)
			}
		}
	case 7:
		x.l.Apply(m.alloc)
	case 8:
		m.die(x)
	case 9:
		m.raiseOrSettle(x)
	}
}

func (m *model) die(x *member) {
	if len(m.live) < 2 {
		return
	}
	for i, y := range m.live {
		if y == x {
			m.live = append(m.live[:i], m.live[i+1:]...)
			break
		}
	}
	m.dead = append(m.dead, x)
	m.add()
}

func (m *model) raiseOrSettle(x *member) {
	for _, d := range m.dead {
		d.running = 0
	}
	if rapid.Bool().Draw(m.t, "settle") {
		m.settle()
		for _, y := range m.live {
			y.l.Apply(m.alloc)
		}
		return
	}
	m.total += 2
	m.doc = document(m.doc.Revision+1, m.total, m.total, 1000)
	for _, y := range m.live {
		y.l.SetDocument(m.doc)
	}
	m.write(m.alloc.Reallocate(m.doc.Revision, Limits(m.doc), x.p))
}

// TestShareMoves guards against a limit that can't be used because its share
// stays where there is no demand.
func TestShareMoves(t *testing.T) {
	doc := document(1, 4, 1000, 1000)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := New(a), New(b)
	var none *Allocation
	alloc := none.Reallocate(1, Limits(doc), a)
	for _, l := range []*Ledger{la, lb} {
		l.SetDocument(doc)
		l.Apply(alloc)
	}
	now := time.Second
	lb.Queued(class, 10)
	for started := range 4 {
		if !lb.CanStart(now, class) {
			la.Give(now, b, lb.Wants(now))
			lb.Receive(a, la.Given(b))
		}
		if !lb.CanStart(now, class) {
			t.Fatalf("only %d of 4 started after asking", started)
		}
		lb.Started(now, class)
	}
	la.Give(now, b, lb.Wants(now))
	lb.Receive(a, la.Given(b))
	if lb.CanStart(now, class) || la.CanStart(now, class) {
		t.Fatal("a fifth task may start")
	}
}

// TestRemovedAndAdded guards against share that was moved under a removed
// limit counting under a new limit of the same name.
func TestRemovedAndAdded(t *testing.T) {
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := New(a), New(b)
	doc := document(1, 4, 4, 1000)
	var none *Allocation
	first := none.Reallocate(1, Limits(doc), a)
	for _, l := range []*Ledger{la, lb} {
		l.SetDocument(doc)
		l.Apply(first)
	}
	lb.Queued(class, 4)
	lb.CanStart(0, class)
	la.Give(0, b, lb.Wants(0))
	late := la.Given(b)
	lb.Receive(a, late)
	second := first.Reallocate(2, nil, a).Reallocate(3, Limits(doc), a)
	for _, l := range []*Ledger{la, lb} {
		l.Apply(second)
	}
	lb.Receive(a, late)
	if lb.CanStart(0, class) || !la.CanStart(0, class) {
		t.Fatalf("shares of the removed limit still count: %+v %+v", la.Holdings(0), lb.Holdings(0))
	}
}
