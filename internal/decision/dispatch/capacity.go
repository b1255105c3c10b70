package dispatch

import (
	"container/heap"
	"time"
)

// heldCapacity is the limit capacity of a task whose outcome is unknown and that
// may still be running.
type heldCapacity struct {
	until time.Duration
	class *class
}

// heldCapacityHeap is a heap ordered by until.
type heldCapacityHeap []heldCapacity

func (q heldCapacityHeap) Len() int           { return len(q) }
func (q heldCapacityHeap) Less(i, j int) bool { return q[i].until < q[j].until }
func (q heldCapacityHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *heldCapacityHeap) Push(v any)        { *q = append(*q, v.(heldCapacity)) }
func (q *heldCapacityHeap) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	*q = (*q)[:last]
	return v
}

// returnCapacity returns the capacity of a started task to the limiter.
func (m *Machine) returnCapacity(c *class) {
	if m.cfg.Limiter == nil {
		return
	}
	m.cfg.Limiter.Ended(m.now, c.key)
	if m.classLimited {
		m.markAllDirty()
	}
}

// holdCapacity keeps the capacity of a task that may have run. The capacity is
// returned at the deadline of the job, by which the backend server must have
// stopped the task. Returning it earlier could exceed a hard limit.
func (m *Machine) holdCapacity(j *job) {
	if m.now >= j.deadline {
		m.returnCapacity(j.class)
		return
	}
	if m.cfg.Limiter != nil {
		heap.Push(&m.heldCapacity, heldCapacity{until: j.deadline, class: j.class})
	}
}

// returnHeldCapacity returns the held capacity that has become due.
func (m *Machine) returnHeldCapacity() {
	for len(m.heldCapacity) > 0 && m.heldCapacity[0].until <= m.now {
		h := heap.Pop(&m.heldCapacity).(heldCapacity)
		m.returnCapacity(h.class)
	}
}
