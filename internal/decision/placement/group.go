package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxGroupRacks is the largest number of racks compared for tasks that run faster on one
// rack.
const maxGroupRacks = 8

// planGroups plans the tasks of each step with work.Step.OneRack together on one rack if the
// last of them ends sooner there than with the plan.
func (m *Machine) planGroups(now time.Duration, j *job, p *plan) {
	changed := false
	for k := range j.spec.Steps {
		if !j.spec.Steps[k].OneRack || j.spec.Steps[k].Count < 2 {
			continue
		}
		if group := p.tasksOfStep(k); len(group) > 0 {
			changed = m.planGroup(now, j, p, k, group) || changed
		}
	}
	if changed {
		p.assess(now, j)
	}
}

// tasksOfStep returns the indexes of the tasks of a step in the plan.
func (p *plan) tasksOfStep(step int) []int {
	var list []int
	for i, t := range p.tasks {
		if t.step == step {
			list = append(list, i)
		}
	}
	return list
}

// planGroup compares the plan for the tasks of a step with plans on one rack each, by the
// last end. It reports whether it has changed the plan.
func (m *Machine) planGroup(now time.Duration, j *job, p *plan, step int, group []int) (changed bool) {
	racks, running := m.groupRacks(j, step)
	if len(running) > 1 {
		return false // the tasks run apart already
	}
	best := m.groupEnd(j, p, group, running)
	var loads savedLoads
	defer loads.restore()
	p.reserveOthers(step, &loads)
	tasks := make([]*task, len(group))
	for i, index := range group {
		tasks[i] = p.tasks[index]
	}
	for _, rack := range racks {
		one := m.planAmong(now, j, tasks, m.nearWorkers(j.spec.Service, rack), 1)
		if slices.Contains(one.workers, nil) || !one.admissible && p.admissible {
			continue
		}
		all := make([]int, len(group))
		for i := range all {
			all[i] = i
		}
		if end := m.groupEnd(j, &one, all, running); end < best {
			best, changed = end, true
			for i, index := range group {
				p.workers[index], p.waits[index] = one.workers[i], one.waits[i]
			}
		}
	}
	return changed
}

// groupEnd returns the time until the last end of a step's tasks in a plan, if other tasks
// of the step run on the racks running. It is maxDuration if one of them has no worker.
func (m *Machine) groupEnd(j *job, p *plan, group []int, running map[string]bool) time.Duration {
	racks := maps.Clone(running)
	end := time.Duration(0)
	for _, index := range group {
		w := p.workers[index]
		if w == nil {
			return maxDuration
		}
		racks[w.info.Rack] = true
	}
	factor := 1.0
	if len(racks) > 1 {
		factor = m.cfg.RemoteFactor
	}
	for _, index := range group {
		t := p.tasks[index]
		runTime := m.estimateRunTime(p.workers[index], &j.spec.Steps[t.step], j.estimate(t.step))
		end = max(end, p.waits[index]+time.Duration(factor*float64(runTime)))
	}
	return end
}

// reserveOthers reserves the capacity of the planned tasks of other steps.
func (p *plan) reserveOthers(step int, loads *savedLoads) {
	for i, t := range p.tasks {
		if t.step != step {
			loads.reserve(t, p.workers[i])
		}
	}
}

// groupRacks returns the racks on which the tasks of a step may be planned together, those
// with the most free capacity first, and the racks on which tasks of it have runs already.
func (m *Machine) groupRacks(j *job, step int) (racks []string, running map[string]bool) {
	running = map[string]bool{}
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && t.worker != nil {
			running[t.worker.info.Rack] = true
		}
	}
	if len(running) > 0 {
		return slices.Collect(maps.Keys(running)), running
	}
	free := map[string]int64{}
	if p := m.pools[j.spec.Service]; p != nil {
		for _, w := range p.workers {
			if w.usable() && w.info.Rack != "" {
				free[w.info.Rack] += w.load.Free.MilliCPU
			}
		}
	}
	racks = slices.SortedFunc(maps.Keys(free), func(a, b string) int { return cmp.Or(cmp.Compare(free[b], free[a]), cmp.Compare(a, b)) })
	preferred := j.spec.Steps[step].PreferredRack
	if i := slices.Index(racks, preferred); i > 0 {
		racks = slices.Insert(slices.Delete(racks, i, i+1), 0, preferred)
	}
	return racks[:min(len(racks), maxGroupRacks)], running
}
