package dispatch

import (
	"container/heap"
	"time"
)

// heldCapacity is the capacity of a task that may still be running although
// its sidecar or its connection is gone.
type heldCapacity struct {
	until time.Duration
	class *class
}

// heldQueue is a heap by time.
type heldQueue []heldCapacity

func (q heldQueue) Len() int           { return len(q) }
func (q heldQueue) Less(i, j int) bool { return q[i].until < q[j].until }
func (q heldQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *heldQueue) Push(v any)        { *q = append(*q, v.(heldCapacity)) }
func (q *heldQueue) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	*q = (*q)[:last]
	return v
}

// ended gives the capacity of a started task back.
func (m *Machine) ended(c *class) {
	if m.cfg.Limiter == nil {
		return
	}
	m.cfg.Limiter.Ended(m.now, c.key)
	if m.limited {
		m.touchAll()
	}
}

// hold keeps the capacity of a task that may have run until its job's
// deadline, when the backend server has to have stopped it. A hard limit could
// be exceeded otherwise.
func (m *Machine) hold(j *job) {
	if m.now >= j.deadline {
		m.ended(j.class)
		return
	}
	if m.cfg.Limiter != nil {
		heap.Push(&m.held, heldCapacity{until: j.deadline, class: j.class})
	}
}

// endHeld gives held capacity back when its time has come.
func (m *Machine) endHeld() {
	for len(m.held) > 0 && m.held[0].until <= m.now {
		h := heap.Pop(&m.held).(heldCapacity)
		m.ended(h.class)
	}
}
