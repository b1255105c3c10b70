package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Bounds of one batch, so that it fits into one message between processes with room to spare,
// and so that a stop does not wait long behind the starts of one.
const (
	maxBatchRuns  = 1000
	maxBatchStops = 4000
	// maxBatchBytes bounds the sum of runBytes.
	maxBatchBytes = 256 << 10
	// runOverheadBytes bounds the size of a run in a message without its payload.
	runOverheadBytes = 300
)

// runBytes returns the size of a run in a message, in bytes, or a little more.
func runBytes(r *wire.RunRequest) int {
	return len(r.Payload) + len(r.Run.Task.Job) + runOverheadBytes
}

// nextRuns returns the number of the first runs in a list that fit into one batch, at least one
// unless the list is empty. All runs of a batch are chosen by the same description of the worker.
func nextRuns(runs []wire.RunRequest) int {
	size := 0
	for i := range runs {
		if size += runBytes(&runs[i]); i > 0 && size > maxBatchBytes || i == maxBatchRuns || runs[i].Description != runs[0].Description {
			return i
		}
	}
	return len(runs)
}

// emitBatches emits the unsent runs and stops of a worker in as many batches as they need. The
// stops come first: none of them is of a run that is unsent.
func (m *Machine) emitBatches(w *worker) {
	for len(w.unsentRuns)+len(w.unsentStops) > 0 {
		m.sequence++
		runs, stops := nextRuns(w.unsentRuns), min(len(w.unsentStops), maxBatchStops)
		b := Batch{Sidecar: w.info.Sidecar.Process, Session: w.session, Sequence: m.sequence, Runs: w.unsentRuns[:runs:runs], Stops: w.unsentStops[:stops:stops]}
		if runs > 0 {
			b.Description = b.Runs[0].Description
		}
		for i := range b.Runs {
			w.reservations = append(w.reservations, reservation{m.sequence, b.Runs[i].Need, b.Runs[i].Rank, b.Runs[i].EstimateMs, w.lastRunAt})
		}
		m.actions = append(m.actions, b)
		w.unsentRuns, w.unsentStops = w.unsentRuns[runs:], w.unsentStops[stops:]
	}
	w.unsentRuns, w.unsentStops = nil, nil
}

// markUnsent makes Actions return batches for the worker. The caller then adds a
// run or a stop to it.
func (m *Machine) markUnsent(w *worker) {
	if len(w.unsentRuns)+len(w.unsentStops) == 0 {
		m.unsent = append(m.unsent, w)
	}
}

// stopRun stops the newest run of a task, or cancels it if it has not been sent.
func (m *Machine) stopRun(t *task) {
	w := t.worker
	for i := range w.unsentRuns {
		if w.unsentRuns[i].Run == t.runID() { // not sent yet
			w.unsentRuns = append(w.unsentRuns[:i], w.unsentRuns[i+1:]...)
			if len(w.unsentRuns)+len(w.unsentStops) == 0 {
				m.unmarkUnsent(w)
			}
			m.detach(t)
			return
		}
	}
	m.markUnsent(w)
	w.unsentStops = append(w.unsentStops, t.runID())
}

// unmarkUnsent reverses markUnsent for a worker whose batch has become empty.
func (m *Machine) unmarkUnsent(w *worker) {
	for i, other := range m.unsent {
		if other == w {
			m.unsent = append(m.unsent[:i], m.unsent[i+1:]...)
			return
		}
	}
}

// detach removes a task from its worker because its newest run has ended or was
// canceled before it was sent.
func (m *Machine) detach(t *task) {
	delete(t.worker.tasks, t.runID())
	t.worker = nil
	t.job.openRuns--
}

// executePlan starts the tasks of a plan that have a worker. If a task has none, the
// job waits for a later attempt.
func (m *Machine) executePlan(now time.Duration, j *job, p plan) {
	for i, t := range p.tasks {
		w := p.workers[i]
		if p.rackWaits != nil && p.rackWaits[i] != nil {
			m.beginRackWait(now, t, p.rackWaits[i])
			continue
		}
		if w == nil {
			m.delayRetry(now, t)
			m.addWaiting(j)
			continue
		}
		m.startRun(now, t, w, p.waits[i] == 0 && t.noRoomEnds < m.noRoomEndsBeforeWait())
		m.noteStart(now, t, p.waits[i])
	}
}

// maxNoRoomEnds is the number of runs of a task that end with work.NoRoom before
// the next one waits in the queue of its worker. Config.AdaptToDelay can reduce it.
//
// Many entry instances place tasks on the same workers, and the load summaries of
// each are older than the newest starts of the others. A task that waited at its
// first worker would often wait there while other workers have free capacity.
const maxNoRoomEnds = 4

// startRun adds a run of a task to the batch for a worker.
func (m *Machine) startRun(now time.Duration, t *task, w *worker, noWait bool) {
	j := t.job
	step := &j.spec.Steps[t.step]
	m.markUnsent(w)
	t.attempt++
	t.worker = w
	if len(w.tasks) == 0 {
		w.activeSince = now
	}
	w.lastRunAt = now
	w.tasks[t.runID()] = t
	w.reserve(step.Need, j.spec.Rank, j.estimate(t.step).Milliseconds())
	j.openRuns++
	j.stats.Runs++
	w.unsentRuns = append(w.unsentRuns, wire.RunRequest{
		Run: t.runID(), Need: step.Need, Payload: j.spec.Payload, Rank: j.spec.Rank,
		EstimateMs: max(m.expectedRunTime(t, w).Milliseconds(), 1),
		MaxWaitMs:  max((j.waitLimit(t) - now).Milliseconds(), 1),
		NoWait:     noWait, Description: w.description,
		JobAgeMs: max((now - j.submittedAt).Milliseconds(), 1),
	})
}
