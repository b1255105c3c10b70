package runner

import (
	"fmt"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// workerCrashed logs and counts the crash of a worker process, and tells the entry instances
// at once; mu is held.
func (r *Runner) workerCrashed(now time.Duration, a occupancy.WorkerCrashed) {
	event.LogRateLimited(event.WorkerCrashed, "worker", a.Worker.ID, "born", a.Worker.Incarnation, "runs", len(a.Runs), "uncertain", len(a.Uncertain),
		"tasks", taskNames(a.Runs), "uncertainTasks", taskNames(a.Uncertain))
	if r.metrics != nil {
		r.metrics.Scope().Counter("worker_crashes").Inc(1)
	}
	if len(a.Runs)+len(a.Uncertain) == 0 {
		return
	}
	record := crashes.Record{ID: crashes.ID{Sidecar: r.self.Process.Instance, Incarnation: a.Worker.Incarnation}, At: now,
		Tasks: tasksOf(a.Runs), Uncertain: tasksOf(a.Uncertain)}
	for _, part := range record.Split() {
		r.crashes.Add(part)
	}
	for _, c := range r.entries {
		c.wake()
	}
}

func tasksOf(runs []work.RunID) []work.TaskID {
	var tasks []work.TaskID
	for _, run := range runs {
		tasks = append(tasks, run.Task)
	}
	return tasks
}

// maxLoggedTasks bounds the number of tasks that one log line names.
const maxLoggedTasks = 64

// taskNames returns the tasks of runs for a log line, as job, step, index and attempt.
func taskNames(runs []work.RunID) string {
	var names []string
	for _, run := range runs[:min(len(runs), maxLoggedTasks)] {
		names = append(names, fmt.Sprintf("%s/%d/%d#%d", run.Task.Job, run.Task.Step, run.Task.Index, run.Attempt))
	}
	return strings.Join(names, " ")
}
