package occupancy

import "github.com/cardamomturn/cardamomturn/internal/work"

// WorkerCrashed tells that a worker process has exited without having said that it would. A
// start call that was in flight then may prove later to have reached that process; another
// WorkerCrashed with the same process names its run.
type WorkerCrashed struct {
	Worker Worker
	// Runs were at work there, and UnknownStarts may have been.
	Runs, UnknownStarts []work.RunID
}

func (WorkerCrashed) action() {}

// processID identifies a worker process.
type processID struct {
	worker      string
	incarnation int64
}

func (w Worker) process() processID { return processID{w.ID, w.Incarnation} }

// recordCrash orders a WorkerCrashed, unless the exit was announced, or is known and no
// further run is concerned.
func (m *Machine) recordCrash(c WorkerCrashed) {
	process := c.Worker.process()
	if c.Worker.Leaving || process == (processID{}) || len(c.Runs)+len(c.UnknownStarts) == 0 && m.crashed == process {
		return
	}
	m.crashed = process
	m.actions = append(m.actions, c)
}

// setCrashed marks a run that ends because its worker process has exited.
func (r *run) setCrashed(exited Worker, crash work.Crash) {
	if !exited.Leaving {
		r.crash, r.crashedIncarnation = crash, exited.Incarnation
	}
}

// hasStarted reports whether the worker has confirmed the start of a run.
func (r *run) hasStarted() bool { return r.confirmedAt > 0 || r.listed }

// addCrashed adds an active run that ends with its worker process to a crash.
func (c *WorkerCrashed) addCrashed(r *run) {
	if r.hasStarted() {
		r.setCrashed(c.Worker, work.Crashed)
		c.Runs = append(c.Runs, r.Run)
		return
	}
	r.setCrashed(c.Worker, work.UnknownStart)
	c.UnknownStarts = append(c.UnknownStarts, r.Run)
}

// takeUntrackedRuns returns the runs, apart from the active ones, that were at work when the
// worker process was last heard: those that an earlier sidecar process has started, and
// those whose leases have expired since the worker was last heard.
func (m *Machine) takeUntrackedRuns() []work.RunID {
	runs := m.lapsedRuns
	for id := range m.unknownRuns {
		runs = append(runs, id)
	}
	m.lapsedRuns = nil
	return runs
}
