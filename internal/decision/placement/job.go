package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// lateFactor is how many times its objective a job may take and still serve
// its caller somewhat.
const lateFactor = 3

// task is one task of a job.
type task struct {
	job         *job
	step, index int
	attempt     int
	failures    int
	// tries counts the runs that found no room in time, and returns those that
	// found none at once.
	tries, returns int
	done           bool
	// worker is where the newest run is, nil if there is none.
	worker *worker
	// avoid are workers at which earlier runs did not end well.
	avoid []*worker
}

func (t *task) run() work.RunID {
	return work.RunID{Task: work.TaskID{Job: t.job.spec.ID, Step: t.step, Index: t.index}, Attempt: t.attempt}
}

func (t *task) avoids(w *worker) bool {
	for _, o := range t.avoid {
		if o == w || o.info.Worker != "" && o.info.Worker == w.info.Worker {
			return true
		}
	}
	return false
}

// job is an admitted job.
type job struct {
	spec *work.Job
	// estimates are the expected run times of the tasks of each step.
	estimates []time.Duration
	tasks     []task
	left      []int // tasks of each step that are not done
	done      int
	flying    int // runs that may be queued or at work
	touched   bool
	answered  bool
	listed    bool // in Machine.waiting
	// again is when tasks that found no room are placed again.
	again time.Duration
	at    time.Duration
	// objective and deadline are times: up to when the answer serves the caller
	// fully, and up to when the caller waits.
	objective, deadline time.Duration
	pos                 int // in Machine.deadlines
	facts               Facts
}

// answerMargin is kept between the last moment of a job and the end of its
// caller's patience, for the way of the answer.
const answerMargin = 15 * time.Millisecond

func newJob(now time.Duration, spec *work.Job, c *estimate.Calibration) *job {
	j := &job{spec: spec, at: now, left: make([]int, len(spec.Steps))}
	n := 0
	for _, s := range spec.Steps {
		j.estimates = append(j.estimates, c.Predict(s.Estimate))
		n += s.Count
	}
	j.tasks = make([]task, 0, n)
	for k, s := range spec.Steps {
		j.left[k] = s.Count
		for i := range s.Count {
			j.tasks = append(j.tasks, task{job: j, step: k, index: i})
		}
	}
	factor := max(spec.ObjectiveFactor, 1)
	j.objective = now + spec.Objective + time.Duration(factor*float64(j.chain()))
	j.deadline = now + spec.Timeout - answerMargin
	return j
}

// chain returns the longest sum of estimates along the order of the steps.
func (j *job) chain() time.Duration {
	longest := time.Duration(0)
	sums := make([]time.Duration, len(j.spec.Steps))
	for k := range j.spec.Steps {
		before := time.Duration(0)
		for _, a := range j.spec.Steps[k].DependsOn {
			before = max(before, sums[a])
		}
		sums[k] = before + j.estimates[k]
		longest = max(longest, sums[k])
	}
	return longest
}

// ready returns the tasks that may start and have no run.
func (j *job) ready() []*task {
	var list []*task
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.done && t.worker == nil && j.begun(t.step) {
			list = append(list, t)
		}
	}
	return list
}

// begun reports whether the steps before a step are done.
func (j *job) begun(step int) bool {
	for _, a := range j.spec.Steps[step].DependsOn {
		if j.left[a] > 0 {
			return false
		}
	}
	return true
}

func (j *job) inFlight() []*task {
	var list []*task
	for i := range j.tasks {
		if j.tasks[i].worker != nil {
			list = append(list, &j.tasks[i])
		}
	}
	return list
}

// untouched reports whether no task of the job has started or can still start:
// no run is anywhere and none had an effect.
func (j *job) untouched() bool { return !j.touched && j.flying == 0 }

// optimism is the part of an estimate that a task may take if the estimate is
// too long by its usual error: what might still be done in time is not given up.
const optimism = 0.6

// estimate returns the expected run time of a task of a step.
func (j *job) estimate(step int) time.Duration { return j.estimates[step] }

// least returns the run time of a task whose estimate is too long.
func (j *job) least(step int) time.Duration {
	return time.Duration(optimism * float64(j.estimates[step]))
}

// startBy returns the time up to which a run of a task may wait for room. The
// first waits as long as the job can end within its objective: what waits longer
// keeps others from ending in time, too. Later ones are for jobs of which other
// tasks have started, and wait as long as the answer serves the caller somewhat.
func (j *job) startBy(t *task) time.Duration {
	if t.tries == 0 {
		return max(j.startInTime(t.step), j.at+minQueueing)
	}
	late := j.at + lateFactor*(j.objective-j.at)
	return min(late, j.deadline) - j.least(t.step)
}

// minQueueing is the least time that a run may wait for room, so that jobs with
// no slack bear the errors of the summaries.
const minQueueing = 20 * time.Millisecond

// startInTime is the latest start of a task with which the job ends within its
// objective, if the estimate holds.
func (j *job) startInTime(step int) time.Duration {
	return min(j.objective, j.deadline) - j.estimate(step)
}

// Before implements indexedheap.Element: jobs are in the order of their deadlines.
func (j *job) Before(o *job) bool { return j.deadline < o.deadline }

// Position implements indexedheap.Element.
func (j *job) Position() *int { return &j.pos }
