package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// maxWaitsPerRack bounds the tasks that wait for a rack, and with them the cost of a
	// review. Further tasks are placed elsewhere.
	maxWaitsPerRack = 128
	// rackReviewInterval is the time between two reviews of all waiting tasks, for racks
	// that are lost without a new load summary.
	rackReviewInterval = contactCheckInterval
)

// rackKey identifies the workers of a service on a rack.
type rackKey struct{ service, rack string }

// rackOf returns the preferred rack of a task.
func rackOf(t *task) rackKey {
	return rackKey{t.job.spec.Service, t.job.spec.Steps[t.step].PreferredRack}
}

// rackWait is the wait of a task for room on its rack. A waiting task has no run and holds no
// capacity.
type rackWait struct {
	task *task
	// active is true while the task waits, and reported once WaitEnded has been emitted.
	active, reported bool
	// since is the begin of the wait, until its latest end, and endedAt its end.
	since, until, endedAt time.Duration
	// awayEnd is the expected end of a run away at the begin of the wait, and nearEnd that
	// of a run near.
	awayEnd, nearEnd time.Duration
	priority         float64 // locality.Decision.Priority
}

// WaitOutcome is the way in which a wait for a rack ended.
type WaitOutcome string

// Outcomes of a wait.
const (
	// WaitPaid and WaitNotPaid mean that the task ran on its rack, and ended earlier, or
	// not, than expected away when the wait began.
	WaitPaid    WaitOutcome = "paid"
	WaitNotPaid WaitOutcome = "not paid"
	// WaitMoved means that the task was placed elsewhere.
	WaitMoved WaitOutcome = "moved on"
	// WaitDropped means that the job was answered first.
	WaitDropped WaitOutcome = "job ended"
)

// WaitEnded tells the caller of the Machine that a wait of a task for room on its rack has
// ended and what came of it.
type WaitEnded struct {
	Task        work.TaskID
	Queue, Rack string
	Waited      time.Duration
	// Gain is how much earlier the task ended than expected away when the wait began. It
	// is zero unless the task ran on its rack.
	Gain    time.Duration
	Outcome WaitOutcome
}

func (WaitEnded) action() {}

func newRackWait(now time.Duration, t *task, question *locality.Task, d locality.Decision) *rackWait {
	if t.rackWait != nil && !t.rackWait.reported { // its run near found no room
		again := *t.rackWait
		again.until, again.priority = min(again.until, now+d.Until), d.Priority
		return &again
	}
	near, away := question.Near, question.Away
	return &rackWait{task: t, since: now, until: now + d.Until, awayEnd: now + away.Wait + away.RunTime, nearEnd: now + near.Wait + near.RunTime, priority: d.Priority}
}

// waitsForRack reports whether a task waits for room on its rack.
func (t *task) waitsForRack() bool { return t.rackWait != nil && t.rackWait.active }

// compare orders the waiting tasks of a rack: by rank, then the highest priority, then the
// earliest.
func (rw *rackWait) compare(other *rackWait) int {
	return cmp.Or(cmp.Compare(rw.task.job.spec.Rank, other.task.job.spec.Rank), cmp.Compare(other.priority, rw.priority), cmp.Compare(rw.since, other.since),
		cmp.Compare(rw.task.job.spec.ID, other.task.job.spec.ID), cmp.Compare(rw.task.step, other.task.step), cmp.Compare(rw.task.index, other.task.index))
}

// mayAddRackWait reports whether another task may wait for the rack of a task.
func (m *Machine) mayAddRackWait(t *task) bool { return len(m.rackWaits[rackOf(t)]) < maxWaitsPerRack }

// beginRackWait makes a task wait for room on its rack.
func (m *Machine) beginRackWait(now time.Duration, t *task, rw *rackWait) {
	if len(m.rackWaits) == 0 {
		m.fullReviewAt = now + rackReviewInterval
		m.nextRackReview = m.fullReviewAt
	}
	t.rackWait, rw.active = rw, true
	t.expectedEnd = rw.nearEnd
	key := rackOf(t)
	list := m.rackWaits[key]
	i, _ := slices.BinarySearchFunc(list, rw, (*rackWait).compare)
	m.rackWaits[key] = slices.Insert(list, i, rw)
	t.job.rackWaits++
	m.nextRackReview = min(m.nextRackReview, rw.until)
}

// endRackWait ends the wait of a task.
func (m *Machine) endRackWait(now time.Duration, rw *rackWait) {
	rw.active, rw.endedAt = false, now
	rw.task.job.rackWaits--
	key := rackOf(rw.task)
	list := m.rackWaits[key]
	list = slices.Delete(list, slices.Index(list, rw), slices.Index(list, rw)+1)
	if m.rackWaits[key] = list; len(list) == 0 {
		delete(m.rackWaits, key)
	}
}

// reportWait emits what came of a wait.
func (m *Machine) reportWait(rw *rackWait, gain time.Duration, outcome WaitOutcome) {
	rw.reported = true
	key := rackOf(rw.task)
	m.actions = append(m.actions, WaitEnded{Task: rw.task.id(), Queue: rw.task.job.spec.Queue, Rack: key.rack, Waited: rw.endedAt - rw.since, Gain: gain, Outcome: outcome})
}

// recordWaitResult records the end of the run for which a task has waited.
func (m *Machine) recordWaitResult(now time.Duration, t *task, outcome work.Outcome) {
	rw := t.rackWait
	switch {
	case rw == nil || rw.reported || outcome == work.NoRoom || outcome == work.NotRun:
	case outcome == work.Done && now < rw.awayEnd:
		m.reportWait(rw, rw.awayEnd-now, WaitPaid)
	default:
		m.reportWait(rw, min(rw.awayEnd-now, 0), WaitNotPaid)
	}
}

// dropRackWaits ends the waits of an answered job.
func (m *Machine) dropRackWaits(now time.Duration, j *job) {
	if m.cfg.RemoteFactor <= 1 {
		return
	}
	for i := range j.tasks {
		rw := j.tasks[i].rackWait
		if rw == nil || rw.reported {
			continue
		}
		if rw.active {
			m.endRackWait(now, rw)
		}
		m.reportWait(rw, 0, WaitDropped)
	}
}

// remoteFactor returns the factor by which the tasks of a step take longer on a worker because of
// its rack.
func (m *Machine) remoteFactor(step *work.Step, w *worker) float64 {
	if m.cfg.RemoteFactor > 1 && step.PreferredRack != "" && step.PreferredRack != w.info.Rack {
		return m.cfg.RemoteFactor
	}
	return 1
}

// expectedRunTime returns the expected run time of a task on a worker of average speed on the rack
// of w. The sidecar judges the speed of its worker by it.
func (m *Machine) expectedRunTime(t *task, w *worker) time.Duration {
	return time.Duration(m.remoteFactor(&t.job.spec.Steps[t.step], w) * float64(t.job.estimate(t.step)))
}

// maxDuration is the largest time.
const maxDuration = time.Duration(1<<63 - 1)

// noteStart records the expected end of a run that has been started with an expected wait.
func (m *Machine) noteStart(now time.Duration, t *task, wait time.Duration) {
	if m.cfg.RemoteFactor <= 1 {
		return
	}
	step := &t.job.spec.Steps[t.step]
	t.expectedEnd = now + wait + m.estimateRunTime(t.worker, step, t.job.estimate(t.step))
	if step.PreferredRack != "" && t.worker.info.Rack != step.PreferredRack {
		t.job.stats.AwayRuns++
		if t.rackWait != nil && !t.rackWait.reported {
			m.reportWait(t.rackWait, 0, WaitMoved)
		}
	}
}
