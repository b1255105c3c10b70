package runner

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against a crash that is known to its sidecar and forgotten with the entry instance that
// was told of it, and against one that is told again and again.
func TestCrashToldToEachEntryProcess(t *testing.T) {
	const n = 3
	e := newFakeEntries(t, n)
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", EntryAddresses: []string{e.members[0].Address}, MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.cancel()
		r.listener.Close()
		r.wg.Wait()
	})
	for _, member := range e.members {
		r.AddEntry(member.Address)
	}
	e.waitFor("all entry instances attached", func() bool { return len(e.attached(r)) == n })
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r.mu.Lock()
	r.workerCrashed(clock.SinceBoot(), occupancy.WorkerCrashed{Worker: occupancy.Worker{ID: "w", Incarnation: 4}, Runs: []work.RunID{run}})
	r.mu.Unlock()
	told := func(i int) int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.crashes[i])
	}
	for i := range n {
		e.waitFor("each entry instance is told", func() bool { return told(i) == 1 })
	}
	e.mu.Lock()
	e.restarts[1]++
	e.mu.Unlock()
	e.waitFor("the next process is told", func() bool { return told(1) == 2 })
	for i := range n {
		r.mu.Lock()
		c := r.entries[e.members[i].Address]
		c.wake()
		sent := c.lastSentAt
		r.mu.Unlock()
		e.waitFor("a further heartbeat", func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return c.lastSentAt > sent
		})
	}
	if a, b, c := told(0), told(1), told(2); a != 1 || b != 2 || c != 1 {
		t.Errorf("the crash was told %d, %d and %d times", a, b, c)
	}
}
