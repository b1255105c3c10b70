package slots

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// shareSlack absorbs rounding errors in the comparison of shares.
const shareSlack = 1e-9

const (
	// overloadAfter is how long a class has to have waiting work before it
	// leaves the reserve free. A large job waits for less time or, if it is
	// the only work, for as long as the reserve would keep it waiting; a
	// reserve against every burst cost 12% of the slots whenever work waited.
	overloadAfter = 250 * time.Millisecond
	// backlogGap is the longest time without waiting work that does not end a
	// backlog: summaries of demand come in turns from the entry instances.
	backlogGap = 50 * time.Millisecond
)

// Bounds of the values in a demand summary.
const (
	maxWeight = 1e12
	maxMs     = 1 << 40
)

// class is the work of one kind for one team at this sidecar.
type class struct {
	name   wire.Class
	weight float64
	rank   int
	cost   float64 // estimated run time of a task in milliseconds
	finish float64 // virtual finish time of start-time fair queueing
	// count is the number of running tasks and of credits granted on demand.
	count int
	// waiting is the number of tasks in the demand of all entry instances
	// for which no credit has been granted yet.
	waiting int
	// backlogged is the start of the backlog, waited the last time in it.
	backlogged, waited time.Duration
	active             time.Duration // last time with demand or a running task
}

// demand is the waiting work of one class at one entry instance.
type demand struct {
	class    *class
	reported int
	left     int // reported less the credits granted since
	oldest   time.Duration
	at       time.Duration
}

// age estimates the age of the next task to be granted a credit, on the
// assumption that the arrivals of the waiting tasks are evenly spaced.
func (d *demand) age(now time.Duration) time.Duration {
	return time.Duration(float64(d.oldest)*float64(d.left)/float64(d.reported)) + now - d.at
}

func (m *Machine) class(now time.Duration, name wire.Class) *class {
	cl := m.classes[name]
	if cl == nil {
		cl = &class{name: name, weight: 1, cost: 1, active: now}
		m.classes[name] = cl
		m.list = append(m.list, cl)
	}
	return cl
}

func (m *Machine) forgetClasses(now time.Duration) {
	m.list = slices.DeleteFunc(m.list, func(cl *class) bool {
		if cl.count > 0 || cl.waiting > 0 || now-cl.active <= max(m.cfg.ClassMemory, m.cfg.CreditTTL) {
			return false
		}
		delete(m.classes, cl.name)
		return true
	})
}

// Demand replaces the demand summary of an entry instance.
func (m *Machine) Demand(now time.Duration, process ident.Process, summary []wire.Demand) {
	e := m.entries[process]
	if e == nil {
		return
	}
	e.heard = now
	m.setDemand(now, e, summary)
	m.distribute(now)
}

func (m *Machine) setDemand(now time.Duration, e *entry, summary []wire.Demand) {
	for i := range e.demand {
		d := &e.demand[i]
		if d.left > 0 {
			d.class.waited = now
		}
		d.class.waiting -= d.left
		d.class.active = now
	}
	e.demand = e.demand[:0]
	if m.Fenced(e.peer.Process) {
		return
	}
	for _, s := range summary[:min(len(summary), wire.MaxDemandClasses+1)] {
		if s.Waiting <= 0 {
			continue
		}
		m.wantedAt = now
		cl := m.class(now, s.Class)
		cl.rank = s.Rank
		if s.Weight > 0 && s.Weight <= maxWeight {
			cl.weight = s.Weight
		}
		cl.cost = float64(min(max(s.RunMs, 1), maxMs))
		// The summary may have been made before the last grants arrived.
		left := max(m.part(s)-e.granted(cl), 0)
		if cl.waiting == 0 && now-cl.waited > backlogGap {
			cl.backlogged = now
		}
		cl.waiting += left
		e.demand = append(e.demand, demand{class: cl, reported: s.Waiting, left: left,
			oldest: time.Duration(min(max(s.OldestMs, 0), maxMs)) * time.Millisecond, at: now})
	}
	for _, c := range e.credits {
		if c.class != nil && !e.wants(c.class) {
			m.unclass(now, c)
		}
	}
}

// part returns how many of the waiting tasks of a summary this sidecar serves:
// its part of the slots. Without that bound each sidecar of a fleet that is not
// full would grant or recall credits for the same few tasks. The parts add up
// to at least all tasks.
func (m *Machine) part(s wire.Demand) int {
	if s.TotalSlots <= m.slots || m.slots == 0 {
		return s.Waiting
	}
	part := math.Ceil(float64(s.Waiting) * float64(m.slots) / float64(s.TotalSlots))
	return min(s.Waiting, int(part))
}

// granted counts the unspent credits granted on demand of a class.
func (e *entry) granted(cl *class) int {
	n := 0
	for _, c := range e.credits {
		if c.class == cl {
			n++
		}
	}
	return n
}

func (e *entry) wants(cl *class) bool {
	return slices.ContainsFunc(e.demand, func(d demand) bool { return d.class == cl })
}

// unused counts the credits that the entry instance leaves unused although
// it has waiting tasks.
func (e *entry) unused() int {
	n := 0
	for _, c := range e.credits {
		if c.unused {
			n++
		}
	}
	return n
}

// serveable reports whether the demand of an entry instance may be granted
// credits. One that leaves credits unused gets no more on demand.
func (m *Machine) serveable(now time.Duration, e *entry) bool {
	return len(e.demand) > 0 && m.eligible(now, e) && e.unused() == 0
}

// hungry reports whether the last summary showed any waiting task.
func (e *entry) hungry() bool { return len(e.demand) > 0 }

// start is the virtual start time of the class's next task.
func (m *Machine) start(cl *class) float64 { return max(m.virtual, cl.finish) }

func (m *Machine) charge(cl *class) {
	cl.finish = m.start(cl) + cl.cost/cl.weight
}

// weights sums the weights of the classes that have, or had a moment ago,
// demand or running tasks.
func (m *Machine) weights(now time.Duration) float64 {
	sum := 0.0
	for _, cl := range m.list {
		if cl.count > 0 || cl.waiting > 0 || now-cl.active <= m.cfg.ClassMemory {
			sum += cl.weight
		}
	}
	return sum
}

// within reports whether one more task keeps the class within its share. The
// comparison is of whole slots: with a rank first order, a class that holds
// all but a fraction of the slots would otherwise get every freed slot.
func (m *Machine) within(cl *class, sum float64) bool {
	return float64(cl.count+1) <= cl.weight/sum*float64(m.slots)+shareSlack
}

// topRank returns the highest rank of the classes within their share that have,
// or had a moment ago, demand or running tasks.
func (m *Machine) topRank(now time.Duration, sum float64) int {
	top := math.MinInt
	for _, cl := range m.list {
		if cl.rank > top && (cl.count > 0 || cl.waiting > 0 || now-cl.active <= m.cfg.ClassMemory) && m.within(cl, sum) {
			top = cl.rank
		}
	}
	return top
}

// overloads reports whether the class has had waiting work for so long that it
// must be taken for an overload.
func (cl *class) overloads(now time.Duration) bool { return now-cl.backlogged > overloadAfter }

// choose returns the demand to serve next with one of avail slots, or nil.
// Classes within their share go first, highest rank first. The others follow
// in the order of start-time fair queueing. Those that hold a slot leave the
// reserve free for more urgent classes, and after a while of backlog for all.
func (m *Machine) choose(now time.Duration, avail int) (*entry, *demand) {
	if avail <= 0 {
		return nil, nil
	}
	var (
		best    *demand
		holder  *entry
		bestIn  bool
		sum     = m.weights(now)
		reserve = min(m.reserve, max(m.slots-1, 0))
		top     = m.topRank(now, sum)
	)
	for _, e := range m.order {
		if !m.serveable(now, e) {
			continue
		}
		for i := range e.demand {
			d := &e.demand[i]
			if d.left <= 0 {
				continue
			}
			in := m.within(d.class, sum)
			if !in && d.class.count > 0 && avail <= reserve && (d.class.overloads(now) || d.class.rank < top) {
				continue
			}
			if best == nil || m.before(now, d, in, best, bestIn) {
				best, holder, bestIn = d, e, in
			}
		}
	}
	return holder, best
}

func (m *Machine) before(now time.Duration, a *demand, aIn bool, b *demand, bIn bool) bool {
	if a.class == b.class {
		return a.age(now) > b.age(now)
	}
	if aIn != bIn {
		return aIn
	}
	if aIn && a.class.rank != b.class.rank {
		return a.class.rank > b.class.rank
	}
	if sa, sb := m.start(a.class), m.start(b.class); sa != sb {
		return sa < sb
	}
	return a.class.rank > b.class.rank
}

// serve grants a credit on demand.
func (m *Machine) serve(now time.Duration, e *entry, d *demand) {
	m.virtual = m.start(d.class)
	m.charge(d.class)
	d.left--
	d.class.waiting--
	d.class.active, d.class.waited = now, now
	reserved := m.free() <= m.reserve && m.overloaded(now)
	m.issue(now, e, d.class)
	e.credits[len(e.credits)-1].reserved = reserved
}

// overloaded reports whether a class above its share must be taken for an
// overload.
func (m *Machine) overloaded(now time.Duration) bool {
	sum := m.weights(now)
	for _, cl := range m.list {
		if (cl.waiting > 0 || now-cl.waited <= backlogGap) && cl.overloads(now) && !m.within(cl, sum) {
			return true
		}
	}
	return false
}
