// Package fair orders the waiting tasks of many classes by start-time fair
// queueing. Classes that run fewer tasks than their guaranteed share go first,
// in descending order of rank. The remaining capacity goes to the class with the
// lowest virtual start tag.
package fair

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// minTaskCost is the lowest cost charged for a task, so that tasks with an
// estimate of zero still advance the start tag of their class.
const minTaskCost = time.Millisecond

// Task is a waiting task with its scheduling cost.
type Task[T any] struct {
	// Cost is the estimated run time.
	Cost  time.Duration
	Value T
}

// Queue holds the waiting tasks of all classes. For n classes and r ranks, Pick
// takes O(r) time and Take O(log n).
type Queue[T any] struct {
	classes      map[wire.Class]*Class[T]
	rankHeaps    []*heap[T] // by descending rank; each is ordered by running tasks per weight
	tagHeap      heap[T]    // ordered by start tag
	parked       []*Class[T]
	virtualTime  float64
	activeWeight float64 // sum of the weights of classes with waiting or running tasks
	running      int
	idleCredits  int
	waiting      int
	seq          uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{classes: map[wire.Class]*Class[T]{}, tagHeap: heap[T]{order: orderByStartTag}}
}

// Class returns the class of the key. A new class has weight 1 and no limit of
// waiting tasks.
func (q *Queue[T]) Class(key wire.Class) *Class[T] {
	c := q.classes[key]
	if c == nil {
		c = &Class[T]{Key: key, weight: 1, heapPos: [orderCount]int{-1, -1}}
		q.classes[key] = c
	}
	return c
}

// Configure sets the weight, the rank and the maximum number of waiting tasks of
// a class. A weight of zero or less is replaced by a tiny positive one. A
// negative maxWaiting means no limit.
func (q *Queue[T]) Configure(c *Class[T], weight float64, rank int, maxWaiting int64) {
	if weight <= 0 {
		weight = 1e-6
	}
	wasInHeaps := c.inHeaps()
	q.dequeue(c)
	if c.active {
		q.activeWeight += weight - c.weight
	}
	c.weight, c.rank, c.maxWaiting, c.limited = weight, rank, maxWaiting, maxWaiting >= 0
	if wasInHeaps {
		q.enqueue(c)
	}
}

// SetIdleCredits sets the number of unused credits. Guaranteed shares are parts
// of the capacity, which is the sum of idle credits and running tasks.
func (q *Queue[T]) SetIdleCredits(credits int) { q.idleCredits = credits }

// Waiting returns the number of waiting tasks.
func (q *Queue[T]) Waiting() int { return q.waiting }

// Running returns the number of running tasks.
func (q *Queue[T]) Running() int { return q.running }

// GuaranteedShare returns the part of the capacity, from 0 to 1, that the class
// is guaranteed when it has waiting tasks.
func (q *Queue[T]) GuaranteedShare(c *Class[T]) float64 {
	sum := q.activeWeight
	if !c.active {
		sum += c.weight
	}
	return c.weight / sum
}

// Fits reports whether the class's limit of waiting tasks allows that many more.
func (c *Class[T]) Fits(tasks int) bool {
	return !c.limited || int64(c.waiting)+int64(tasks) <= c.maxWaiting
}

// Push appends the tasks of a job, longest first. It returns nil and queues no
// task if the class's limit of waiting tasks would be exceeded. The queue takes
// ownership of the slice.
func (q *Queue[T]) Push(c *Class[T], now time.Duration, tasks []Task[T]) *Job[T] {
	if !c.Fits(len(tasks)) {
		return nil
	}
	sortLongestFirst(tasks)
	q.seq++
	j := &Job[T]{class: c, seq: q.seq, pushedAt: now, tasks: tasks, inJobs: true}
	c.jobs.push(j)
	q.addWaiting(c, j, len(tasks))
	for i := range tasks {
		j.cost += tasks[i].Cost
	}
	c.backlog += j.cost
	q.enqueue(c)
	return j
}

// Requeue puts a task that did not start back at the front of its class. It
// returns false and does not queue the task if the job is withdrawn.
func (q *Queue[T]) Requeue(j *Job[T], t Task[T]) bool {
	if j.withdrawn {
		return false
	}
	c := j.class
	if len(j.requeued) == 0 {
		c.insertRequeued(j)
	}
	j.requeued = append(j.requeued, t)
	q.addWaiting(c, j, 1)
	j.cost += t.Cost
	c.backlog += t.Cost
	q.enqueue(c)
	return true
}

// addWaiting adds n, which may be negative, to the counts of waiting tasks.
func (q *Queue[T]) addWaiting(c *Class[T], j *Job[T], n int) {
	j.waiting += n
	c.waiting += n
	q.waiting += n
}

// Withdraw cancels the waiting tasks of a job and returns their number. The job
// is removed from the class queue later, at an amortized cost of O(1) per job.
// Tasks of a withdrawn job can't be requeued.
func (q *Queue[T]) Withdraw(j *Job[T]) int {
	if j.withdrawn {
		return 0
	}
	j.withdrawn = true
	n := j.waiting
	q.addWaiting(j.class, j, -n)
	j.class.backlog -= j.cost
	j.tasks, j.requeued, j.nextTask, j.cost = nil, nil, 0, 0
	j.class.compact(j)
	q.removeIfEmpty(j.class)
	return n
}

// Pick returns the class whose task should start next, or nil if no unparked
// class has waiting tasks.
func (q *Queue[T]) Pick() *Class[T] {
	guaranteed := q.guaranteedPerWeight()
	for _, h := range q.rankHeaps {
		if len(h.items) > 0 && h.items[0].runningPerWeight() < guaranteed {
			return h.items[0]
		}
	}
	if len(q.tagHeap.items) > 0 {
		return q.tagHeap.items[0]
	}
	return nil
}

// BelowShare reports whether the class runs fewer tasks than its guaranteed
// share of the capacity.
func (q *Queue[T]) BelowShare(c *Class[T]) bool {
	return c.runningPerWeight() < q.guaranteedPerWeight()
}

// guaranteedPerWeight returns the number of slots guaranteed per unit of weight.
func (q *Queue[T]) guaranteedPerWeight() float64 {
	if q.activeWeight <= 0 {
		return 0
	}
	return float64(q.running+q.idleCredits) / q.activeWeight
}

// Take removes the first waiting task of a class and counts it as running. The
// class must have waiting tasks.
func (q *Queue[T]) Take(c *Class[T]) (*Job[T], Task[T]) {
	j, t := c.pop()
	q.addWaiting(c, j, -1)
	j.cost -= t.Cost
	c.backlog -= t.Cost
	c.running++
	q.running++
	if len(q.tagHeap.items) > 0 {
		q.virtualTime = max(q.virtualTime, q.tagHeap.items[0].startTag)
	}
	c.startTag += max(t.Cost, minTaskCost).Seconds() / c.weight
	q.reorder(c)
	return j, t
}

// RecordEnd counts one running task of the class as ended.
func (q *Queue[T]) RecordEnd(c *Class[T]) {
	c.running--
	q.running--
	q.reorder(c)
}

// Park excludes a class from Pick until UnparkAll is called.
func (q *Queue[T]) Park(c *Class[T]) {
	if c.parked {
		return
	}
	q.dequeue(c)
	c.parked = true
	q.parked = append(q.parked, c)
}

// UnparkAll makes all parked classes available to Pick again.
func (q *Queue[T]) UnparkAll() {
	for _, c := range q.parked {
		c.parked = false
		q.enqueue(c)
	}
	q.parked = q.parked[:0]
}

// EachWaiting calls f for each class that has waiting tasks, parked ones included.
func (q *Queue[T]) EachWaiting(f func(*Class[T])) {
	for _, c := range q.tagHeap.items {
		f(c)
	}
	for _, c := range q.parked {
		if c.waiting > 0 {
			f(c)
		}
	}
}

// reorder restores the heap order after c's start tag or its number of running
// or waiting tasks has changed.
func (q *Queue[T]) reorder(c *Class[T]) {
	if c.waiting == 0 || !c.inHeaps() {
		q.removeIfEmpty(c)
		return
	}
	q.tagHeap.fix(c)
	c.rankHeap.fix(c)
}

// removeIfEmpty removes c from the heaps if it has no waiting tasks, and its
// weight from activeWeight if it has no running tasks either.
func (q *Queue[T]) removeIfEmpty(c *Class[T]) {
	if c.waiting == 0 {
		q.dequeue(c)
	}
	if c.active && c.waiting == 0 && c.running == 0 {
		c.active = false
		q.activeWeight -= c.weight
	}
	if q.running == 0 && q.waiting == 0 {
		q.activeWeight = 0 // clears accumulated rounding errors
	}
}

// enqueue adds c to the heaps if it has waiting tasks and is not parked. The
// start tag of a class that was idle or parked is raised to the current virtual
// time, so that a class gains no advantage from that time.
func (q *Queue[T]) enqueue(c *Class[T]) {
	if !c.active {
		c.active = true
		q.activeWeight += c.weight
	}
	if c.parked || c.inHeaps() || c.waiting == 0 {
		return
	}
	c.startTag = max(c.startTag, q.virtualTime)
	c.rankHeap = q.rankHeap(c.rank)
	q.tagHeap.push(c)
	c.rankHeap.push(c)
}

// dequeue removes c from the heaps; its tasks stay queued.
func (q *Queue[T]) dequeue(c *Class[T]) {
	if c.inHeaps() {
		q.tagHeap.remove(c)
		c.rankHeap.remove(c)
	}
}

// rankHeap returns the heap of a rank and creates it if it is new. The linear
// search is cheap, because few ranks are in use.
func (q *Queue[T]) rankHeap(rank int) *heap[T] {
	i := 0
	for i < len(q.rankHeaps) && q.rankHeaps[i].rank > rank {
		i++
	}
	if i < len(q.rankHeaps) && q.rankHeaps[i].rank == rank {
		return q.rankHeaps[i]
	}
	h := &heap[T]{order: orderByRunning, rank: rank}
	q.rankHeaps = append(q.rankHeaps, nil)
	copy(q.rankHeaps[i+1:], q.rankHeaps[i:])
	q.rankHeaps[i] = h
	return h
}
