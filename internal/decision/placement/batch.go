package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

func (m *Machine) batch(w *worker) {
	if len(w.runs)+len(w.stops) == 0 {
		m.batched = append(m.batched, w)
	}
}

func (m *Machine) stopRun(t *task) {
	w := t.worker
	for i := range w.runs {
		if w.runs[i].Run == t.run() { // not sent yet
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			if len(w.runs)+len(w.stops) == 0 {
				m.unbatch(w)
			}
			m.detach(t)
			return
		}
	}
	m.batch(w)
	w.stops = append(w.stops, t.run())
}

func (m *Machine) unbatch(w *worker) {
	for i, o := range m.batched {
		if o == w {
			m.batched = append(m.batched[:i], m.batched[i+1:]...)
			return
		}
	}
}

// detach takes a task off its worker.
func (m *Machine) detach(t *task) {
	delete(t.worker.tasks, t.run())
	t.worker = nil
	t.job.flying--
}

// carryOut sends the tasks of a plan and keeps those without a worker waiting.
func (m *Machine) carryOut(now time.Duration, j *job, p plan) {
	for i, t := range p.tasks {
		w := p.workers[i]
		if w == nil {
			m.wait(j)
			continue
		}
		m.send(now, t, w, p.waits[i] == 0 && t.returns < maxReturns)
	}
}

// maxReturns is how often a task comes back from workers that are believed to
// have room and have none, before it waits at one.
//
// Its load is many entry instances that place on the same workers: each one's
// summaries are older than the starts of the others, so that tasks would wait at
// one worker while others have room.
const maxReturns = 4

func (m *Machine) send(now time.Duration, t *task, w *worker, atOnce bool) {
	j := t.job
	step := &j.spec.Steps[t.step]
	m.batch(w)
	t.attempt++
	t.worker = w
	w.tasks[t.run()] = t
	w.reserve(step.Need, j.spec.Rank, j.estimate(t.step).Milliseconds())
	j.flying++
	j.facts.Starts++
	w.runs = append(w.runs, wire.RunRequest{
		Run: t.run(), Need: step.Need, Payload: j.spec.Payload, Rank: j.spec.Rank,
		EstimateMs: max(j.estimate(t.step).Milliseconds(), 1),
		MaxWaitMs:  max((j.startBy(t) - now).Milliseconds(), 1),
		NoWait:     atOnce,
	})
}
