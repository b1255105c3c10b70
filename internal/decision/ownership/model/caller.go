package model

import (
	"fmt"
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
	tasks    int
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
		Steps: []work.Step{{Count: j.tasks, Need: work.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: j.duration}}}
}

// submit submits the job at an entry instance, and again elsewhere if that one is silent.
func (j *callerJob) submit(e *entryProcess) {
	j.entry = e
	j.submission++
	submission := j.submission
	w := j.world
	w.note("%s submitted at %v", j.id, e.id)
	w.send(msgSubmit, "caller", e.id.Instance, &e.process, func() {
		left := j.submission != submission || j.final
		if left && w.guards.callerCheck {
			return // the connection has been closed before the request is read
		}
		delete(j.refusedBy, e.id)
		answer, ok := e.m.Submit(w.now, j.spec())
		if ok {
			j.accepted[e.id] = submission
		}
		e.step()
		if left && ok {
			w.note("%s read by %v after its caller has left", j.id, e.id)
			e.after(w.random(0, 2*ms), func() { j.leave(e, submission) })
		}
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
	w.send(msgLeave, "caller", e.id.Instance, &e.process, func() { j.leave(e, submission) })
	j.submit(w.otherEntry(e))
}

// otherEntry returns the present process of the other entry instance.
func (w *world) otherEntry(e *entryProcess) *entryProcess {
	if w.entries[0].id.Instance != e.id.Instance {
		return w.entries[0]
	}
	return w.entries[1]
}

// breakOff closes the connection of the first job's caller, which submits the job at the
// other entry instance after resubmitDelay. It reports whether the caller had no answer.
func (w *world) breakOff() bool {
	j := w.jobs["job-0"]
	if j == nil || j.final {
		return false
	}
	j.breakOff()
	return true
}

func (j *callerJob) breakOff() {
	w := j.world
	e, submission := j.entry, j.submission
	j.submission++ // no answer reaches the caller any more
	broken := j.submission
	w.send(msgLeave, "caller", e.id.Instance, &e.process, func() { j.leave(e, submission) })
	w.after(resubmitDelay, func() {
		if !j.final && j.submission == broken {
			j.submit(w.otherEntry(e))
		}
	})
}

// breakOffAny lets the caller of a random job without an answer leave, and submit the job at the
// other entry instance later.
func (w *world) breakOffAny() {
	var open []*callerJob
	for i := range len(w.jobs) {
		if j := w.jobs[fmt.Sprintf("job-%d", i)]; !j.final {
			open = append(open, j)
		}
	}
	if len(open) > 0 {
		open[w.rnd.Intn(len(open))].breakOff()
	}
}

// breakConnection lets the connection of the newest submission break unnoticed by its entry
// instance, so that the caller submits the job again while that one goes on with it.
func (j *callerJob) breakConnection() {
	w, submission := j.world, j.submission
	other := w.otherEntry(j.entry)
	w.note("%s loses its connection to %v", j.id, j.entry.id)
	w.after(resubmitDelay, func() {
		if !j.final && j.submission == submission {
			j.submit(other)
		}
	})
}

// leave tells an entry instance that the connection of a submission is closed.
func (j *callerJob) leave(e *entryProcess, submission int) {
	if j.accepted[e.id] != submission {
		return
	}
	j.world.note("%s caller leaves %v", j.id, e.id)
	e.m.CallerLeft(j.world.now, j.id)
	e.step()
}

// answered handles an answer of an entry instance to a submission.
func (j *callerJob) answered(e *entryProcess, submission int, a work.Answer) {
	w := j.world
	w.note("%s answered by %v: %v, %s", j.id, e.id, a.State, a.Reason)
	if a.State == work.Refused {
		j.refusedBy[e.id] = true
	}
	w.send(msgAnswer, e.id.Instance, "caller", &process{world: w}, func() {
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

// submitJob lets a caller submit a job with two tasks of a run time.
func (w *world) submitJob(e *entryProcess, duration, timeout time.Duration) *callerJob {
	return w.submitTasks(e, 2, duration, timeout)
}

// submitTasks lets a caller submit a job with some tasks of a run time.
func (w *world) submitTasks(e *entryProcess, tasks int, duration, timeout time.Duration) *callerJob {
	j := &callerJob{world: w, id: fmt.Sprintf("job-%d", len(w.jobs)), duration: duration, tasks: tasks, timeout: timeout, refusedBy: map[ident.Process]bool{}, accepted: map[ident.Process]int{}}
	w.jobs[j.id] = j
	j.submit(e)
	return j
}
