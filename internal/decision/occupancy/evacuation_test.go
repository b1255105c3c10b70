package occupancy

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against queued runs that start, or wait, in a zone under evacuation, against a run at work
// that is stopped there, and against a worker that counts as failing because an entry instance that
// does not know yet sends runs to it.
func TestEvacuatedWorker(t *testing.T) {
	m := newMachine(4)
	m.Submit(0, owner, []wire.RunRequest{request("running", 4, 0), request("queued", 4, 0)})
	m.StartAnswered(0, takeStarts(m)[0], Accepted, "")
	m.SetEvacuated(ms, true)
	m.Submit(2*ms, owner, []wire.RunRequest{request("late1", 1, 0), request("late2", 1, 0), request("late3", 1, 0), request("late4", 1, 0), request("late5", 1, 0)})
	actions := m.Actions()
	for _, a := range actions {
		if end, ok := a.(ReportEnd); !ok || end.End.Outcome != work.NotRun || end.End.Reason != ReasonEvacuated {
			t.Errorf("action %+v", a)
		}
	}
	if l := m.Load(2 * ms); len(actions) != 6 || l.AcceptsRuns || l.Suspect || l.Probe || m.NumActive() != 1 {
		t.Errorf("%d runs returned, %d active, load %+v", len(actions), m.NumActive(), l)
	}
}

// Guards against a worker that counts as failing because its sidecar has withdrawn start calls.
func TestWithdrawnStarts(t *testing.T) {
	for result, want := range map[StartResult]bool{Rejected: true, Withdrawn: false} {
		m := newMachine(16)
		for i := range 16 {
			m.lastSequence++
			r := request(time.Duration(i).String(), 1, 0)
			m.Submit(0, owner, []wire.RunRequest{r})
			m.StartAnswered(0, r.Run, result, "test")
		}
		if l := m.Load(0); m.NumActive() != 0 || (l.Suspect || l.Probe) != want {
			t.Errorf("result %v: %d runs active, suspect %v, probe %v", result, m.NumActive(), l.Suspect, l.Probe)
		}
	}
}

// Guards against a cold worker that gets all its work at once after an evacuation, against load
// summaries that promise what does not start, and against runs that stay queued when it is warm.
func TestRampAfterEvacuation(t *testing.T) {
	m := newMachine(8)
	m.SetEvacuated(0, true)
	m.SetEvacuated(ms, false)
	if l := m.Load(ms); l.Validate() != nil || l.Free.MilliCPU != 1 || l.Capacity.MilliCPU != 8 || l.RemainingWork == 0 {
		t.Fatalf("load %+v", l)
	}
	for range 8 {
		m.lastSequence++
		r := request(time.Duration(m.lastSequence).String(), 1, 0)
		r.MaxWaitMs, r.EstimateMs = 60_000, 600_000
		m.Submit(ms, owner, []wire.RunRequest{r})
	}
	now := ms
	for step := 1; step <= 8; step++ {
		next := m.Tick(now)
		if l := m.Load(now); m.NumActive() != step || l.Free.MilliCPU != 0 {
			t.Fatalf("%d runs active after %v, load %+v", m.NumActive(), now, l)
		}
		now = next
	}
	m = newMachine(8)
	m.SetEvacuated(0, true)
	m.SetEvacuated(ms, false)
	m.Submit(ms, owner, []wire.RunRequest{request("large", 8, 0)})
	if len(takeStarts(m)) != 1 {
		t.Error("a run that needs the whole of an idle worker does not start")
	}
}
