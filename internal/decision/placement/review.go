package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// noteRackLoad makes the next Tick review the tasks that wait for the rack of a worker.
func (m *Machine) noteRackLoad(w *worker) {
	if len(m.rackWaits) == 0 {
		return
	}
	if key := (rackKey{w.info.Service, w.info.Rack}); len(m.rackWaits[key]) > 0 {
		m.changedRacks[key] = true
	}
}

// reviewRackWaits decides anew for the waiting tasks of the racks with new load summaries for which
// needsPromptReview is true, and for all when a wait ends or the review of all is due. It returns the
// time of the next call, zero if no task waits.
func (m *Machine) reviewRackWaits(now time.Duration) time.Duration {
	if len(m.rackWaits) == 0 {
		m.nextRackReview = 0
		return 0
	}
	keys := slices.Collect(maps.Keys(m.changedRacks))
	all := now >= m.nextRackReview
	if all {
		m.fullReviewAt = now + rackReviewInterval
		keys = slices.Collect(maps.Keys(m.rackWaits))
	}
	slices.SortFunc(keys, func(a, b rackKey) int { return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.rack, b.rack)) })
	clear(m.changedRacks)
	for _, key := range keys {
		if all || m.needsPromptReview(key) {
			m.reviewRack(now, key)
		}
	}
	m.nextRackReview = m.fullReviewAt
	for _, list := range m.rackWaits {
		for _, rw := range list {
			m.nextRackReview = min(m.nextRackReview, rw.until)
		}
	}
	if len(m.rackWaits) == 0 {
		m.nextRackReview = 0
	}
	return m.nextRackReview
}

// maxPromptComparisons is the largest number of comparisons of waiting tasks with workers in a
// review for a load summary that brings no room. A longer one waits for the review of all tasks, so
// that the cost of the load summaries of a full rack does not grow with its waiting tasks.
const maxPromptComparisons = 256

// needsPromptReview reports whether the waiting tasks of a rack with a new load summary are reviewed
// at once, because there may be room for one or the review is short.
func (m *Machine) needsPromptReview(key rackKey) bool {
	near := m.nearWorkers(key.service, key.rack)
	if len(near)*len(m.rackWaits[key]) <= maxPromptComparisons {
		return true
	}
	least := int64(math.MaxInt64) // thousandths of a core
	for _, rw := range m.rackWaits[key] {
		least = min(least, rw.task.job.spec.Steps[rw.task.step].Need.MilliCPU)
	}
	return slices.ContainsFunc(near, func(w *worker) bool {
		return w.queuedUpTo(0) == 0 && w.load.Free.MilliCPU >= min(least, w.load.Capacity.MilliCPU)
	})
}

// reviewRack places the waiting tasks of a rack for which there is room, in their order, and
// moves those on for which a further wait does not pay. Those that keep waiting count as queued
// for the later ones.
func (m *Machine) reviewRack(now time.Duration, key rackKey) {
	near := m.nearWorkers(key.service, key.rack)
	queued := make([][wire.NumRanks]int64, len(near)) // thousandths of a core
	var moved []*task
	for _, rw := range slices.Clone(m.rackWaits[key]) {
		t, j := rw.task, rw.task.job
		need := j.spec.Steps[t.step].Need
		w, wait := m.best(now, j, t, &j.spec.Steps[t.step], near, &plan{waitFactor: 1})
		usable := w != nil && !t.avoids(w)
		switch {
		case m.withheld(t): // settleTask places it again
			m.moveOn(now, rw)
		case usable && wait == 0:
			m.endRackWait(now, rw)
			m.startRun(now, t, w, true)
			m.noteStart(now, t, 0)
		case !usable || !m.furtherWaitPays(now, rw, w, wait, len(near)):
			m.moveOn(now, rw)
			moved = append(moved, t)
		default:
			rank := min(j.spec.Rank, wire.NumRanks-1)
			w.load.QueuedMilliCPU[rank] += need.MilliCPU
			queued[slices.Index(near, w)][rank] += need.MilliCPU
		}
	}
	for i, w := range near {
		for rank, milliCPU := range queued[i] {
			w.load.QueuedMilliCPU[rank] -= milliCPU
		}
	}
	for _, t := range moved {
		m.placeElsewhere(now, t)
	}
}

// furtherWaitPays decides again for a waiting task, with the expected wait at a worker of its rack.
func (m *Machine) furtherWaitPays(now time.Duration, rw *rackWait, w *worker, wait time.Duration, workers int) bool {
	q := m.question(now, rw.task, w, rw.awayEnd-rw.since)
	q.Near.Wait, q.Margin = wait, locality.Margin(workers, now-w.loadReceived)
	job := &locality.Job{Rest: rw.task.job.restOfRuns(now), Tasks: []locality.Task{q}}
	return m.cfg.DecideWaits(job)[0].Choice == locality.Wait
}

// moveOn ends the wait of a task that is to be placed elsewhere.
func (m *Machine) moveOn(now time.Duration, rw *rackWait) {
	m.endRackWait(now, rw)
	m.reportWait(rw, 0, WaitMoved)
}

// placeElsewhere places a task whose wait has ended on another rack if there is room, and
// otherwise where it is expected to end first.
func (m *Machine) placeElsewhere(now time.Duration, t *task) {
	j := t.job
	if j.answered || t.worker != nil {
		return
	}
	step := &j.spec.Steps[t.step]
	p := plan{waitFactor: 1, tasks: []*task{t}, workers: make([]*worker, 1), waits: make([]time.Duration, 1)}
	p.workers[0], p.waits[0] = m.best(now, j, t, step, m.awayWorkers(j.spec.Service, step.PreferredRack), &plan{waitFactor: 1})
	if p.workers[0] == nil || p.waits[0] > 0 {
		p = m.planNow(now, j, p.tasks)
	}
	if now+p.minTime > j.deadline {
		m.abandon(now, j, work.ReasonDeadline)
		return
	}
	m.executePlan(now, j, p)
}

// reserveForRackWaits adds the tasks that wait for a rack before a task to the queues of its
// workers, in equal parts. It saves their load summaries before.
func (m *Machine) reserveForRackWaits(j *job, t *task, near []*worker, loads *savedLoads) {
	if len(near) == 0 || len(m.rackWaits[rackOf(t)]) == 0 {
		return
	}
	step := &j.spec.Steps[t.step]
	room := float64(step.Count) * float64(step.Need.MilliCPU) / 1000 * j.estimate(t.step).Seconds()
	priority := locality.Priority(time.Duration((m.cfg.RemoteFactor-1)*float64(j.estimate(t.step))), room)
	candidate := &rackWait{task: t, since: maxDuration, priority: priority}
	var shares [wire.NumRanks]int64 // thousandths of a core
	for _, rw := range m.rackWaits[rackOf(t)] {
		if rw.compare(candidate) < 0 {
			shares[min(rw.task.job.spec.Rank, wire.NumRanks-1)] += rw.task.job.spec.Steps[rw.task.step].Need.MilliCPU / int64(len(near))
		}
	}
	for _, w := range near {
		loads.save(w)
		for rank, share := range shares {
			w.load.QueuedMilliCPU[rank] += share
		}
	}
}
