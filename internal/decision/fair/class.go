package fair

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// compactThreshold is the number of withdrawn jobs in a class queue below which
// the queue is not compacted.
const compactThreshold = 32

// Class is the queue of one class: the waiting jobs of one kind for one team.
type Class[T any] struct {
	Key wire.Class

	weight     float64
	rank       int
	maxWaiting int64
	limited    bool // maxWaiting applies

	startTag      float64 // start tag of the first task
	waiting       int
	running       int
	backlog       time.Duration
	jobs          ring[*Job[T]]
	withdrawnJobs int       // number of withdrawn jobs in jobs
	requeuedJobs  []*Job[T] // jobs with requeued tasks, in order of submission
	active        bool      // has waiting or running tasks
	parked        bool
	rankHeap      *heap[T]
	heapPos       [orderCount]int
}

// Job holds the waiting tasks of one job.
type Job[T any] struct {
	class     *Class[T]
	seq       uint64
	pushedAt  time.Duration
	tasks     []Task[T]
	nextTask  int
	requeued  []Task[T]
	waiting   int
	cost      time.Duration // estimated run time of the waiting tasks
	inJobs    bool          // in the jobs of the class and not withdrawn
	withdrawn bool
}

// Waiting returns the number of waiting tasks.
func (c *Class[T]) Waiting() int { return c.waiting }

// Running returns the number of running tasks.
func (c *Class[T]) Running() int { return c.running }

// Backlog returns the sum of the estimated run times of the waiting tasks.
func (c *Class[T]) Backlog() time.Duration { return c.backlog }

// Weight returns the weight that Configure has set, 1 by default.
func (c *Class[T]) Weight() float64 { return c.weight }

// Rank returns the rank of the class's urgency; a higher rank goes first.
func (c *Class[T]) Rank() int { return c.rank }

// RunningPerWeight returns the number of running tasks divided by the weight.
// Among the classes of one rank that are below their guaranteed share, the class
// with the lowest value goes first.
func (c *Class[T]) RunningPerWeight() float64 { return c.runningPerWeight() }

// OldestAt returns the time at which the first waiting job was pushed. ok is
// false if the class has no waiting tasks.
func (c *Class[T]) OldestAt() (at time.Duration, ok bool) {
	if c.waiting == 0 {
		return 0, false
	}
	return c.head().pushedAt, true
}

// Head returns the first waiting task without removing it. The class must have
// waiting tasks.
func (c *Class[T]) Head() Task[T] {
	j := c.head()
	if n := len(j.requeued); n > 0 {
		return j.requeued[n-1]
	}
	return j.tasks[j.nextTask]
}

// head returns the job of the first waiting task. It removes withdrawn and empty
// jobs from the front of the queue.
func (c *Class[T]) head() *Job[T] {
	for len(c.requeuedJobs) > 0 && len(c.requeuedJobs[0].requeued) == 0 {
		c.requeuedJobs = slices.Delete(c.requeuedJobs, 0, 1)
	}
	if len(c.requeuedJobs) > 0 {
		return c.requeuedJobs[0]
	}
	for {
		j := c.jobs.front()
		if j.nextTask < len(j.tasks) {
			return j
		}
		c.dropFront()
	}
}

// pop removes the first waiting task and returns it with its job.
func (c *Class[T]) pop() (*Job[T], Task[T]) {
	j := c.head()
	if n := len(j.requeued); n > 0 {
		t := j.requeued[n-1]
		j.requeued = j.requeued[:n-1]
		return j, t
	}
	t := j.tasks[j.nextTask]
	j.nextTask++
	if j.nextTask == len(j.tasks) {
		c.dropFront()
		j.tasks, j.nextTask = nil, 0
	}
	return j, t
}

// insertRequeued inserts a job into requeuedJobs, which is sorted by the order
// of submission.
func (c *Class[T]) insertRequeued(j *Job[T]) {
	i, found := slices.BinarySearchFunc(c.requeuedJobs, j.seq, func(o *Job[T], seq uint64) int {
		if o.seq < seq {
			return -1
		}
		if o.seq > seq {
			return 1
		}
		return 0
	})
	if !found {
		c.requeuedJobs = slices.Insert(c.requeuedJobs, i, j)
	}
}

// compact counts a withdrawn job that is still in the queue, and removes all
// withdrawn jobs when they are at least half of the queue and compactThreshold or
// more. Otherwise a client that submits and cancels jobs in a loop would make the
// queue grow without bound.
func (c *Class[T]) compact(j *Job[T]) {
	if !j.inJobs {
		return
	}
	j.inJobs = false
	c.withdrawnJobs++
	if c.withdrawnJobs < compactThreshold || 2*c.withdrawnJobs < c.jobs.size {
		return
	}
	for n := c.jobs.size; n > 0; n-- {
		o := c.jobs.front()
		c.jobs.pop()
		if !o.withdrawn {
			c.jobs.push(o)
		}
	}
	c.withdrawnJobs = 0
}

// dropFront removes the first job of the queue, withdrawn or not.
func (c *Class[T]) dropFront() {
	j := c.jobs.front()
	c.jobs.pop()
	j.inJobs = false
	if j.withdrawn {
		c.withdrawnJobs--
	}
}

// inHeaps reports whether the class is in the heaps of the queue.
func (c *Class[T]) inHeaps() bool { return c.heapPos[orderByStartTag] >= 0 }

func (c *Class[T]) runningPerWeight() float64 { return float64(c.running) / c.weight }

// sortLongestFirst sorts tasks by descending cost; equal tasks keep their order.
func sortLongestFirst[T any](tasks []Task[T]) {
	compare := func(a, b Task[T]) int { return int(min(max(b.Cost-a.Cost, -1), 1)) }
	if !slices.IsSortedFunc(tasks, compare) {
		slices.SortStableFunc(tasks, compare)
	}
}
