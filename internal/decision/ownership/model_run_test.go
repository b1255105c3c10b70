package ownership_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// resubmitDelay is the time after which a caller that hears nothing of an entry instance
// submits its job again at another one.
const resubmitDelay = 1300 * ms

// callerJob is a job as its caller sees it.
type callerJob struct {
	world    *world
	id       string
	duration time.Duration // run time of each of its tasks
	timeout  time.Duration
	entry    *entryProcess // where it was submitted last
	final    bool
	// submission is the number of the newest submission, and accepted that of the
	// submission which an entry instance has admitted.
	submission int
	accepted   map[ident.Process]int
	// refusedBy holds the entry instances that have refused the newest submission to them.
	refusedBy map[ident.Process]bool
}

func (j *callerJob) spec() *work.Job {
	return &work.Job{ID: j.id, Queue: "q", Service: "svc", MaxFailedRuns: 3, Objective: time.Second, ObjectiveFactor: 3, Timeout: j.timeout,
		Steps: []work.Step{{Count: 2, Need: work.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: j.duration}}}
}

// submit submits the job at an entry instance, and again elsewhere if that one is silent.
func (j *callerJob) submit(e *entryProcess) {
	j.entry = e
	j.submission++
	submission := j.submission
	w := j.world
	w.note("%s submitted at %v", j.id, e.id)
	w.send("caller", e.id.Instance, &e.process, func() {
		if j.submission != submission || j.final {
			return // the caller has closed the connection
		}
		delete(j.refusedBy, e.id)
		answer, ok := e.m.Submit(w.now, j.spec())
		if ok {
			j.accepted[e.id] = submission
		}
		e.step()
		if !ok {
			j.answered(e, submission, answer)
		}
	})
	j.watch(submission, 0)
}

// watch submits the job again when the entry instance has been silent for resubmitDelay.
func (j *callerJob) watch(submission int, silence time.Duration) {
	const interval = 20 * ms
	j.world.after(interval, func() {
		e := j.entry
		if j.final || j.submission != submission {
			return
		}
		if !e.dead && !e.paused && !j.world.isolated(e) {
			j.watch(submission, 0)
			return
		}
		if silence+interval < resubmitDelay {
			j.watch(submission, silence+interval)
			return
		}
		j.resubmit(e)
	})
}

// resubmit closes the connection to an entry instance and submits the job at another.
func (j *callerJob) resubmit(e *entryProcess) {
	w, submission := j.world, j.submission
	w.send("caller", e.id.Instance, &e.process, func() {
		if j.accepted[e.id] != submission {
			return
		}
		w.note("%s caller leaves %v", j.id, e.id)
		e.m.CallerLeft(w.now, j.id)
		e.step()
	})
	for _, other := range w.entries {
		if other.id.Instance != e.id.Instance {
			j.submit(other)
			return
		}
	}
}

// answered handles an answer of an entry instance to a submission.
func (j *callerJob) answered(e *entryProcess, submission int, a work.Answer) {
	w := j.world
	w.note("%s answered by %v: %v, %s", j.id, e.id, a.State, a.Reason)
	if a.State == work.Refused {
		j.refusedBy[e.id] = true
	}
	w.send(e.id.Instance, "caller", &process{world: w}, func() {
		if j.final || j.submission != submission {
			return
		}
		switch a.State {
		case work.Completed:
			w.completed++
			j.final = true
		case work.Failed, work.Refused:
			j.final = true
		case work.Unfinished:
			w.after(resubmitDelay, func() {
				if !j.final && j.submission == submission {
					j.resubmit(e)
				}
			})
		}
	})
}

// started checks the start of a run of the job for an entry instance.
func (j *callerJob) started(run work.RunID, owner ident.Process) {
	if j.refusedBy[owner] {
		j.world.violate(run, "attempt %d of %v starts after %v said that the job has not run", run.Attempt, run.Task, owner)
	}
}

// isolated reports whether an entry instance is cut off from everything.
func (w *world) isolated(e *entryProcess) bool {
	return w.cut[[2]string{"caller", e.id.Instance}] > 0
}

// sidecarOf returns the newest process of a sidecar if id is its predecessor, which has
// ended.
func (w *world) sidecarOf(id ident.Process) *sidecarProcess {
	for _, s := range w.sidecars {
		if s.id.Instance == id.Instance && s.id == id {
			return s
		}
	}
	return &sidecarProcess{process: process{world: w, id: id, dead: true}}
}

// newWorld returns two entry instances and two sidecars with workers.
func newWorld(seed int64, g guards) *world {
	w := &world{guards: g, rnd: rand.New(rand.NewSource(seed)), jobs: map[string]*callerJob{}, cut: map[[2]string]int{}}
	for i := range 2 {
		w.entries = append(w.entries, w.newEntry(fmt.Sprint("entry-", i), 1))
	}
	for i := range 2 {
		k := &worker{world: w, index: i, running: map[work.RunID]*runningTask{}, highest: map[work.TaskID]int{}, incarnation: 1}
		w.workers = append(w.workers, k)
		w.sidecars = append(w.sidecars, w.newSidecar(k, 1))
	}
	return w
}

// isolate cuts an entry instance off from everything for a time.
func (w *world) isolate(e *entryProcess, d time.Duration) {
	others := []string{"caller"}
	for _, s := range w.sidecars {
		others = append(others, s.id.Instance)
	}
	name := e.id.Instance
	w.note("%v isolated for %v", e.id, d)
	for _, o := range others {
		w.setCut(name, o, true)
		w.setCut(o, name, true)
	}
	w.after(d, func() {
		for _, o := range others {
			w.setCut(name, o, false)
			w.setCut(o, name, false)
		}
	})
}

func (w *world) pause(p *process, d time.Duration) {
	if p.dead || p.paused {
		return
	}
	p.paused = true
	w.note("%v paused for %v", p.id, d)
	w.after(d, p.resume)
}

// disturb lets one random fault happen.
func (w *world) disturb() {
	e, s := w.rnd.Intn(len(w.entries)), w.rnd.Intn(len(w.sidecars))
	long := w.random(100*ms, 4*time.Second)
	kinds := 7
	if w.workerRestarts {
		kinds++
	}
	switch w.rnd.Intn(kinds) {
	case 0:
		w.pause(&w.entries[e].process, long)
	case 1:
		w.pause(&w.sidecars[s].process, long)
	case 2:
		w.isolate(w.entries[e], long)
	case 3: // one direction between an entry instance and a sidecar
		from, to := w.entries[e].id.Instance, w.sidecars[s].id.Instance
		if w.rnd.Intn(2) == 0 {
			from, to = to, from
		}
		w.note("cut from %s to %s for %v", from, to, long)
		w.setCut(from, to, true)
		w.after(long, func() { w.setCut(from, to, false) })
	case 4:
		w.restartSidecar(s)
	case 5:
		w.restartEntry(e)
	case 6: // a herd of kills
		for i := range w.sidecars {
			w.restartSidecar(i)
		}
	case 7:
		w.workers[s].restart()
	}
}

func (w *world) restartSidecar(i int) {
	old := w.sidecars[i]
	w.note("%v killed", old.id)
	old.dead = true
	w.after(w.random(50*ms, 600*ms), func() {
		if w.sidecars[i] == old {
			w.sidecars[i] = w.newSidecar(old.worker, old.id.Incarnation+1)
		}
	})
}

func (w *world) restartEntry(i int) {
	old := w.entries[i]
	w.note("%v killed", old.id)
	old.dead = true
	w.after(w.random(50*ms, 600*ms), func() {
		if w.entries[i] == old {
			w.entries[i] = w.newEntry(old.id.Instance, old.id.Incarnation+1)
		}
	})
}

// submitJob lets a caller submit a job with tasks of a run time.
func (w *world) submitJob(e *entryProcess, duration, timeout time.Duration) {
	j := &callerJob{world: w, id: fmt.Sprintf("job-%d", len(w.jobs)), duration: duration, timeout: timeout, refusedBy: map[ident.Process]bool{}, accepted: map[ident.Process]int{}}
	w.jobs[j.id] = j
	j.submit(e)
}

// play plays a world with random jobs and faults and returns it.
func play(seed int64, g guards) *world { return playWith(seed, g, func(*world) {}) }

// playWith is like play, with a change of the world before it begins.
func playWith(seed int64, g guards, change func(*world)) *world {
	const duration = 30 * time.Second
	w := newWorld(seed, g)
	change(w)
	w.runUntil(time.Second)
	for w.now < duration && len(w.violations) == 0 {
		w.submitJob(w.entries[w.rnd.Intn(len(w.entries))], w.random(40*ms, 900*ms), w.random(time.Second, 8*time.Second))
		if w.rnd.Intn(8) == 0 {
			w.disturb()
		}
		w.runUntil(w.now + w.random(20*ms, 300*ms))
	}
	return w
}

// playFault plays a world with one job and a fault that begins while the job runs.
func playFault(seed int64, g guards, runTime time.Duration, fault func(*world)) *world {
	const timeout = 20 * time.Second
	w := newWorld(seed, g)
	w.runUntil(2 * time.Second)
	w.submitJob(w.entries[0], runTime, timeout)
	w.runUntil(w.now + w.random(50*ms, runTime/2))
	fault(w)
	w.runUntil(w.now + timeout)
	return w
}

// faults are situations in which one rule alone prevents that a task runs twice at a
// time: the run time of the job's tasks, and the fault.
var faults = map[string]struct {
	takeOut func(*guards)
	runTime time.Duration
	fault   func(*world)
}{
	// Either of these two ends the runs of a silent owner in time.
	"the timeout of owners and the limit of leases": {func(g *guards) { g.ownerTimeout, g.leaseLimit = false, false }, 3 * time.Second, func(w *world) {
		w.pause(&w.entries[0].process, 4*time.Second)
	}},
	"abandoning jobs after a pause": {func(g *guards) { g.pause = false }, 600 * ms, func(w *world) {
		w.pause(&w.entries[0].process, resubmitDelay+w.random(50*ms, 400*ms))
	}},
	"abandoning jobs after a cut": {func(g *guards) { g.pause = false }, 600 * ms, func(w *world) {
		w.isolate(w.entries[0], resubmitDelay+w.random(50*ms, 400*ms))
	}},
	"the limit of leases": {func(g *guards) { g.leaseLimit = false }, 3 * time.Second, func(w *world) {
		w.isolate(w.entries[0], 5*time.Second)
		w.after(w.random(450*ms, 650*ms), func() { w.pause(&w.sidecars[0].process, 3*time.Second) })
	}},
	"the limit of leases of dropped owners": {func(g *guards) { g.droppedOwners = false }, 3 * time.Second, func(w *world) {
		w.lateStops = true
		w.pause(&w.entries[0].process, 4*time.Second)
	}},
	"the stop of a predecessor's runs": {func(g *guards) { g.leftovers = false }, 900 * ms, func(w *world) { w.restartSidecar(0) }},
}

// TestModel guards against a task with two runs at a time, and against a run of a job
// whose caller was told that it has not run, when entry instances and sidecars are
// paused, cut off, killed one by one or in herds, and callers submit their jobs again.
func TestModel(t *testing.T) {
	const worlds = 60
	completed := 0
	for seed := range int64(worlds) {
		w := play(seed, allGuards)
		completed += w.completed
		for _, v := range w.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	if completed < worlds*60 {
		t.Errorf("%d jobs completed in %d worlds, so the model tests little", completed, worlds)
	}
}

// TestModelFaults guards against the same in the situations that need a certain rule, and
// against a model that can't fail: without the rule it finds two runs at a time.
func TestModelFaults(t *testing.T) {
	const worlds = 40
	for name, f := range faults {
		without := allGuards
		f.takeOut(&without)
		found := 0
		for seed := range int64(worlds) {
			for _, v := range playFault(seed, allGuards, f.runTime, f.fault).violations {
				t.Errorf("%s, seed %d: %s", name, seed, v)
			}
			found += len(playFault(seed, without, f.runTime, f.fault).violations)
		}
		if found == 0 {
			t.Errorf("without %s the model finds no fault in %d worlds", name, worlds)
		}
		t.Logf("without %s: a fault in %d of %d worlds", name, found, worlds)
	}
	without := allGuards
	without.batchAge = false
	for seed := range int64(200) {
		if len(play(seed, without).violations) > 0 {
			return
		}
	}
	t.Error("without the age of batches the model finds no fault in 200 worlds")
}
