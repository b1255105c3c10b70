package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// maxPossibleCrashes is the number of runs of a task that have crashed a worker or may have,
// after which there is no further start. A task of which three workers are known to have
// crashed may be started twice more, so one crash may remain unknown to this process.
const maxPossibleCrashes = 4

// silentWorker is the end of a run since which nothing has been heard of its worker process.
type silentWorker struct {
	sidecar     string // instance name
	incarnation int64  // of the worker process
	// started is true if the run is known to have started.
	started bool
}

// CrashesLearned tells the caller of the Machine of crashes that were not known, so that it can
// tell other entry instances.
type CrashesLearned struct{ Records []crashes.Record }

func (CrashesLearned) action() {}

// RecordCrashes records crashes of workers, under the runs of any owner. A job ends if too many
// workers have crashed under one of its tasks.
func (m *Machine) RecordCrashes(now time.Duration, records []crashes.Record) {
	for _, r := range records {
		added := m.addCrash(now, r)
		for _, task := range added.Tasks {
			if j := m.jobs[task.Job]; j != nil {
				m.endCrashingJob(now, j)
			}
		}
	}
}

// addCrash remembers a crash and returns the part that was not known.
func (m *Machine) addCrash(now time.Duration, r crashes.Record) crashes.Record {
	added := m.crashes.Add(now, r)
	if len(added.Tasks)+len(added.Uncertain) > 0 {
		m.learned = append(m.learned, added)
	}
	return added
}

// Crashes returns the remembered crashes, the oldest first. The caller must not change them.
func (m *Machine) Crashes() []crashes.Record { return m.crashes.Records() }

// CrashesHash returns the hash of the remembered crashes.
func (m *Machine) CrashesHash() uint64 { return m.crashes.Hash() }

// crashAnswer returns the answer to a job that ends because of the crashes under its tasks,
// and whether it does. The job is failed only after MaxCrashes, because the end of a run may
// have been on its way when its worker crashed, so that one crash may be counted wrongly.
func (m *Machine) crashAnswer(j *job) (work.Answer, bool) {
	if !m.crashes.KnowsJob(j.spec.ID) {
		return work.Answer{}, false
	}
	exhausted := false
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done {
			continue
		}
		known, uncertain := m.crashes.Count(t.id())
		if known >= m.cfg.MaxCrashes {
			return work.Answer{State: work.Failed, Reason: work.ReasonCrashes}, true
		}
		exhausted = exhausted || known+uncertain >= maxPossibleCrashes || m.crashes.OnlySuspect(t.id())
	}
	return work.Answer{State: work.Unfinished, Reason: work.ReasonCrashes}, exhausted
}

// endCrashingJob answers a job if too many workers have crashed under one of its tasks.
func (m *Machine) endCrashingJob(now time.Duration, j *job) (ended bool) {
	a, ended := m.crashAnswer(j)
	if ended {
		m.answer(now, j, a)
	}
	return ended
}

// recordCrash records that a run of a task has ended with a crash of its worker, or that it
// may have.
func (m *Machine) recordCrash(now time.Duration, t *task, w *worker, e wire.RunEnd) {
	stats := &t.job.stats
	sidecar, incarnation := w.info.Sidecar.Process.Instance, e.CrashedIncarnation
	if incarnation == 0 {
		incarnation = w.info.Incarnation
	}
	id := crashes.ID{Sidecar: sidecar, Incarnation: incarnation}
	switch e.Crash {
	case work.Crashed:
		stats.CrashedRuns++
		m.addCrash(now, crashes.Record{ID: id, At: now, Tasks: []work.TaskID{t.id()}})
	case work.UncertainCrash:
		stats.PossiblyCrashedRuns++
		m.addCrash(now, crashes.Record{ID: id, At: now, Uncertain: []work.TaskID{t.id()}})
	case work.SilentWorker:
		stats.PossiblyCrashedRuns++
		t.silentWorkers = append(t.silentWorkers, silentWorker{sidecar, incarnation, e.CrashedIncarnation != 0})
	}
}

// withheld reports whether the next start of a task waits until a worker of an earlier run has
// been heard again.
func (m *Machine) withheld(t *task) bool {
	if len(t.silentWorkers) == 0 {
		return false
	}
	known, uncertain := m.crashes.Count(t.id())
	return known+uncertain+len(t.silentWorkers) >= maxPossibleCrashes
}

// settleSilentWorkers decides whether the worker beside a sidecar, which has been heard again,
// had crashed.
func (m *Machine) settleSilentWorkers(now time.Duration, info wire.WorkerInfo) {
	if info.Incarnation == 0 {
		return
	}
	for _, j := range m.unanswered {
		if j.stats.PossiblyCrashedRuns == 0 {
			continue
		}
		for i := range j.tasks {
			m.settleTask(now, &j.tasks[i], info)
		}
	}
}

func (m *Machine) settleTask(now time.Duration, t *task, info wire.WorkerInfo) {
	sidecar := info.Sidecar.Process.Instance
	silent := t.silentWorkers[:0]
	for _, s := range t.silentWorkers {
		r := crashes.Record{ID: crashes.ID{Sidecar: sidecar, Incarnation: s.incarnation}, At: now}
		switch {
		case s.sidecar != sidecar:
			silent = append(silent, s)
		case s.incarnation == info.Incarnation: // it has not crashed
		case s.started:
			r.Tasks = []work.TaskID{t.id()}
			m.addCrash(now, r)
		default:
			r.Uncertain = []work.TaskID{t.id()}
			m.addCrash(now, r)
		}
	}
	if len(silent) < len(t.silentWorkers) {
		t.silentWorkers = silent
		m.addWaiting(t.job)
	}
}
