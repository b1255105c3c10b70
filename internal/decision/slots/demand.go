package slots

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// shareTolerance allows for rounding errors when the slots of a class are compared
// with its share.
const shareTolerance = 1e-9

const (
	// overloadAfter is the duration of a backlog after which a class counts as
	// overloaded and has to leave the reserve free. The tasks of one large job usually
	// wait for less time. If there is no other work, the reserve would only prolong
	// their wait. A reserve that applied to every burst left 12% of the slots idle
	// whenever tasks waited.
	overloadAfter = 250 * time.Millisecond
	// maxBacklogGap is the longest time without waiting tasks that does not end a
	// backlog. Such gaps occur because the entry instances send their demand
	// summaries one after the other.
	maxBacklogGap = 50 * time.Millisecond
)

// Bounds for values read from a demand summary.
const (
	maxWeight     = 1e12
	maxDurationMs = 1 << 40
)

// class is the state of one class, the tasks of one kind for one team, at this
// sidecar.
type class struct {
	key       wire.Class
	weight    float64
	rank      int     // a higher rank is more urgent, unlike in work.Job
	costMs    float64 // estimated run time of a task in milliseconds
	finishTag float64 // virtual finish time of the last task in start-time fair queueing
	// usedSlots is the number of running tasks plus the number of unspent credits
	// granted on demand.
	usedSlots int
	// ungranted is the sum of demand.ungranted over all entry instances.
	ungranted int
	// backlogStart is the start of the newest backlog, and lastWaiting the last time
	// at which the class had ungranted tasks.
	backlogStart, lastWaiting time.Duration
	// lastActive is the last time with demand, with a credit granted on demand or
	// with a running task.
	lastActive time.Duration
}

// demand holds the waiting tasks of one class at one entry instance.
type demand struct {
	class   *class
	waiting int // waiting tasks in the summary
	// ungranted is the number of waiting tasks for which this sidecar has still to
	// grant a credit.
	ungranted  int
	oldestAge  time.Duration
	receivedAt time.Duration
}

// nextTaskAge estimates the age of the task that gets the next credit. It assumes
// that the waiting tasks arrived at even intervals.
func (d *demand) nextTaskAge(now time.Duration) time.Duration {
	return time.Duration(float64(d.oldestAge)*float64(d.ungranted)/float64(d.waiting)) + now - d.receivedAt
}

// classOf returns the class with the given key and adds it if it is new.
func (m *Machine) classOf(now time.Duration, key wire.Class) *class {
	cl := m.classes[key]
	if cl == nil {
		cl = &class{key: key, weight: 1, costMs: 1, lastActive: now}
		m.classes[key] = cl
		m.classList = append(m.classList, cl)
	}
	return cl
}

// removeIdleClasses removes the classes that have been idle for longer than
// ClassIdleTimeout and CreditTTL.
func (m *Machine) removeIdleClasses(now time.Duration) {
	m.classList = slices.DeleteFunc(m.classList, func(cl *class) bool {
		if cl.usedSlots > 0 || cl.ungranted > 0 || now-cl.lastActive <= max(m.cfg.ClassIdleTimeout, m.cfg.CreditTTL) {
			return false
		}
		delete(m.classes, cl.key)
		return true
	})
}

// SetDemand replaces the demand of an entry instance by a new summary and grants the
// free slots.
func (m *Machine) SetDemand(now time.Duration, process ident.Process, summary []wire.Demand) {
	e := m.entries[process]
	if e == nil {
		return
	}
	e.lastContact = now
	m.replaceDemand(now, e, summary)
	m.distribute(now)
}

// SetNumberedDemand is SetDemand for a summary with a number, which is higher for
// newer summaries of the entry incarnation. It ignores a summary that is older than
// one already set: messages of an entry instance may arrive in another order than
// that in which their summaries were built, and with an old summary a free slot would
// be granted for work that no longer waits while other work does.
func (m *Machine) SetNumberedDemand(now time.Duration, process ident.Process, seq uint64, summary []wire.Demand) {
	e := m.entries[process]
	if e == nil {
		return
	}
	if seq < e.demandSeq {
		e.lastContact = now
		return
	}
	e.demandSeq = seq
	m.SetDemand(now, process, summary)
}

// replaceDemand replaces the demand of an entry instance. Credits granted for classes
// without demand become idle credits.
func (m *Machine) replaceDemand(now time.Duration, e *entry, summary []wire.Demand) {
	for i := range e.demand {
		d := &e.demand[i]
		if d.ungranted > 0 {
			d.class.lastWaiting = now
		}
		d.class.ungranted -= d.ungranted
		d.class.lastActive = now
	}
	e.demand = e.demand[:0]
	if m.OwnerFenced(e.peer.Process) {
		return
	}
	for _, s := range summary[:min(len(summary), wire.MaxDemandClasses+1)] {
		if s.Waiting <= 0 {
			continue
		}
		m.lastDemand = now
		cl := m.classOf(now, s.Class)
		cl.rank = s.Rank
		if s.Weight > 0 && s.Weight <= maxWeight {
			cl.weight = s.Weight
		}
		cl.costMs = float64(min(max(s.RunMs, 1), maxDurationMs))
		// The entry instance may have built the summary before it received the latest
		// grants, so that their tasks still count as waiting.
		ungranted := max(m.localPart(s)-e.creditsOfClass(cl), 0)
		if cl.ungranted == 0 && now-cl.lastWaiting > maxBacklogGap {
			cl.backlogStart = now
		}
		cl.ungranted += ungranted
		e.demand = append(e.demand, demand{class: cl, waiting: s.Waiting, ungranted: ungranted,
			oldestAge: time.Duration(min(max(s.OldestMs, 0), maxDurationMs)) * time.Millisecond, receivedAt: now})
	}
	for _, c := range e.credits {
		if c.class != nil && !e.hasDemandFor(c.class) {
			m.releaseFromClass(now, c)
		}
	}
}

// localPart returns the number of waiting tasks of a summary for which this sidecar
// grants credits. It is proportional to the sidecar's part of TotalSlots. Without this
// bound, every sidecar would grant or recall credits for the same few tasks when the
// fleet has free slots. The results of all sidecars add up to at least the number of
// waiting tasks, because each is rounded up.
func (m *Machine) localPart(s wire.Demand) int {
	if s.TotalSlots <= m.slots || m.slots == 0 {
		return s.Waiting
	}
	part := math.Ceil(float64(s.Waiting) * float64(m.slots) / float64(s.TotalSlots))
	return min(s.Waiting, int(part))
}

// creditsOfClass returns the number of credits that the entry instance holds for its
// demand of a class.
func (e *entry) creditsOfClass(cl *class) int {
	n := 0
	for _, c := range e.credits {
		if c.class == cl {
			n++
		}
	}
	return n
}

// hasDemandFor reports whether the last summary had waiting tasks of the class.
func (e *entry) hasDemandFor(cl *class) bool {
	return slices.ContainsFunc(e.demand, func(d demand) bool { return d.class == cl })
}

// unusedCredits returns the number of credits that the entry instance has not spent
// although it has had waiting tasks.
func (e *entry) unusedCredits() int {
	n := 0
	for _, c := range e.credits {
		if c.unused {
			n++
		}
	}
	return n
}

// mayGrantOnDemand reports whether the sidecar may grant credits for the demand of an
// entry instance. An entry instance with unused credits gets no more credits on
// demand.
func (m *Machine) mayGrantOnDemand(now time.Duration, e *entry) bool {
	return len(e.demand) > 0 && m.mayGrant(now, e) && e.unusedCredits() == 0
}

// hasDemand reports whether the last summary had any waiting task.
func (e *entry) hasDemand() bool { return len(e.demand) > 0 }

// startTag returns the virtual start time of the class's next task.
func (m *Machine) startTag(cl *class) float64 { return max(m.virtualTime, cl.finishTag) }

// charge advances the finish tag of a class by the cost of one task.
func (m *Machine) charge(cl *class) {
	cl.finishTag = m.startTag(cl) + cl.costMs/cl.weight
}

// totalWeight returns the sum of the weights of the active classes. A class is active
// while it has ungranted tasks or uses a slot, and for ClassIdleTimeout after that.
func (m *Machine) totalWeight(now time.Duration) float64 {
	sum := 0.0
	for _, cl := range m.classList {
		if cl.usedSlots > 0 || cl.ungranted > 0 || now-cl.lastActive <= m.cfg.ClassIdleTimeout {
			sum += cl.weight
		}
	}
	return sum
}

// withinShare reports whether the class is still within its share of the slots after
// one more task. A class that lacks only a fraction of a slot is not: as ranks decide
// among the classes within their share, a class of high rank that holds all but a
// fraction of its slots would otherwise get every freed slot.
func (m *Machine) withinShare(cl *class, totalWeight float64) bool {
	return float64(cl.usedSlots+1) <= cl.weight/totalWeight*float64(m.slots)+shareTolerance
}

// topRankWithinShare returns the highest rank of the active classes that are within
// their share. See totalWeight for active classes.
func (m *Machine) topRankWithinShare(now time.Duration, totalWeight float64) int {
	top := math.MinInt
	for _, cl := range m.classList {
		if cl.rank > top && (cl.usedSlots > 0 || cl.ungranted > 0 || now-cl.lastActive <= m.cfg.ClassIdleTimeout) && m.withinShare(cl, totalWeight) {
			top = cl.rank
		}
	}
	return top
}

// overloaded reports whether the backlog of the class is older than overloadAfter. The
// result is meaningful only while the class has a backlog.
func (cl *class) overloaded(now time.Duration) bool { return now-cl.backlogStart > overloadAfter }

// chooseDemand returns the demand that gets the next of the available slots, with its
// entry instance, or nil if there is none. Classes within their share go first, in
// descending order of rank. The other classes follow in the order of start-time fair
// queueing. Of these, a class that uses a slot must leave the reserve free while a
// class of higher rank is active within its share, and always once it is overloaded.
func (m *Machine) chooseDemand(now time.Duration, available int) (*entry, *demand) {
	if available <= 0 {
		return nil, nil
	}
	var (
		best        *demand
		bestEntry   *entry
		bestInShare bool
		totalWeight = m.totalWeight(now)
		reserve     = min(m.reserve, max(m.slots-1, 0))
		topRank     = m.topRankWithinShare(now, totalWeight)
	)
	for _, e := range m.entryOrder {
		if !m.mayGrantOnDemand(now, e) {
			continue
		}
		for i := range e.demand {
			d := &e.demand[i]
			if d.ungranted <= 0 {
				continue
			}
			inShare := m.withinShare(d.class, totalWeight)
			if !inShare && d.class.usedSlots > 0 && available <= reserve && (d.class.overloaded(now) || d.class.rank < topRank) {
				continue
			}
			if best == nil || m.servedBefore(now, d, inShare, best, bestInShare) {
				best, bestEntry, bestInShare = d, e, inShare
			}
		}
	}
	return bestEntry, best
}

// servedBefore reports whether demand a gets a slot before demand b. Within one class,
// the entry instance with the older task goes first.
func (m *Machine) servedBefore(now time.Duration, a *demand, aInShare bool, b *demand, bInShare bool) bool {
	if a.class == b.class {
		return a.nextTaskAge(now) > b.nextTaskAge(now)
	}
	if aInShare != bInShare {
		return aInShare
	}
	if aInShare && a.class.rank != b.class.rank {
		return a.class.rank > b.class.rank
	}
	if startA, startB := m.startTag(a.class), m.startTag(b.class); startA != startB {
		return startA < startB
	}
	return a.class.rank > b.class.rank
}

// grantOnDemand grants an entry instance a credit for one of its waiting tasks.
func (m *Machine) grantOnDemand(now time.Duration, e *entry, d *demand) {
	m.virtualTime = m.startTag(d.class)
	m.charge(d.class)
	d.ungranted--
	d.class.ungranted--
	d.class.lastActive, d.class.lastWaiting = now, now
	reserved := m.freeSlots() <= m.reserve && m.overloadAboveShare(now)
	m.issueCredit(now, e, d.class)
	e.credits[len(e.credits)-1].reserved = reserved
}

// overloadAboveShare reports whether any class is above its share and overloaded.
func (m *Machine) overloadAboveShare(now time.Duration) bool {
	totalWeight := m.totalWeight(now)
	for _, cl := range m.classList {
		if (cl.ungranted > 0 || now-cl.lastWaiting <= maxBacklogGap) && cl.overloaded(now) && !m.withinShare(cl, totalWeight) {
			return true
		}
	}
	return false
}
