package occupancy

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

func shrinkTo(m *Machine, milliCPU int64) {
	m.SetWorker(5*ms, Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: milliCPU}})
}

// Guards against a queued run that the worker has no longer the capacity for and that keeps the
// runs behind it waiting.
func TestQueuedRunBeyondShrunkCapacity(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("running", 3, 0), request("large", 4, 0), request("small", 1, 1)})
	running := takeStarts(m)
	shrinkTo(m, 3)
	if ends := reportedEnds(m); len(ends) != 1 || ends[0].Run.Task.Job != "large" || ends[0].Outcome != work.NotRun {
		t.Fatalf("ends %+v, want that of the large run", ends)
	}
	m.StartAnswered(6*ms, running[0], Accepted, "")
	m.ApplyStatus(8*ms, WorkerStatus{RequestedAt: 7 * ms, Ended: []EndedRun{{Run: running[0], Outcome: work.Done}}})
	if starts := takeStarts(m); len(starts) != 1 || starts[0].Task.Job != "small" {
		t.Errorf("starts %+v, want the small run", starts)
	}
}

// Guards against a worker whose runs exceed its shrunk capacity and that seems to have room as
// soon as any of them ends.
func TestLoadOfOverusedWorker(t *testing.T) {
	m := newMachine(8)
	m.Submit(0, owner, []wire.RunRequest{request("a", 3, 0), request("b", 3, 0)})
	shrinkTo(m, 2)
	l := m.Load(6 * ms)
	if l.Free.MilliCPU != 0 || l.QueuedMilliCPU[0] != 4 {
		t.Errorf("free %d, queued %d, want 0 and the 4 that have to end first", l.Free.MilliCPU, l.QueuedMilliCPU[0])
	}
	if err := l.Validate(); err != nil {
		t.Error(err)
	}
}
