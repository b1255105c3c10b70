package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// lateFactor times the response time objective of a job is the longest response
// time at which its answer is still of use to the caller.
const lateFactor = 3

// task is one task of a job.
type task struct {
	job         *job
	step, index int
	attempt     int
	failures    int
	// notRunEnds and noRoomEnds count the runs that ended with work.NotRun and
	// work.NoRoom.
	notRunEnds, noRoomEnds int
	done                   bool
	// worker has the newest run of the task; nil if that run has ended or there is
	// none.
	worker *worker
	// returns counts the runs since the last one that started which ended with work.NotRun or
	// work.NoRoom.
	returns int
	// avoidedWorkers are the workers of earlier runs that failed, were lost, stalled
	// or ended with work.NotRun.
	avoidedWorkers []*worker
	// silentWorkers are the workers of earlier runs that have not been heard since.
	silentWorkers []silentWorker
	// rackWait is the newest wait for room on the preferred rack; nil if there was none.
	rackWait *rackWait
	// expectedEnd is the expected end of the newest run, or of the one that is waited for.
	expectedEnd time.Duration
}

func (t *task) id() work.TaskID {
	return work.TaskID{Job: t.job.spec.ID, Step: t.step, Index: t.index}
}

func (t *task) runID() work.RunID { return work.RunID{Task: t.id(), Attempt: t.attempt} }

// avoid adds a worker to avoidedWorkers.
func (t *task) avoid(w *worker) {
	if !slices.Contains(t.avoidedWorkers, w) {
		t.avoidedWorkers = append(t.avoidedWorkers, w)
	}
}

// avoids reports whether the worker is one of avoidedWorkers, possibly with another
// incarnation of its sidecar.
func (t *task) avoids(w *worker) bool {
	for _, avoided := range t.avoidedWorkers {
		if avoided == w || avoided.info.Worker != "" && avoided.info.Worker == w.info.Worker {
			return true
		}
	}
	return false
}

// job is an admitted job.
type job struct {
	spec *work.Job
	// estimates holds the expected run time of a task, by step.
	estimates  []time.Duration
	tasks      []task
	unfinished []int // number of tasks that are not done, by step
	doneTasks  int
	openRuns   int // number of runs that may be queued or running
	// rackWaits is the number of tasks that wait for room on their racks.
	rackWaits int
	// tails holds the result of tail by step, once it was needed.
	tails      []time.Duration
	mayHaveRun bool
	answered   bool
	waiting    bool // whether the job is in Machine.waiting
	held       bool // whether the job waits for its first plan (see Machine.hold)
	// retryAt is the earliest time at which waiting tasks are placed again.
	retryAt     time.Duration
	submittedAt time.Duration
	// objectiveEnd is the latest time of an answer within the response time
	// objective, and deadline the latest time at which the answer still reaches the
	// caller.
	objectiveEnd, deadline time.Duration
	heapPosition           int // in Machine.unanswered
	stats                  JobStats
}

// answerMargin is the time between the deadline of a job and the timeout of its
// caller, for the transmission of the answer.
const answerMargin = 15 * time.Millisecond

func newJob(now time.Duration, spec *work.Job, c *estimate.Calibration) *job {
	j := &job{spec: spec, submittedAt: now, unfinished: make([]int, len(spec.Steps))}
	tasks := 0
	for _, s := range spec.Steps {
		j.estimates = append(j.estimates, c.Predict(s.Estimate))
		tasks += s.Count
	}
	j.tasks = make([]task, 0, tasks)
	for k, s := range spec.Steps {
		j.unfinished[k] = s.Count
		for i := range s.Count {
			j.tasks = append(j.tasks, task{job: j, step: k, index: i})
		}
	}
	j.objectiveEnd = now + objective(spec, j.criticalPath())
	j.deadline = now + spec.Timeout - answerMargin
	return j
}

// maxObjective bounds the response time objective of a job, so that sums with it don't overflow.
const maxObjective = 365 * 24 * time.Hour

// objective returns the response time objective of a job with an estimated run time of the
// longest chain of its steps.
func objective(spec *work.Job, path time.Duration) time.Duration {
	chain := max(spec.ObjectiveFactor, 1) * float64(path)
	return time.Duration(min(float64(spec.Objective)+chain, float64(maxObjective)))
}

// criticalPath returns the longest sum of estimates along a path of dependent
// steps.
func (j *job) criticalPath() time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.spec.Steps))
	for k := range j.spec.Steps {
		start := time.Duration(0)
		for _, dependency := range j.spec.Steps[k].DependsOn {
			start = max(start, ends[dependency])
		}
		ends[k] = start + j.estimates[k]
		longest = max(longest, ends[k])
	}
	return longest
}

// ready returns the tasks without a run whose steps may start.
func (j *job) ready() []*task {
	var list []*task
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.done && t.worker == nil && !t.waitsForRack() && j.mayStart(t.step) {
			list = append(list, t)
		}
	}
	return list
}

// mayStart reports whether all tasks of the steps on which a step depends are done.
func (j *job) mayStart(step int) bool {
	for _, dependency := range j.spec.Steps[step].DependsOn {
		if j.unfinished[dependency] > 0 {
			return false
		}
	}
	return true
}

// tasksWithRun returns the tasks of which a run may be queued or running.
func (j *job) tasksWithRun() []*task {
	var list []*task
	for i := range j.tasks {
		if j.tasks[i].worker != nil {
			list = append(list, &j.tasks[i])
		}
	}
	return list
}

// notRun reports whether no task of the job has started and none will start unless
// another run is sent: there is no open run, and none of the ended ones has started.
func (j *job) notRun() bool { return !j.mayHaveRun && j.openRuns == 0 }

// minEstimateFactor is the part of an estimate that a task takes if the estimate is
// too long by its usual error. It applies to deadlines, so that a job which may
// still end in time is not abandoned.
const minEstimateFactor = 0.6

// estimate returns the expected run time of a task of a step.
func (j *job) estimate(step int) time.Duration { return j.estimates[step] }

// minRunTime returns the run time of a task if its estimate is too long by the
// usual error.
func (j *job) minRunTime(step int) time.Duration {
	return time.Duration(minEstimateFactor * float64(j.estimates[step]))
}

// waitLimit returns the latest time at which a run of a task may start. Until a run
// of the task has ended with work.NotRun, a run may wait as long as the task can end
// within the objective of the job, because a longer wait makes other jobs late, too.
// After that, other tasks of the job have usually started, and a run may wait as long
// as the answer is still of use to the caller.
func (j *job) waitLimit(t *task) time.Duration {
	if t.notRunEnds == 0 {
		return max(j.latestStart(t.step), j.submittedAt+minWaitTime)
	}
	late := j.submittedAt + lateFactor*(j.objectiveEnd-j.submittedAt)
	return min(late, j.deadline) - j.minRunTime(t.step)
}

// minWaitTime is the time after submission for which a run may always wait for free
// capacity, so that a job without slack tolerates errors of the load summaries.
const minWaitTime = 20 * time.Millisecond

// latestStart returns the latest start of a task with which the task ends within the
// objective of the job and before its deadline if the estimate is correct. It leaves
// no time for later steps.
func (j *job) latestStart(step int) time.Duration {
	return min(j.objectiveEnd, j.deadline) - j.estimate(step)
}

// Before implements indexedheap.Element. It orders jobs by deadline.
func (j *job) Before(o *job) bool { return j.deadline < o.deadline }

// Position implements indexedheap.Element.
func (j *job) Position() *int { return &j.heapPosition }
