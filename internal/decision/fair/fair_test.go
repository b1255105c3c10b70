package fair

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func push(q *Queue[int], kind string, n int) (*Class[int], *Job[int]) {
	c := q.Class(wire.Class{Kind: kind})
	tasks := make([]Task[int], n)
	for i := range tasks {
		tasks[i] = Task[int]{Cost: time.Second, Value: i}
	}
	return c, q.Push(c, 0, tasks)
}

// TestIdleSavesNothing guards against a class that was idle taking all slots
// when it returns.
func TestIdleSavesNothing(t *testing.T) {
	q := New[int]()
	a, _ := push(q, "a", 200)
	for range 100 {
		q.Take(q.Pick())
		q.Ended(a)
	}
	b, _ := push(q, "b", 100)
	taken := 0
	for range 20 {
		c := q.Pick()
		q.Take(c)
		q.Ended(c)
		if c == b {
			taken++
		}
	}
	if taken < 9 || taken > 11 {
		t.Errorf("the returning class took %d of 20 slots", taken)
	}
}

// TestWithdraw guards against withdrawn tasks that start, that count against
// the bound, or that pile up.
func TestWithdraw(t *testing.T) {
	q := New[int]()
	c, first := push(q, "a", 2)
	q.Set(c, 1, 0, 3)
	for range 1000 {
		_, j := push(q, "a", 1)
		if q.Withdraw(j) != 1 {
			t.Fatal("nothing withdrawn")
		}
	}
	if c.fifo.size > 2*minCompact || c.Backlog() != 2*time.Second {
		t.Errorf("%d jobs kept, backlog %v", c.fifo.size, c.Backlog())
	}
	if _, j := push(q, "a", 2); j != nil {
		t.Error("the bound does not hold")
	}
	_, task := q.Take(c)
	q.Withdraw(first)
	if q.Return(first, task) || q.Pick() != nil || q.Waiting() != 0 {
		t.Error("a withdrawn job still waits")
	}
}
