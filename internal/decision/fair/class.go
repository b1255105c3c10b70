package fair

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// minCompact is the number of withdrawn jobs below which none is dropped early.
const minCompact = 32

// Class is the queue of one class.
type Class[T any] struct {
	Key wire.Class

	weight  float64
	rank    int
	bound   int64
	bounded bool

	start    float64 // start tag of the first task
	waiting  int
	running  int
	backlog  time.Duration
	fifo     ring[*Job[T]]
	dead     int       // withdrawn jobs in fifo
	returned []*Job[T] // jobs with returned tasks, oldest first
	active   bool
	parked   bool
	heap     *heap[T]
	pos      [slots]int
}

// Job is the waiting part of a job.
type Job[T any] struct {
	class     *Class[T]
	seq       uint64
	at        time.Duration
	tasks     []Task[T]
	next      int
	returned  []Task[T]
	waiting   int
	cost      time.Duration // of the waiting tasks
	queued    bool          // in the class's fifo
	withdrawn bool
}

// Waiting returns the number of waiting tasks.
func (c *Class[T]) Waiting() int { return c.waiting }

// Running returns the number of running tasks.
func (c *Class[T]) Running() int { return c.running }

// Backlog returns the estimated run time of the waiting tasks.
func (c *Class[T]) Backlog() time.Duration { return c.backlog }

// Weight returns the class's weight.
func (c *Class[T]) Weight() float64 { return c.weight }

// Rank returns the rank of the class's urgency.
func (c *Class[T]) Rank() int { return c.rank }

// Ratio returns the running tasks relative to the weight; the class with the
// lowest ratio is entitled to the next slot.
func (c *Class[T]) Ratio() float64 { return c.ratio() }

// Oldest returns when the first waiting job was pushed; ok is false if nothing
// waits.
func (c *Class[T]) Oldest() (at time.Duration, ok bool) {
	if c.waiting == 0 {
		return 0, false
	}
	return c.head().at, true
}

// Head returns the first task without removing it; the class must have one.
func (c *Class[T]) Head() Task[T] {
	j := c.head()
	if n := len(j.returned); n > 0 {
		return j.returned[n-1]
	}
	return j.tasks[j.next]
}

// head returns the job of the first task and drops what is withdrawn or empty.
func (c *Class[T]) head() *Job[T] {
	for len(c.returned) > 0 && len(c.returned[0].returned) == 0 {
		c.returned = slices.Delete(c.returned, 0, 1)
	}
	if len(c.returned) > 0 {
		return c.returned[0]
	}
	for {
		j := c.fifo.front()
		if j.next < len(j.tasks) {
			return j
		}
		c.dropFront()
	}
}

func (c *Class[T]) pop() (*Job[T], Task[T]) {
	j := c.head()
	if n := len(j.returned); n > 0 {
		t := j.returned[n-1]
		j.returned = j.returned[:n-1]
		return j, t
	}
	t := j.tasks[j.next]
	j.next++
	if j.next == len(j.tasks) {
		c.dropFront()
		j.tasks, j.next = nil, 0
	}
	return j, t
}

// insertReturned keeps the jobs with returned tasks in order of admission.
func (c *Class[T]) insertReturned(j *Job[T]) {
	i, found := slices.BinarySearchFunc(c.returned, j.seq, func(o *Job[T], seq uint64) int {
		if o.seq < seq {
			return -1
		}
		if o.seq > seq {
			return 1
		}
		return 0
	})
	if !found {
		c.returned = slices.Insert(c.returned, i, j)
	}
}

// compact drops the withdrawn jobs from the middle of the queue when they are
// more than half of it; submit-and-cancel loops would let it grow otherwise.
func (c *Class[T]) compact(j *Job[T]) {
	if !j.queued {
		return
	}
	j.queued = false
	c.dead++
	if c.dead < minCompact || 2*c.dead < c.fifo.size {
		return
	}
	for n := c.fifo.size; n > 0; n-- {
		o := c.fifo.front()
		c.fifo.pop()
		if !o.withdrawn {
			c.fifo.push(o)
		}
	}
	c.dead = 0
}

// dropFront removes the first job of the queue.
func (c *Class[T]) dropFront() {
	j := c.fifo.front()
	c.fifo.pop()
	j.queued = false
	if j.withdrawn {
		c.dead--
	}
}

func (c *Class[T]) queued() bool { return c.pos[slotTag] >= 0 }

func (c *Class[T]) ratio() float64 { return float64(c.running) / c.weight }

func sortLongest[T any](tasks []Task[T]) {
	less := func(a, b Task[T]) int { return int(min(max(b.Cost-a.Cost, -1), 1)) }
	if !slices.IsSortedFunc(tasks, less) {
		slices.SortStableFunc(tasks, less)
	}
}
