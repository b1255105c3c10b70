// Package fair orders the waiting tasks of many classes by start-time fair
// queueing. Classes that run fewer tasks than their guaranteed share go first,
// the highest rank first; what is left over is divided by virtual time.
package fair

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// minCost is the least cost of a task, so that tasks with an estimate of zero
// don't pass for free.
const minCost = time.Millisecond

// Task is a waiting task.
type Task[T any] struct {
	// Cost is the estimated run time.
	Cost  time.Duration
	Value T
}

// Queue holds the waiting tasks of all classes. A pick costs O(log classes)
// per urgency rank in use.
type Queue[T any] struct {
	classes map[wire.Class]*Class[T]
	ranks   []*heap[T] // by descending rank; each ordered by running/weight
	tags    heap[T]    // ordered by start tag
	parked  []*Class[T]
	virtual float64
	weights float64 // sum over classes that wait or run
	running int
	idle    int
	waiting int
	seq     uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{classes: map[wire.Class]*Class[T]{}, tags: heap[T]{slot: slotTag}}
}

// Class returns the class of the key and creates it with weight 1 and without
// a bound if it is new.
func (q *Queue[T]) Class(key wire.Class) *Class[T] {
	c := q.classes[key]
	if c == nil {
		c = &Class[T]{Key: key, weight: 1, pos: [slots]int{-1, -1}}
		q.classes[key] = c
	}
	return c
}

// Set changes the weight (at least a tiny positive number), the rank and the
// bound of waiting tasks (negative: none) of a class.
func (q *Queue[T]) Set(c *Class[T], weight float64, rank int, bound int64) {
	if weight <= 0 {
		weight = 1e-6
	}
	queued := c.queued()
	q.dequeue(c)
	if c.active {
		q.weights += weight - c.weight
	}
	c.weight, c.rank, c.bound, c.bounded = weight, rank, bound, bound >= 0
	if queued {
		q.enqueue(c)
	}
}

// SetIdle tells the number of unused credits; with the running tasks it is the
// capacity that the guaranteed shares divide.
func (q *Queue[T]) SetIdle(credits int) { q.idle = credits }

// Waiting returns the number of waiting tasks.
func (q *Queue[T]) Waiting() int { return q.waiting }

// Running returns the number of running tasks.
func (q *Queue[T]) Running() int { return q.running }

// Share returns the guaranteed part of the capacity of a class, from 0 to 1,
// if it had waiting work.
func (q *Queue[T]) Share(c *Class[T]) float64 {
	sum := q.weights
	if !c.active {
		sum += c.weight
	}
	return c.weight / sum
}

// Fits reports whether the class's bound allows so many more waiting tasks.
func (c *Class[T]) Fits(tasks int) bool {
	return !c.bounded || int64(c.waiting)+int64(tasks) <= c.bound
}

// Push appends the tasks of a job, longest first. The job is refused whole
// (nil) if the class's bound does not allow it. The queue keeps the slice.
func (q *Queue[T]) Push(c *Class[T], now time.Duration, tasks []Task[T]) *Job[T] {
	if !c.Fits(len(tasks)) {
		return nil
	}
	sortLongest(tasks)
	q.seq++
	j := &Job[T]{class: c, seq: q.seq, at: now, tasks: tasks, queued: true}
	c.fifo.push(j)
	q.add(c, j, len(tasks))
	for i := range tasks {
		j.cost += tasks[i].Cost
	}
	c.backlog += j.cost
	q.enqueue(c)
	return j
}

// Return puts a task that did not start back to the front of its class. It
// reports false if the job is withdrawn.
func (q *Queue[T]) Return(j *Job[T], t Task[T]) bool {
	if j.withdrawn {
		return false
	}
	c := j.class
	if len(j.returned) == 0 {
		c.insertReturned(j)
	}
	j.returned = append(j.returned, t)
	q.add(c, j, 1)
	j.cost += t.Cost
	c.backlog += t.Cost
	q.enqueue(c)
	return true
}

func (q *Queue[T]) add(c *Class[T], j *Job[T], n int) {
	j.waiting += n
	c.waiting += n
	q.waiting += n
}

// Withdraw removes the waiting tasks of a job and returns their number. The
// tasks themselves are dropped later, at an amortized cost of O(1) per job. A
// withdrawn job takes no task back.
func (q *Queue[T]) Withdraw(j *Job[T]) int {
	if j.withdrawn {
		return 0
	}
	j.withdrawn = true
	n := j.waiting
	q.add(j.class, j, -n)
	j.class.backlog -= j.cost
	j.tasks, j.returned, j.next, j.cost = nil, nil, 0, 0
	j.class.compact(j)
	q.settle(j.class)
	return n
}

// Pick returns the class whose task is to start next; nil if none waits that
// is not parked.
func (q *Queue[T]) Pick() *Class[T] {
	share := q.perWeight()
	for _, h := range q.ranks {
		if len(h.items) > 0 && h.items[0].ratio() < share {
			return h.items[0]
		}
	}
	if len(q.tags.items) > 0 {
		return q.tags.items[0]
	}
	return nil
}

// Below reports whether the class runs fewer tasks than its guaranteed share.
func (q *Queue[T]) Below(c *Class[T]) bool { return c.ratio() < q.perWeight() }

// perWeight returns the slots that are guaranteed to each unit of weight.
func (q *Queue[T]) perWeight() float64 {
	if q.weights <= 0 {
		return 0
	}
	return float64(q.running+q.idle) / q.weights
}

// Take removes the first task of a class, which has waiting tasks, and counts
// it as running.
func (q *Queue[T]) Take(c *Class[T]) (*Job[T], Task[T]) {
	j, t := c.pop()
	q.add(c, j, -1)
	j.cost -= t.Cost
	c.backlog -= t.Cost
	c.running++
	q.running++
	if len(q.tags.items) > 0 {
		q.virtual = max(q.virtual, q.tags.items[0].start)
	}
	c.start += max(t.Cost, minCost).Seconds() / c.weight
	q.fix(c)
	return j, t
}

// Ended counts a running task of the class as ended.
func (q *Queue[T]) Ended(c *Class[T]) {
	c.running--
	q.running--
	q.fix(c)
}

// Park leaves a class out of Pick until Unpark.
func (q *Queue[T]) Park(c *Class[T]) {
	if c.parked {
		return
	}
	q.dequeue(c)
	c.parked = true
	q.parked = append(q.parked, c)
}

// Unpark ends the parking of all classes.
func (q *Queue[T]) Unpark() {
	for _, c := range q.parked {
		c.parked = false
		q.enqueue(c)
	}
	q.parked = q.parked[:0]
}

// Each calls f for each class that has waiting tasks.
func (q *Queue[T]) Each(f func(*Class[T])) {
	for _, c := range q.tags.items {
		f(c)
	}
	for _, c := range q.parked {
		if c.waiting > 0 {
			f(c)
		}
	}
}

// fix restores the order after a change of c's tag, running or waiting tasks.
func (q *Queue[T]) fix(c *Class[T]) {
	if c.waiting == 0 || !c.queued() {
		q.settle(c)
		return
	}
	q.tags.fix(c)
	c.heap.fix(c)
}

// settle removes c from the order if nothing waits and from the weights if
// nothing runs either.
func (q *Queue[T]) settle(c *Class[T]) {
	if c.waiting == 0 {
		q.dequeue(c)
	}
	if c.active && c.waiting == 0 && c.running == 0 {
		c.active = false
		q.weights -= c.weight
	}
	if q.running == 0 && q.waiting == 0 {
		q.weights = 0 // drops rounding errors
	}
}

// enqueue brings c into the order. A class that was idle starts at the current
// virtual time, so idle time earns no credit.
func (q *Queue[T]) enqueue(c *Class[T]) {
	if !c.active {
		c.active = true
		q.weights += c.weight
	}
	if c.parked || c.queued() || c.waiting == 0 {
		return
	}
	c.start = max(c.start, q.virtual)
	c.heap = q.rankHeap(c.rank)
	q.tags.push(c)
	c.heap.push(c)
}

func (q *Queue[T]) dequeue(c *Class[T]) {
	if c.queued() {
		q.tags.remove(c)
		c.heap.remove(c)
	}
}

// rankHeap returns the heap of a rank; ranks are few.
func (q *Queue[T]) rankHeap(rank int) *heap[T] {
	i := 0
	for i < len(q.ranks) && q.ranks[i].rank > rank {
		i++
	}
	if i < len(q.ranks) && q.ranks[i].rank == rank {
		return q.ranks[i]
	}
	h := &heap[T]{slot: slotRank, rank: rank}
	q.ranks = append(q.ranks, nil)
	copy(q.ranks[i+1:], q.ranks[i:])
	q.ranks[i] = h
	return h
}
