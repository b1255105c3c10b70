package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// WorkerCrashed tells that a worker process has exited without having said that it would. A
// start call that was in flight then may prove later to have reached that process; another
// WorkerCrashed with the same process names its run.
type WorkerCrashed struct {
	Worker Worker
	// Runs were at work there, and Uncertain may have been.
	Runs, Uncertain []work.RunID
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
	if c.Worker.Leaving || process == (processID{}) || len(c.Runs)+len(c.Uncertain) == 0 && m.crashed == process {
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

// minBrokenWait is the least time for which a status request has waited at the worker when its
// connection broke, for the worker to have listed all ends before the crash: the request has to
// reach it, and a reply to return.
const minBrokenWait = time.Millisecond

// StatusBroken records that a status request has failed for the first time since the last
// status, and for how long it had waited for the end of a run; zero if it had not reached the
// worker or was not answered in time.
func (m *Machine) StatusBroken(waited time.Duration) { m.brokenWait = waited }

// listsAllEnds reports whether the worker has listed all runs that had ended before it crashed.
func (m *Machine) listsAllEnds() bool { return m.brokenWait >= minBrokenWait }

// addCrashed adds an active run that ends with its worker process to a crash.
func (m *Machine) addCrashed(c *WorkerCrashed, r *run) {
	if m.listsAllEnds() && (r.confirmedAt > 0 || r.listed) {
		r.setCrashed(c.Worker, work.Crashed)
		c.Runs = append(c.Runs, r.Run)
		return
	}
	r.setCrashed(c.Worker, work.UncertainCrash)
	c.Uncertain = append(c.Uncertain, r.Run)
}

// crashOfExited marks a run that ends because an earlier worker process has exited, and returns
// the crash that names it.
func (r *run) crashOfExited() WorkerCrashed {
	if r.crashCertain {
		r.setCrashed(r.exited, work.Crashed)
		return WorkerCrashed{Worker: r.exited, Runs: []work.RunID{r.Run}}
	}
	r.setCrashed(r.exited, work.UncertainCrash)
	return WorkerCrashed{Worker: r.exited, Uncertain: []work.RunID{r.Run}}
}

// newCrash returns the crash of the worker process with the runs, apart from the active ones,
// that it may have executed: those that an earlier sidecar process has started, and those whose
// leases have expired since it was last heard.
func (m *Machine) newCrash() WorkerCrashed {
	c := WorkerCrashed{Worker: m.worker, Uncertain: m.lapsedRuns}
	m.lapsedRuns = nil
	for id := range m.unknownRuns {
		if m.listsAllEnds() {
			c.Runs = append(c.Runs, id)
		} else {
			c.Uncertain = append(c.Uncertain, id)
		}
	}
	return c
}
