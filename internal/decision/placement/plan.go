package placement

import (
	"math"
	"sort"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// maxCandidates bounds the workers that are compared for one job, so that
	// the cost of a placement does not grow with the fleet.
	maxCandidates = 64
	// fewestCandidates and candidatesPerTask size the first choice of candidates.
	fewestCandidates  = 12
	candidatesPerTask = 3
	// otherZone is what a worker in another availability zone costs.
	otherZone = 2 * time.Millisecond
	// crowding is what a full worker costs against an empty one: its room may
	// have been taken by another entry instance meanwhile.
	crowding = 40 * time.Millisecond
	// jitter spreads the choices of entry instances with the same view.
	jitter = 3 * time.Millisecond
	// remoteFactor is how much longer a task takes away from its rack.
	remoteFactor = 1.5
	// maxWait is the wait of a worker that frees no room.
	maxWait = 10 * time.Second
)

// plan is a choice of workers for tasks of a job.
type plan struct {
	tasks   []*task
	workers []*worker // nil: no worker takes the task now
	waits   []time.Duration
	// wait is the longest wait for room, and least the time to the end of the
	// last task if its estimate is too long.
	wait, least time.Duration
	// inTime is true if the job can be expected to serve its caller fully, or if
	// there is room for all of it now and its caller may well wait for it.
	inTime bool
}

// plan chooses a worker for each task among a few by chance, so that entry
// instances with the same view do not all choose the same; if the job can't end
// in time on those, among all.
func (m *Machine) plan(now time.Duration, j *job, tasks []*task) plan {
	all := m.candidates(j.spec.Service)
	few := max(fewestCandidates, candidatesPerTask*len(tasks))
	if len(all) > few {
		m.rnd.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		if p := m.planOn(now, j, tasks, all[:few]); p.inTime && p.wait == 0 {
			return p
		}
	}
	return m.planOn(now, j, tasks, all)
}

// planOn chooses a worker for each task: the one on which it ends first, with
// the room that earlier choices leave.
func (m *Machine) planOn(now time.Duration, j *job, tasks []*task, candidates []*worker) plan {
	margin := waitMargin(j.spec.Rank, len(candidates))
	p := plan{tasks: tasks, workers: make([]*worker, len(tasks)), waits: make([]time.Duration, len(tasks)), inTime: true}
	saved := make([]wire.Load, len(candidates))
	for i, w := range candidates {
		saved[i] = w.load
	}
	for i, t := range tasks {
		step := &j.spec.Steps[t.step]
		w, wait := m.best(j, t, step, candidates, &p)
		if w == nil {
			p.inTime = false
			p.least = max(p.least, waitingPoll+j.least(t.step))
			continue
		}
		p.workers[i], p.waits[i] = w, wait
		p.wait, p.least = max(p.wait, wait), max(p.least, wait+j.least(t.step))
		if wait > 0 && now+time.Duration(margin*float64(wait)) > j.startInTime(t.step) || now+p.least > j.deadline {
			p.inTime = false
		}
		w.reserve(step.Need, j.spec.Rank, j.estimate(t.step).Milliseconds())
	}
	for i, w := range candidates {
		w.load = saved[i]
	}
	return p
}

// marginPerDoubling is the part of waitMargin for each doubling of the number of
// workers.
const marginPerDoubling = 2.0 / 3

// waitMargin returns how many times the expected wait a job must have time for
// to be admitted. The wait is the least of many uncertain ones, so it is the
// further off the more workers were compared; other entry instances hand in work
// meanwhile, and a job that ends late has taken the room of others. Nothing
// passes the most urgent rank.
func waitMargin(rank, workers int) float64 {
	if rank == 0 {
		return 1
	}
	return max(marginPerDoubling*math.Log2(float64(workers)), 1)
}

// candidates returns the workers of a service that take work, at most
// maxCandidates of them by chance.
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
		m.rnd.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
		list = list[:maxCandidates]
	}
	return list
}

// best returns the worker on which a task ends first. Suspect workers and those
// that the task avoids come last.
func (m *Machine) best(j *job, t *task, s *work.Step, candidates []*worker, p *plan) (best *worker, wait time.Duration) {
	bestCost, bestTier := time.Duration(0), 0
	for _, w := range candidates {
		if !s.Need.FitsIn(w.load.Capacity) || s.RequiredLabel != "" && !hasLabel(w, s.RequiredLabel) || s.MaxPerWorker > 0 && m.onWorker(j, t.step, w, p) >= s.MaxPerWorker {
			continue
		}
		tier := 0
		switch {
		case w.load.Suspect || w.load.Probe && (w.unseen() || p.uses(w)):
			tier = 2
		case t.avoids(w):
			tier = 1
		}
		wt := w.wait(s.Need, j.spec.Rank)
		run := w.runTime(s, j.estimate(t.step))
		cost := wt + run + w.crowded() + time.Duration(m.rnd.Int63n(int64(jitter)))
		if w.info.Sidecar.Zone != m.cfg.Zone {
			cost += otherZone
		}
		if best == nil || tier < bestTier || tier == bestTier && cost < bestCost {
			best, bestCost, bestTier, wait = w, cost, tier, wt
		}
	}
	return best, wait
}

// uses reports whether the plan has a task for a worker.
func (p *plan) uses(w *worker) bool {
	for _, o := range p.workers {
		if o == w {
			return true
		}
	}
	return false
}

// unseen reports whether the worker has been sent runs that its summary does
// not include.
func (w *worker) unseen() bool { return len(w.pending)+len(w.runs) > 0 }

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// onWorker counts the tasks of a step that are on a worker or planned there.
func (m *Machine) onWorker(j *job, step int, w *worker, p *plan) int {
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && t.worker == w {
			n++
		}
	}
	for i, o := range p.workers {
		if o == w && p.tasks[i].step == step {
			n++
		}
	}
	return n
}

func (w *worker) runTime(s *work.Step, estimate time.Duration) time.Duration {
	run := float64(estimate)
	// A probe is to find out whether the worker has recovered.
	if w.load.Slowness > 0 && !w.load.Probe {
		run *= w.load.Slowness
	}
	if s.PreferredRack != "" && s.PreferredRack != w.info.Rack {
		run *= remoteFactor
	}
	return time.Duration(run)
}

func (w *worker) crowded() time.Duration {
	if w.load.Capacity.MilliCPU <= 0 {
		return 0
	}
	return crowding * time.Duration(w.load.Capacity.MilliCPU-w.load.Free.MilliCPU) / time.Duration(w.load.Capacity.MilliCPU)
}

// wait estimates how long a task of a rank waits for room: what is queued
// before it and itself, less the free room, over the rate at which running
// tasks free room.
func (w *worker) wait(need work.Resources, rank int) time.Duration {
	ahead := w.queuedUpTo(rank)
	if ahead == 0 && need.FitsIn(w.load.Free) {
		return 0
	}
	used := w.load.Capacity.MilliCPU - w.load.Free.MilliCPU
	if used <= 0 {
		return 0
	}
	missing := max(ahead+need.MilliCPU-w.load.Free.MilliCPU, 1)
	// The running tasks are half done on average, so that their whole time is
	// twice the rest; the rest of tasks that are overdue counts as little.
	rest := max(float64(w.load.RemainingWork)/float64(used), minRestMs)
	rate := float64(used) / (2 * rest)
	// What more urgent ranks take of the room that is freed arrives meanwhile.
	left := 1.0
	for k := range min(rank, wire.NumRanks-1) {
		left -= w.load.RankShare[k]
	}
	rate *= max(left, minShare)
	wait := time.Duration(float64(missing) / rate * float64(time.Millisecond))
	return min(wait, maxWait)
}

// minShare is the least part of the freed room that a rank is taken to get.
const minShare = 0.05

// minRestMs is the least mean rest of running tasks in milliseconds.
const minRestMs = 10

func sortTasks(list []*task) {
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.job != y.job {
			return x.job.at < y.job.at || x.job.at == y.job.at && x.job.spec.ID < y.job.spec.ID
		}
		return x.step < y.step || x.step == y.step && x.index < y.index
	})
}
