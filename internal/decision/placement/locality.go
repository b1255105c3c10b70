package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/locality"
)

// maxNearWorkers is the largest number of workers on the rack of a task that are compared.
const maxNearWorkers = 32

// planTasks chooses for each task a worker, or to let it wait for room on its rack. Tasks of
// a step that run faster on one rack are planned together if that ends them sooner.
func (m *Machine) planTasks(now time.Duration, j *job, tasks []*task) plan {
	p := m.planNow(now, j, tasks)
	if m.cfg.RemoteFactor <= 1 {
		return p
	}
	m.planGroups(now, j, &p)
	if slices.ContainsFunc(tasks, m.mayWait) {
		m.planWaits(now, j, &p)
	}
	return p
}

// mayWait reports whether a task prefers a rack and may wait for room there. A task whose
// runs were rejected several times waits in the queue of a worker.
func (m *Machine) mayWait(t *task) bool {
	step := &t.job.spec.Steps[t.step]
	return step.PreferredRack != "" && !step.OneRack && t.noRoomEnds < m.noRoomEndsBeforeWait()
}

// choice holds the places that a task of a plan chooses between.
type choice struct {
	index      int // in plan.tasks
	near, away *worker
	task       locality.Task
}

// planWaits moves tasks of a plan to room on their racks, or makes them wait for it.
func (m *Machine) planWaits(now time.Duration, j *job, p *plan) {
	choices := m.choices(now, j, p)
	if len(choices) == 0 {
		return
	}
	question := &locality.Job{Rest: m.restOfJob(now, j, p, choices)}
	for i := range choices {
		question.Tasks = append(question.Tasks, choices[i].task)
	}
	for i, d := range m.cfg.DecideWaits(question) {
		m.applyDecision(now, p, &choices[i], d)
	}
	p.assess(now, j)
}

// applyDecision changes the plan for one task.
func (m *Machine) applyDecision(now time.Duration, p *plan, c *choice, d locality.Decision) {
	switch d.Choice {
	case locality.Near:
		p.workers[c.index], p.waits[c.index] = c.near, 0
	case locality.Wait:
		t := p.tasks[c.index]
		if !m.mayAddRackWait(t) {
			p.workers[c.index], p.waits[c.index] = c.away, c.task.Away.Wait
			return
		}
		if p.rackWaits == nil {
			p.rackWaits = make([]*rackWait, len(p.tasks))
		}
		p.rackWaits[c.index] = newRackWait(now, t, &c.task, d)
		p.workers[c.index], p.waits[c.index] = nil, c.task.Near.Wait
	case locality.Elsewhere:
		p.workers[c.index], p.waits[c.index] = c.away, c.task.Away.Wait
	}
}

// sides holds the workers on a rack and candidates on others. contended is that of
// locality.Task.
type sides struct {
	near, away []*worker
	contended  bool
}

// chooser finds the choices of a plan.
type chooser struct {
	m     *Machine
	now   time.Duration
	job   *job
	plan  *plan
	racks map[string]*sides
	// near and away are the plan with the places near, and with those away, that the choices
	// so far have found. They count the tasks of a step on a worker.
	near, away plan
	// loads are those before the reservations for the choices so far.
	loads savedLoads
}

// choices returns the tasks of a plan that have both a place on their rack and free capacity
// elsewhere, or room on their rack. Each of them sees the rack as the earlier ones leave it.
// Where all workers are full, tasks wait in the queues of the workers, which have an order of
// ranks across all entry instances.
func (m *Machine) choices(now time.Duration, j *job, p *plan) []choice {
	c := chooser{m: m, now: now, job: j, plan: p, racks: map[string]*sides{},
		near: plan{waitFactor: 1, tasks: p.tasks, workers: slices.Clone(p.workers)}, away: plan{waitFactor: 1, tasks: p.tasks, workers: slices.Clone(p.workers)}}
	defer c.loads.restore()
	for i, t := range p.tasks {
		if !m.mayWait(t) {
			c.loads.reserve(t, p.workers[i])
		}
	}
	var list []choice
	for i, t := range p.tasks {
		if !m.mayWait(t) {
			continue
		}
		if found, ok := c.choose(i); ok {
			list = append(list, found)
		} else {
			c.loads.reserve(t, p.workers[i])
		}
	}
	return list
}

// sidesOf returns the sides of a task's rack, with the tasks that wait for it before this one.
func (c *chooser) sidesOf(t *task) *sides {
	rack := rackOf(t)
	s := c.racks[rack.rack]
	if s == nil {
		s = &sides{near: c.m.nearWorkers(rack.service, rack.rack), contended: c.m.isContended(rack)}
		c.m.reserveForRackWaits(c.job, t, s.near, &c.loads)
		c.racks[rack.rack] = s
	}
	return s
}

// bestAway returns the best place of a task on another rack than its own.
func (c *chooser) bestAway(t *task, s *sides) (*worker, time.Duration) {
	if s.away == nil {
		s.away = c.m.awayWorkers(c.job.spec.Service, rackOf(t).rack)
	}
	return c.m.best(c.now, c.job, t, &c.job.spec.Steps[t.step], s.away, &c.away)
}

// choose returns the places between which a task of the plan chooses, if there are two, and
// reserves capacity at both.
func (c *chooser) choose(i int) (found choice, ok bool) {
	m, j, t := c.m, c.job, c.plan.tasks[i]
	rack, planned, awayWait := rackOf(t), c.plan.workers[i], c.plan.waits[i]
	s := c.sidesOf(t)
	c.near.workers[i], c.away.workers[i] = nil, nil
	near, nearWait := m.best(c.now, j, t, &j.spec.Steps[t.step], s.near, &c.near)
	plannedNear := planned != nil && planned.info.Rack == rack.rack
	away := planned
	if plannedNear && awayWait == 0 {
		near, nearWait = planned, 0
	}
	if planned == nil || plannedNear && (nearWait > 0 || s.contended) {
		away, awayWait = c.bestAway(t, s)
	}
	isNear := plannedNear && c.plan.waits[i] == 0 && !s.contended
	if isNear || near == nil || t.avoids(near) || away == nil || awayWait > 0 && nearWait > 0 {
		c.near.workers[i], c.away.workers[i] = planned, planned
		return choice{}, false
	}
	c.near.workers[i], c.away.workers[i] = near, away
	c.loads.reserve(t, near)
	c.loads.reserve(t, away)
	awayRunTime := m.estimateRunTime(away, &j.spec.Steps[t.step], j.estimate(t.step))
	found = choice{index: i, near: near, away: away, task: m.question(c.now, t, near, awayRunTime)}
	found.task.Near.Wait, found.task.Away.Wait, found.task.Contended = nearWait, awayWait, s.contended
	found.task.Margin = locality.Margin(len(s.near), c.now-near.loadReceived)
	found.task.Queued = plannedNear && !c.plan.late(c.now, j, i)
	return found, true
}

// question returns what the decision needs to know of a task that may run at a worker near, or for
// awayRunTime elsewhere, without the waits.
func (m *Machine) question(now time.Duration, t *task, near *worker, awayRunTime time.Duration) locality.Task {
	j, step, tail := t.job, &t.job.spec.Steps[t.step], t.job.tail(t.step)
	q := locality.Task{
		Near: locality.Place{RunTime: m.estimateRunTime(near, step, j.estimate(t.step))}, Away: locality.Place{RunTime: awayRunTime},
		Objective: min(j.objectiveEnd, j.deadline) - now - tail, Deadline: j.deadline - now - tail,
		MilliCPU: step.Need.MilliCPU, Tail: tail, MaxWait: -1, Urgent: j.spec.Rank == 0,
	}
	if t.rackWait != nil {
		q.MaxWait = max(t.rackWait.until-now, 0)
	}
	return q
}

// restOfJob returns the expected time until the last end of the job's tasks without those of
// the choices.
func (m *Machine) restOfJob(now time.Duration, j *job, p *plan, choices []choice) time.Duration {
	rest := j.restOfRuns(now)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.waitsForRack() {
			rest = max(rest, t.expectedEnd-now+j.tail(t.step))
		}
	}
	chosen := make([]bool, len(p.tasks))
	for i := range choices {
		chosen[choices[i].index] = true
	}
	for i, t := range p.tasks {
		if w := p.workers[i]; w != nil && !chosen[i] {
			rest = max(rest, p.waits[i]+m.estimateRunTime(w, &j.spec.Steps[t.step], j.estimate(t.step))+j.tail(t.step))
		}
	}
	return rest
}

// restOfRuns returns the expected time until the job could end with the tasks that have runs.
func (j *job) restOfRuns(now time.Duration) time.Duration {
	rest := time.Duration(0)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.worker != nil {
			rest = max(rest, t.expectedEnd-now+j.tail(t.step))
		}
	}
	return rest
}

// nearWorkers returns the workers of a service on a rack that can be given a run without
// concern, at most maxNearWorkers.
func (m *Machine) nearWorkers(service, rack string) []*worker {
	var list []*worker
	p := m.pools[service]
	if p == nil {
		return nil
	}
	for _, w := range p.workers {
		if w.info.Rack == rack && w.usable() && !w.load.Suspect && !w.load.Probe {
			if list = append(list, w); len(list) == maxNearWorkers {
				break
			}
		}
	}
	return list
}

// awayWorkers returns candidates on other racks.
func (m *Machine) awayWorkers(service, rack string) []*worker {
	return slices.DeleteFunc(m.candidates(service), func(w *worker) bool { return w.info.Rack == rack })
}

// assess computes the waits of a plan and whether it is admissible anew. A task that waits
// for its rack starts early enough even if it is placed elsewhere after its wait.
func (p *plan) assess(now time.Duration, j *job) {
	p.maxWait, p.minTime, p.admissible = 0, 0, true
	for i, t := range p.tasks {
		waits := p.rackWaits != nil && p.rackWaits[i] != nil
		if p.workers[i] == nil && !waits {
			p.admissible = false
			p.minTime = max(p.minTime, noWorkerDelay+j.minRunTime(t.step))
			continue
		}
		wait := p.waits[i]
		p.maxWait, p.minTime = max(p.maxWait, wait), max(p.minTime, wait+j.minRunTime(t.step))
		if !waits && p.late(now, j, i) || now+p.minTime > j.deadline {
			p.admissible = false
		}
	}
}

// late reports whether a task of the plan has to wait and is not expected to start early
// enough to end within the objective of the job.
func (p *plan) late(now time.Duration, j *job, i int) bool {
	return p.waits[i] > 0 && now+time.Duration(p.margin*float64(p.waits[i])) > j.latestStart(p.tasks[i].step)
}

// tail returns the expected time from the end of the last task of a step to the end of the
// job.
func (j *job) tail(step int) time.Duration {
	if len(j.spec.Steps) == 1 {
		return 0
	}
	if j.tails == nil {
		j.tails = make([]time.Duration, len(j.spec.Steps))
		for k := len(j.spec.Steps) - 1; k >= 0; k-- {
			for _, dependency := range j.spec.Steps[k].DependsOn {
				j.tails[dependency] = max(j.tails[dependency], j.estimates[k]+j.tails[k])
			}
		}
	}
	return j.tails[step]
}
