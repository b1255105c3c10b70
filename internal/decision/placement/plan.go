package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// maxCandidates is the largest number of workers compared for one job, so that
	// the cost of placing a job does not grow with the number of workers.
	maxCandidates = 64
	// The random sample of candidates has sampledCandidatesPerTask workers per task
	// of the plan, and at least minSampledCandidates.
	minSampledCandidates     = 12
	sampledCandidatesPerTask = 3
	// otherZoneCost is the cost of a worker in another availability zone.
	otherZoneCost = 2 * time.Millisecond
	// fullWorkerCost is the additional cost of a fully used worker over an idle one.
	// Another entry instance may meanwhile have taken the free capacity of a worker
	// that is almost full.
	fullWorkerCost = 40 * time.Millisecond
	// maxRandomCost bounds a random cost which makes entry instances with the same
	// load summaries choose different workers, unless Config.AdaptToDelay is set.
	maxRandomCost = 3 * time.Millisecond
	// maxWaitEstimate is the upper bound of an estimated wait. It is also the
	// estimate for a worker that frees almost no capacity.
	maxWaitEstimate = 10 * time.Second
)

// plan assigns tasks of a job to workers.
type plan struct {
	tasks   []*task
	workers []*worker // by task; nil if no worker can take the task now
	waits   []time.Duration
	// rackWaits has an element for each task that waits for room on its rack; nil if none does.
	rackWaits []*rackWait
	// margin is the factor by which admission multiplies waits.
	margin float64
	// maxWait is the longest expected wait of a task for free capacity. minTime is
	// the time until the last task ends if the estimated run times are too long by
	// their usual error.
	maxWait, minTime time.Duration
	// admissible is true if each task has a worker, the tasks can end before the
	// deadline of the job according to minTime, and each task that has to wait is
	// expected to start early enough to end within the objective of the job. Tasks
	// of later steps do not count.
	admissible bool
	// waitFactor multiplies the expected waits in the costs of workers.
	waitFactor float64
}

// planNow chooses a worker for each task from a random sample of the
// candidates, so that entry instances with the same load summaries do not all
// choose the same workers. If the plan on the sample is not admissible or a task
// would have to wait, it chooses among all candidates.
func (m *Machine) planNow(now time.Duration, j *job, tasks []*task) plan {
	all := m.candidates(j.spec.Service)
	sampleSize := max(minSampledCandidates, sampledCandidatesPerTask*len(tasks))
	if len(all) > sampleSize {
		m.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		if p := m.planAmong(now, j, tasks, all[:sampleSize], 1); p.admissible && p.maxWait == 0 {
			return p
		}
	}
	return m.reconsider(now, j, m.planAmong(now, j, tasks, all, 1), all)
}

// planAmong chooses for each task the best of the candidates, taking into account
// the capacity that the earlier tasks of the plan use. It multiplies the waits in the costs
// with waitFactor.
func (m *Machine) planAmong(now time.Duration, j *job, tasks []*task, candidates []*worker, waitFactor float64) plan {
	margin := waitMargin(j.spec.Rank, len(candidates))
	p := plan{waitFactor: waitFactor, tasks: tasks, workers: make([]*worker, len(tasks)), waits: make([]time.Duration, len(tasks)), margin: margin, admissible: true}
	savedLoads := make([]wire.Load, len(candidates))
	for i, w := range candidates {
		savedLoads[i] = w.load
	}
	for i, t := range tasks {
		step := &j.spec.Steps[t.step]
		w, wait := m.best(now, j, t, step, candidates, &p)
		if w == nil {
			p.admissible = false
			p.minTime = max(p.minTime, max(wait, noWorkerDelay)+j.minRunTime(t.step))
			continue
		}
		p.workers[i], p.waits[i] = w, wait
		p.maxWait, p.minTime = max(p.maxWait, wait), max(p.minTime, wait+j.minRunTime(t.step))
		if wait > 0 && now+time.Duration(margin*float64(wait)) > j.latestStart(t.step) || now+p.minTime > j.deadline {
			p.admissible = false
		}
		w.reserve(step.Need, j.spec.Rank, j.estimate(t.step).Milliseconds())
	}
	for i, w := range candidates {
		w.load = savedLoads[i]
	}
	return p
}

// marginPerDoubling is the increase of waitMargin with each doubling of the number
// of workers.
const marginPerDoubling = 2.0 / 3

// waitMargin returns the factor by which admission multiplies the expected wait
// of a task. The expected wait is the minimum of many uncertain estimates, so its
// error grows with the number of compared workers. Other entry instances also
// submit runs in the meantime, and a job that ends late has used capacity that
// other jobs needed. The factor is 1 for the most urgent rank, because no other
// rank is queued before it.
func waitMargin(rank, workers int) float64 {
	if rank == 0 {
		return 1
	}
	return max(marginPerDoubling*math.Log2(float64(workers)), 1)
}

// candidates returns the usable workers of a service, or a random selection of
// maxCandidates of them if there are more.
func (m *Machine) candidates(service string) []*worker {
	p := m.pools[service]
	if p == nil {
		return nil
	}
	var list []*worker
	for _, w := range p.workers {
		if w.usable() {
			list = append(list, w)
		}
	}
	if len(list) > maxCandidates {
		m.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		list = list[:maxCandidates]
	}
	return list
}

// best returns the worker with the lowest cost for a task and the expected wait
// on it. The cost is the expected time until the task ends, plus corrections. Of
// the workers that can run the task, best prefers those that the task does not
// avoid. Its last choice is a suspect worker, or a worker on probation (Load.Probe)
// that the plan already uses or that has runs not yet included in its load summary. A task
// whose run was returned takes no worker on which it is expected to wait for too long; if there
// is no other, best returns the shortest of these waits.
func (m *Machine) best(now time.Duration, j *job, t *task, step *work.Step, candidates []*worker, p *plan) (best *worker, wait time.Duration) {
	bestCost, bestTier, randomCost := time.Duration(0), 0, m.randomCostBound()
	for _, w := range candidates {
		if !step.Need.FitsIn(w.load.Capacity) || step.RequiredLabel != "" && !hasLabel(w, step.RequiredLabel) || step.MaxPerWorker > 0 && m.tasksOnWorker(j, t.step, w, p) >= step.MaxPerWorker {
			continue
		}
		tier := 0
		switch {
		case w.load.Suspect || w.load.Probe && (w.hasUnreportedRuns() || p.includes(w)):
			tier = 2
		case t.avoids(w):
			tier = 1
		}
		workerWait := w.estimateWait(step.Need, j.spec.Rank)
		if t.returns > 0 && workerWait > 0 && now+workerWait > j.waitLimit(t) {
			if best == nil && (wait == 0 || workerWait < wait) {
				wait = workerWait
			}
			continue // it would return the run again
		}
		runTime := m.estimateRunTime(w, step, j.estimate(t.step))
		cost := time.Duration(p.waitFactor*float64(workerWait)) + runTime + w.utilizationCost() + time.Duration(m.random.Int63n(int64(randomCost)))
		if w.info.Sidecar.Zone != m.cfg.Zone {
			cost += otherZoneCost
		}
		if best == nil || tier < bestTier || tier == bestTier && cost < bestCost {
			best, bestCost, bestTier, wait = w, cost, tier, workerWait
		}
	}
	return best, wait
}

// includes reports whether the plan assigns a task to a worker.
func (p *plan) includes(w *worker) bool {
	for _, planned := range p.workers {
		if planned == w {
			return true
		}
	}
	return false
}

// hasUnreportedRuns reports whether there are runs for the worker that its load
// summary does not include yet.
func (w *worker) hasUnreportedRuns() bool { return len(w.reservations)+len(w.unsentRuns) > 0 }

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// tasksOnWorker counts the tasks of a step that have a run on a worker or are
// assigned to it by the plan.
func (m *Machine) tasksOnWorker(j *job, step int, w *worker, p *plan) int {
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && t.worker == w {
			n++
		}
	}
	for i, planned := range p.workers {
		if planned == w && p.tasks[i].step == step {
			n++
		}
	}
	return n
}

// estimateRunTime returns the expected run time of a task on the worker. The
// argument estimate is the expected run time on an average worker.
func (m *Machine) estimateRunTime(w *worker, step *work.Step, estimate time.Duration) time.Duration {
	runTime := float64(estimate)
	// The slowness of a worker on probation is ignored. Otherwise the worker would
	// not get the run that shows whether it has recovered.
	if w.load.Slowness > 0 && !w.load.Probe {
		runTime *= w.load.Slowness
	}
	return time.Duration(runTime * m.remoteFactor(step, w))
}

// utilizationCost returns a cost proportional to the used part of the worker's
// processor capacity.
func (w *worker) utilizationCost() time.Duration {
	if w.load.Capacity.MilliCPU <= 0 {
		return 0
	}
	return fullWorkerCost * time.Duration(w.load.Capacity.MilliCPU-w.load.Free.MilliCPU) / time.Duration(w.load.Capacity.MilliCPU)
}

// estimateWait returns the expected time that a task of a rank waits for free
// capacity. The estimate is the capacity still missing for the task and the runs
// queued before it, divided by the rate at which running tasks free capacity.
func (w *worker) estimateWait(need work.Resources, rank int) time.Duration {
	queuedMilliCPU := w.queuedUpTo(rank)
	if queuedMilliCPU == 0 && need.FitsIn(w.load.Free) {
		return 0
	}
	usedMilliCPU := w.load.Capacity.MilliCPU - w.load.Free.MilliCPU
	if usedMilliCPU <= 0 {
		return 0
	}
	missingMilliCPU := max(queuedMilliCPU+need.MilliCPU-w.load.Free.MilliCPU, 1)
	// Running tasks are half done on average, so their mean run time is twice their
	// mean remaining time. The lower bound applies if most of them have exceeded
	// their estimates.
	remainingMs := max(float64(w.load.RemainingWork)/float64(usedMilliCPU), minRemainingMs)
	freedPerMs := float64(usedMilliCPU) / (2 * remainingMs)
	// Runs of more urgent ranks that arrive in the meantime take their usual share
	// of the freed capacity.
	share := 1.0
	for k := range min(rank, wire.NumRanks-1) {
		share -= w.load.RankShare[k]
	}
	freedPerMs *= max(share, minRankShare)
	wait := time.Duration(float64(missingMilliCPU) / freedPerMs * float64(time.Millisecond))
	return min(wait, maxWaitEstimate)
}

// minRankShare is the lower bound of the estimated share of the freed capacity
// that a rank gets.
const minRankShare = 0.05

// minRemainingMs is the lower bound of the mean remaining time of running tasks,
// in milliseconds.
const minRemainingMs = 10

// sortTasks sorts by submission time and ID of the job, then by step and index.
func sortTasks(list []*task) {
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.job != y.job {
			return x.job.submittedAt < y.job.submittedAt || x.job.submittedAt == y.job.submittedAt && x.job.spec.ID < y.job.spec.ID
		}
		return x.step < y.step || x.step == y.step && x.index < y.index
	})
}
