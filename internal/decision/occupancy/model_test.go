package occupancy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// order is a call to the model worker that has not been carried out yet.
type pendingCall struct {
	run      work.RunID
	stop     bool
	answered bool // the machine has been told that there is no answer
}

// modelWorker is a worker that starts whatever it is told to start, as those
// without an admission check do. Calls to it may be carried out late and out of
// order, with or without an answer.
type modelWorker struct {
	capacity int64
	need     map[work.RunID]int64
	running  map[work.RunID]int // percent
	settled  map[work.TaskID]int
	listed   []Ended
	calls    []pendingCall
}

func (w *modelWorker) used() int64 {
	sum := int64(0)
	for id := range w.running {
		sum += w.need[id]
	}
	return sum
}

// carryOut executes a call and returns the answer to a start.
func (w *modelWorker) carryOut(c pendingCall) Result {
	id := c.run
	highest, seen := w.settled[id.Task]
	if c.stop {
		w.settled[id.Task] = max(highest, id.Attempt)
		if _, ok := w.running[id]; ok {
			w.end(id, work.Lost)
		}
		return Accepted
	}
	if _, ok := w.running[id]; ok {
		return Accepted
	}
	if seen && id.Attempt <= highest {
		return Outdated
	}
	w.running[id] = 0
	return Accepted
}

func (w *modelWorker) end(id work.RunID, o work.Outcome) {
	delete(w.running, id)
	w.settled[id.Task] = max(w.settled[id.Task], id.Attempt)
	w.listed = append(w.listed, Ended{Run: id, Outcome: o})
}

func (w *modelWorker) look(asked time.Duration) Look {
	l := Look{Asked: asked}
	for _, id := range sorted(w.running) {
		l.Running = append(l.Running, Progress{id, w.running[id]})
	}
	l.Ended, w.listed = w.listed, nil
	return l
}

// sorted returns the runs in a fixed order, so that a seed plays the same again.
func sorted[V any](runs map[work.RunID]V) []work.RunID {
	ids := slices.Collect(maps.Keys(runs))
	slices.SortFunc(ids, func(a, b work.RunID) int { return strings.Compare(a.Task.Job, b.Task.Job) })
	return ids
}

// Guards against starts beyond the worker's capacity and against ends that are
// reported while the run is or may come to be at work, under orders that are
// answered, unanswered, carried out late or never, stops, and lapses.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		w := &modelWorker{capacity: 10, need: map[work.RunID]int64{}, running: map[work.RunID]int{}, settled: map[work.TaskID]int{}}
		m := New(Config{})
		m.SetWorker(now, Worker{ID: "w", Born: 1, Capacity: work.Resources{MilliCPU: w.capacity}})
		m.SetOpen(now, true)
		m.Looked(now, Look{})
		owner := ident.Process{Instance: "e"}
		ended := map[work.RunID]bool{}
		serial, born := 0, int64(1)
		drain := func() {
			for _, a := range m.Actions() {
				switch a := a.(type) {
				case Order:
					w.calls = append(w.calls, pendingCall{run: a.Run})
				case Stop:
					w.calls = append(w.calls, pendingCall{run: a.Run, stop: true})
				case Report:
					if ended[a.End.Run] {
						t.Fatalf("end of %v reported twice", a.End.Run)
					}
					ended[a.End.Run] = true
					if _, ok := w.running[a.End.Run]; ok {
						t.Fatalf("%v reported as %v while it is at work", a.End.Run, a.End.Outcome)
					}
				}
			}
			if w.used() > w.capacity {
				t.Fatalf("%d of %d in use", w.used(), w.capacity)
			}
			for id := range w.running {
				if ended[id] {
					t.Fatalf("%v is at work after its end was reported", id)
				}
			}
		}
		take := func() pendingCall {
			i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
			c := w.calls[i]
			w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
			return c
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { drain() },
			"submit": func(t *rapid.T) {
				serial++
				q := wire.RunRequest{
					Run:  work.RunID{Task: work.TaskID{Job: fmt.Sprint(serial)}, Attempt: 1},
					Need: work.Resources{MilliCPU: rapid.Int64Range(1, 6).Draw(t, "need")},
					Rank: rapid.IntRange(0, 2).Draw(t, "rank"), EstimateMs: 100, MaxWaitMs: 300,
					NoWait: rapid.Bool().Draw(t, "at once"),
				}
				w.need[q.Run] = q.Need.MilliCPU
				m.Submit(now, owner, []wire.RunRequest{q})
			},
			"carry out": func(t *rapid.T) {
				if len(w.calls) == 0 {
					return
				}
				c := take()
				result := w.carryOut(c)
				switch {
				case c.answered || rapid.Bool().Draw(t, "lost") && !c.stop:
					if !c.answered {
						m.Ordered(now, c.run, Unanswered, "")
					}
				case c.stop:
					m.StopConfirmed(now, c.run)
				default:
					m.Ordered(now, c.run, result, "")
				}
			},
			"time out": func(t *rapid.T) {
				if len(w.calls) == 0 {
					return
				}
				c := take()
				if !c.answered && !c.stop {
					m.Ordered(now, c.run, Unanswered, "")
				}
				if rapid.Bool().Draw(t, "kept") {
					c.answered = true
					w.calls = append(w.calls, c)
				}
			},
			"finish": func(t *rapid.T) {
				for _, id := range sorted(w.running) {
					w.end(id, rapid.SampledFrom([]work.Outcome{work.Done, work.RunFailed, work.Lost}).Draw(t, "how"))
					return
				}
			},
			"stop": func(t *rapid.T) {
				for _, id := range sorted(m.runs) {
					m.Stop(now, id)
					return
				}
			},
			"look": func(*rapid.T) { now++; m.Looked(now, w.look(now)); now++ },
			"advance": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(1, 600).Draw(t, "ms")) * time.Millisecond
				m.Tick(now)
			},
			"lapse": func(*rapid.T) {
				for _, id := range sorted(w.running) {
					w.end(id, work.Lost)
				}
				m.LeasesLapsed(now)
			},
			"restart": func(*rapid.T) {
				// Calls that are under way may reach the new life. Those that have timed
				// out can't: their connections to the old life are closed.
				w.calls = slices.DeleteFunc(w.calls, func(c pendingCall) bool { return c.answered })
				born++
				clear(w.running)
				clear(w.settled)
				w.listed = nil
				m.SetWorker(now, Worker{ID: "w", Born: born, Capacity: work.Resources{MilliCPU: w.capacity}})
			},
			"owner": func(*rapid.T) { m.OwnerGone(now, owner) },
		})
	})
}
