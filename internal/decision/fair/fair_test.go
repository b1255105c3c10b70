package fair

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func pushJob(q *Queue[int], kind string, n int) (*Class[int], *Job[int]) {
	c := q.Class(wire.Class{Kind: kind})
	tasks := make([]Task[int], n)
	for i := range tasks {
		tasks[i] = Task[int]{Cost: time.Second, Value: i}
	}
	return c, q.Push(c, 0, tasks)
}

// TestIdleClassGainsNoAdvantage guards against a class that takes all slots after
// it was idle, because its start tag lags behind the virtual time.
func TestIdleClassGainsNoAdvantage(t *testing.T) {
	q := New[int]()
	a, _ := pushJob(q, "a", 200)
	for range 100 {
		q.Take(q.Pick())
		q.RecordEnd(a)
	}
	b, _ := pushJob(q, "b", 100)
	taken := 0
	for range 20 {
		c := q.Pick()
		q.Take(c)
		q.RecordEnd(c)
		if c == b {
			taken++
		}
	}
	if taken < 9 || taken > 11 {
		t.Errorf("the class that was idle took %d of 20 slots, want 9 to 11", taken)
	}
}

// TestWithdraw guards against withdrawn tasks that start, that count against the
// limit of waiting tasks, or that stay in memory.
func TestWithdraw(t *testing.T) {
	q := New[int]()
	c, first := pushJob(q, "a", 2)
	q.Configure(c, 1, 0, 3)
	for range 1000 {
		_, j := pushJob(q, "a", 1)
		if q.Withdraw(j) != 1 {
			t.Fatal("no task was withdrawn")
		}
	}
	if c.jobs.size > 2*compactThreshold || c.Backlog() != 2*time.Second {
		t.Errorf("%d jobs in the queue, backlog %v", c.jobs.size, c.Backlog())
	}
	if _, j := pushJob(q, "a", 2); j != nil {
		t.Error("a job above the limit of waiting tasks was accepted")
	}
	_, task := q.Take(c)
	q.Withdraw(first)
	if q.Requeue(first, task) || q.Pick() != nil || q.Waiting() != 0 {
		t.Error("the withdrawn job still has waiting tasks")
	}
}
