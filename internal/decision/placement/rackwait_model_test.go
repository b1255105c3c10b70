package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// rackWaitModel plays jobs that prefer racks, loads, ends of runs and losses of workers.
type rackWaitModel struct {
	*rackHarness
	jobs int
	runs []sentRun
	// started holds the jobs of which a run has ended after it had started.
	started  map[string]bool
	revision uint64
}

type sentRun struct {
	sidecar ident.Process
	run     wire.RunRequest
}

// advance lets time pass and hears the workers, of the lost ones only some. Mostly there is room on
// rack c only.
func (m *rackWaitModel) advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms
	for i := range m.racks {
		w := m.m.workers[process(i)]
		if w != nil && w.unreachable && rapid.IntRange(0, 3).Draw(t, "silent") > 0 {
			continue
		}
		free := rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 3000}).Draw(t, "free")
		if m.racks[i] == "c" {
			free = 20000
		}
		m.beat(i, free)
	}
	m.tick() // also if no worker is heard
}

func (m *rackWaitModel) submitJob(t *rapid.T) {
	m.jobs++
	j := wanting(fmt.Sprint("j", m.jobs), rapid.IntRange(1, 3).Draw(t, "tasks"))
	j.Rank = rapid.IntRange(0, 2).Draw(t, "rank")
	j.Steps[0].PreferredRack = rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "rack")
	j.Timeout = time.Duration(rapid.SampledFrom([]int{300, 700, 1000, 3000}).Draw(t, "timeout")) * ms
	m.submit(j)
	m.tick()
}

func (m *rackWaitModel) endOne(t *rapid.T) {
	sent := m.takeRuns()
	for i := range m.racks {
		for _, r := range sent[process(i)] {
			m.runs = append(m.runs, sentRun{process(i), r})
		}
	}
	if len(m.runs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.runs)-1).Draw(t, "run")
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	outcome := rapid.SampledFrom([]work.Outcome{work.Done, work.Done, work.NoRoom, work.NotRun, work.RunFailed}).Draw(t, "outcome")
	if w := m.m.workers[r.sidecar]; w != nil {
		if w.tasks[r.run.Run] != nil && outcome != work.NoRoom && outcome != work.NotRun {
			m.started[r.run.Run.Task.Job] = true
		}
		// As long as estimated, so that later jobs gain as much near their data.
		end := wire.RunEnd{Run: r.run.Run, Outcome: outcome, RunMs: r.run.EstimateMs}
		m.m.RunsEnded(m.now, &wire.EndBatch{Sidecar: r.sidecar, Session: w.session, Ends: []wire.RunEnd{end}})
		m.tick()
	}
}

func (m *rackWaitModel) lose(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		return // rarely, so that tasks wait for racks
	}
	m.m.SidecarLost(m.now, process(rapid.IntRange(0, len(m.racks)-1).Draw(t, "worker")))
	m.tick()
}

// evacuate changes the zones under evacuation. Each worker has a zone of its own.
func (m *rackWaitModel) evacuate(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "changed") > 0 {
		return
	}
	m.revision++
	state := evacuation.State{Revision: m.revision}
	for i := range m.racks {
		if rapid.IntRange(0, 7).Draw(t, "evacuated") == 0 {
			state.Zones = append(state.Zones, info(i).Sidecar.Zone)
		}
	}
	m.m.SetEvacuation(m.now, state)
	m.tick()
}

func (m *rackWaitModel) answerOne(t *rapid.T) {
	id := fmt.Sprint("j", rapid.IntRange(1, m.jobs+1).Draw(t, "job"))
	if rapid.Bool().Draw(t, "cancel") {
		m.m.Cancel(m.now, id)
	} else {
		m.m.CallerLeft(m.now, id)
	}
	m.tick()
}

// check checks that a waiting task has no run, waits for a rack on which it can run, and not
// beyond its time or an answer.
func (m *rackWaitModel) check(t *rapid.T) {
	waiting := map[*job]int{}
	for key, list := range m.m.rackWaits {
		if len(list) == 0 {
			t.Fatalf("an empty list of waits of %v", key)
		}
		for i, rw := range list {
			j := rw.task.job
			waiting[j]++
			if rw.task.worker != nil || rw.task.done || j.answered || !rw.active || rw.task.rackWait != rw {
				t.Fatalf("wait of %v: %+v", rw.task.id(), rw)
			}
			if rw.until <= m.now || rw.until-rw.since > 200*ms || rw.awayEnd > j.deadline {
				t.Fatalf("wait of %v until %v at %v", rw.task.id(), rw.until, m.now)
			}
			if i > 0 && list[i-1].compare(rw) >= 0 {
				t.Fatalf("waits of %v out of order", key)
			}
		}
		if next := m.m.nextRackReview; next <= m.now || next > m.now+rackReviewInterval {
			t.Fatalf("next review at %v at %v", next, m.now)
		}
	}
	for id, a := range m.answers {
		if a.State == work.Refused && m.started[id] {
			t.Fatalf("job %s is refused after a task has run", id)
		}
	}
	if next := m.m.Tick(m.now); next != 0 && next <= m.now || next == 0 && len(m.m.unanswered) > 0 {
		t.Fatalf("next call at %v at %v with %d jobs", next, m.now, len(m.m.unanswered))
	}
	m.take()
	for _, j := range m.m.jobs {
		if !j.answered && j.deadline <= m.now {
			t.Fatalf("job %s has no answer at %v after its deadline %v", j.spec.ID, m.now, j.deadline)
		}
		if j.held && j.rackWaits > 0 {
			t.Fatalf("job %s waits for its first plan and for a rack", j.spec.ID)
		}
		if j.rackWaits != waiting[j] {
			t.Fatalf("job %s counts %d waits of %d", j.spec.ID, j.rackWaits, waiting[j])
		}
	}
}

// TestRackWaitModel guards against waiting tasks that are forgotten, wait for ever or twice, or have
// a run, a wait whose end is not told, a job without an answer after its deadline, or refused
// although a task has run, and a next call in the past.
func TestRackWaitModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &rackWaitModel{rackHarness: newRackHarness(t, 1.5, "a", "a", "b", "c"), started: map[string]bool{}}
		if rapid.IntRange(0, 3).Draw(rt, "just started") == 0 {
			m.m.startup = startup{settle: DefaultWorkersSettle}
		}
		m.advance(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "submit": m.submitJob, "submit another": m.submitJob, "end": m.endOne, "lose": m.lose, "evacuate": m.evacuate, "answer": m.answerOne, "": m.check,
		})
		begun := 0
		for _, j := range m.m.jobs {
			begun += j.rackWaits
		}
		m.m.AbandonJobs(m.now)
		m.take()
		if len(m.m.rackWaits) > 0 {
			rt.Fatalf("%d racks have waits after all jobs were answered", len(m.m.rackWaits))
		}
		dropped := 0
		for _, w := range m.ended {
			if w.Outcome == WaitDropped {
				dropped++
			}
			if w.Waited < 0 || w.Waited > 200*ms {
				rt.Fatalf("%+v", w)
			}
		}
		if dropped < begun {
			rt.Fatalf("%d waits were dropped with their jobs, and %d told", begun, dropped)
		}
	})
}
