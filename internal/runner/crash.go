package runner

import (
	"fmt"
	"strings"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// workerCrashed logs and counts the crash of a worker process; mu is held.
func (r *Runner) workerCrashed(a occupancy.WorkerCrashed) {
	event.LogRateLimited(event.WorkerCrashed, "worker", a.Worker.ID, "born", a.Worker.Incarnation, "runs", len(a.Runs), "tasks", taskNames(a.Runs))
	if r.metrics != nil {
		r.metrics.Scope().Counter("worker_crashes").Inc(1)
	}
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
