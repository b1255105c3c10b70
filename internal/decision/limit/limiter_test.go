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

// model simulates a set of holders whose messages may be lost, repeated and
// delayed.
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
	process ident.Process
	limiter *Limiter
	running int64
}

type message struct {
	from, to *member
	totals   []wire.ShareTotal
}

func (m *model) add() {
	m.next++
	holder := &member{process: ident.Process{Instance: fmt.Sprint("e", m.next), Incarnation: m.next}}
	holder.limiter = NewLimiter(holder.process)
	holder.limiter.SetDocument(m.doc)
	m.live = append(m.live, holder)
}

func (m *model) pick() *member { return m.live[rapid.IntRange(0, len(m.live)-1).Draw(m.t, "member")] }

func (m *model) setAllocation(a *Allocation) {
	if a != nil {
		m.alloc = a
	}
}

func (m *model) exchange(giver, receiver *member) {
	demands := receiver.limiter.Demand(m.now)
	for name, d := range m.alloc.Limits {
		demands = append(demands, wire.ShareDemand{Limit: name, Epoch: d.Epoch, Want: 3})
	}
	giver.limiter.HandleDemand(m.now, receiver.process, demands)
	msg := message{giver, receiver, giver.limiter.UnackedTotals(receiver.process)}
	if rapid.Bool().Draw(m.t, "late") {
		m.pending = append(m.pending, msg)
		return
	}
	receiver.limiter.Receive(giver.process, msg.totals)
}

// reclaim reclaims the shares of the dead holders whose tasks have ended, as
// the controller does: each live holder first closes the exchange with the dead
// ones and reports its flows.
func (m *model) reclaim() {
	m.now += rateWindow // A reclaim waits at least this long.
	by := m.pick()
	var dead []string
	for _, holder := range m.dead {
		if holder.running > 0 {
			return
		}
		dead = append(dead, holder.process.String())
	}
	flows := map[string][]wire.ShareFlow{}
	for _, other := range m.live {
		for _, holder := range m.dead {
			other.limiter.ClosePeer(holder.process)
		}
		flows[other.process.String()] = other.limiter.Flows()
	}
	if len(dead) > 0 {
		m.setAllocation(m.alloc.Reclaim(dead, flows, by.process))
		m.dead = nil
	}
}

func (m *model) check() {
	var running, shares int64
	for _, holder := range append(append([]*member{}, m.live...), m.dead...) {
		running += holder.running
	}
	recent := 0
	for _, s := range m.starts {
		if m.now-s < rateWindow {
			recent++
		}
	}
	for _, holder := range m.live {
		for _, st := range holder.limiter.Statuses(m.now) {
			if st.Limit.Dimension == Concurrency {
				shares += st.Share
			}
		}
	}
	if running > m.total || int64(recent) > m.total {
		m.t.Fatalf("limit %d: %d tasks running, %d starts within a second", m.total, running, recent)
	}
	if shares > m.total {
		m.t.Fatalf("the shares of the live holders add up to %d, the limit is %d", shares, m.total)
	}
}

// TestNeverExceeded guards against an exceeded limit when transfers are lost or
// repeated, holders crash, or the limit is raised at the same time.
func TestNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, total: rapid.Int64Range(1, 12).Draw(t, "total")}
		m.doc = document(1, m.total, m.total, 1000)
		m.add()
		m.add()
		m.add()
		m.setAllocation(m.alloc.Reallocate(1, FromDocument(m.doc), m.live[0].process))
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			m.step()
			m.check()
		}
	})
}

func (m *model) step() {
	m.now += time.Duration(rapid.IntRange(0, 300).Draw(m.t, "ms")) * time.Millisecond
	holder := m.pick()
	holder.limiter.Tick(m.now)
	switch rapid.IntRange(0, 9).Draw(m.t, "op") {
	case 0, 1, 2:
		holder.limiter.Queued(class, 1)
		if holder.limiter.CanStart(m.now, class) {
			holder.limiter.Started(m.now, class)
			holder.running++
			m.starts = append(m.starts, m.now)
		}
		holder.limiter.Queued(class, -1)
	case 3:
		if holder.running > 0 {
			holder.running--
			holder.limiter.Ended(m.now, class)
		}
	case 4, 5:
		if other := m.pick(); other != holder {
			m.exchange(holder, other)
		}
	case 6:
		if len(m.pending) > 0 {
			i := rapid.IntRange(0, len(m.pending)-1).Draw(m.t, "message")
			msg := m.pending[i]
			msg.to.limiter.Receive(msg.from.process, msg.totals)
			if rapid.Bool().Draw(m.t, "drop") {
				m.pending = append(m.pending[:i], m.pending[i+1:]...)
			}
		}
	case 7:
		holder.limiter.Apply(m.alloc)
	case 8:
		m.crash(holder)
	case 9:
		m.raiseOrReclaim(holder)
	}
}

func (m *model) crash(holder *member) {
	if len(m.live) < 2 {
		return
	}
	for i, other := range m.live {
		if other == holder {
			m.live = append(m.live[:i], m.live[i+1:]...)
			break
		}
	}
	m.dead = append(m.dead, holder)
	m.add()
}

func (m *model) raiseOrReclaim(holder *member) {
	for _, d := range m.dead {
		d.running = 0
	}
	if rapid.Bool().Draw(m.t, "reclaim") {
		m.reclaim()
		for _, other := range m.live {
			other.limiter.Apply(m.alloc)
		}
		return
	}
	m.total += 2
	m.doc = document(m.doc.Revision+1, m.total, m.total, 1000)
	for _, other := range m.live {
		other.limiter.SetDocument(m.doc)
	}
	m.setAllocation(m.alloc.Reallocate(m.doc.Revision, FromDocument(m.doc), holder.process))
}

// TestShareMoves guards against a limit that can't be used because idle share
// is not transferred to the holder with demand.
func TestShareMoves(t *testing.T) {
	doc := document(1, 4, 1000, 1000)
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := NewLimiter(a), NewLimiter(b)
	var none *Allocation
	alloc := none.Reallocate(1, FromDocument(doc), a)
	for _, l := range []*Limiter{la, lb} {
		l.SetDocument(doc)
		l.Apply(alloc)
	}
	now := time.Second
	lb.Queued(class, 10)
	for started := range 4 {
		if !lb.CanStart(now, class) {
			la.HandleDemand(now, b, lb.Demand(now))
			lb.Receive(a, la.UnackedTotals(b))
		}
		if !lb.CanStart(now, class) {
			t.Fatalf("only %d of 4 tasks started after a request for share", started)
		}
		lb.Started(now, class)
	}
	la.HandleDemand(now, b, lb.Demand(now))
	lb.Receive(a, la.UnackedTotals(b))
	if lb.CanStart(now, class) || la.CanStart(now, class) {
		t.Fatal("a fifth task may start under a limit of 4")
	}
}

// TestRemovedAndAdded guards against transfers under a removed limit that count
// under a new limit of the same name.
func TestRemovedAndAdded(t *testing.T) {
	a, b := ident.Process{Instance: "a", Incarnation: 1}, ident.Process{Instance: "b", Incarnation: 2}
	la, lb := NewLimiter(a), NewLimiter(b)
	doc := document(1, 4, 4, 1000)
	var none *Allocation
	first := none.Reallocate(1, FromDocument(doc), a)
	for _, l := range []*Limiter{la, lb} {
		l.SetDocument(doc)
		l.Apply(first)
	}
	lb.Queued(class, 4)
	lb.CanStart(0, class)
	la.HandleDemand(0, b, lb.Demand(0))
	late := la.UnackedTotals(b)
	lb.Receive(a, late)
	second := first.Reallocate(2, nil, a).Reallocate(3, FromDocument(doc), a)
	for _, l := range []*Limiter{la, lb} {
		l.Apply(second)
	}
	lb.Receive(a, late)
	if lb.CanStart(0, class) || !la.CanStart(0, class) {
		t.Fatalf("transfers of the removed limit still count: %+v %+v", la.Statuses(0), lb.Statuses(0))
	}
}
