package occupancy

import "github.com/cardamomturn/cardamomturn/internal/work"

// WorkerCrashed tells that a worker process has exited without having said that it would. A
// start call that was in flight then may prove later to have reached that process; another
// WorkerCrashed with the same process names its run.
type WorkerCrashed struct {
	Worker Worker
	// Runs are the runs that may have been at work there.
	Runs []work.RunID
}

func (WorkerCrashed) action() {}

// processID identifies a worker process.
type processID struct {
	worker      string
	incarnation int64
}

func (w Worker) process() processID { return processID{w.ID, w.Incarnation} }

// recordCrash orders a WorkerCrashed for a worker process that has exited, unless the exit was
// announced, or is known and no further run is concerned.
func (m *Machine) recordCrash(exited Worker, runs []work.RunID) {
	if exited.Leaving || exited.process() == (processID{}) || len(runs) == 0 && m.crashed == exited.process() {
		return
	}
	m.crashed = exited.process()
	m.actions = append(m.actions, WorkerCrashed{Worker: exited, Runs: runs})
}

// setCrashed marks a run that ends because its worker process has exited.
func (r *run) setCrashed(exited Worker) {
	if !exited.Leaving {
		r.crash = work.Crashed
	}
}

// mayHaveCrashed returns the runs, apart from the active ones, that may have been at work on
// the worker process when it exited: those that an earlier sidecar process has started, and
// those whose leases have expired since the worker was last heard.
func (m *Machine) mayHaveCrashed() []work.RunID {
	runs := m.lapsedRuns
	for id := range m.unknownRuns {
		runs = append(runs, id)
	}
	m.lapsedRuns = nil
	return runs
}
