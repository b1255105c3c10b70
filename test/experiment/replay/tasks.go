package replay

import (
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// runTask simulates the run of a task on the backend server for the run time in the
// trace.
func (sim *simulator) runTask(s *sidecar, start wire.Start) {
	sim.result.Starts[start.Task]++
	runTime := sim.jobs[start.Task.Submission].RunTimes[start.Task.Index]
	sidecarProcess, backendGeneration := s.peer.Process, s.backendGeneration
	sim.schedule(sim.now+runTime, func() {
		if s.machine == nil || s.peer.Process != sidecarProcess {
			return
		}
		state := jobapi.TaskCompleted
		if s.backendGeneration != backendGeneration {
			state = jobapi.TaskMayHaveRun
		}
		sim.finishTask(s, wire.TaskResult{Task: start.Task, Credit: start.Credit, State: state, RunMs: runTime.Milliseconds()})
	})
}

// finishTask reports a result to the sidecar, which sends it to the owner of the task
// together with new grants.
func (sim *simulator) finishTask(s *sidecar, r wire.TaskResult) {
	sidecarProcess := s.peer.Process
	owner, known := s.machine.Finish(sim.now, r)
	grants := s.machine.TakeGrants(sim.now, owner)
	sim.runActions()
	e := sim.liveEntry(owner)
	if !known || e == nil {
		return
	}
	sim.afterZoneDelay(e, s, func() {
		if e.machine == nil || e.peer.Process != owner {
			return
		}
		e.machine.Results(sim.now, sidecarProcess, []wire.TaskResult{r})
		e.machine.Grant(sim.now, sidecarProcess, grants)
		sim.runActions()
	})
}

// runSlotsAction carries out one action of a sidecar, or one heartbeat: it sends the
// pending grants to an entry instance, which answers with its demand and with the
// recalled credits. Without a recall it also sends the credit counts.
func (sim *simulator) runSlotsAction(s *sidecar, a SlotsAction) {
	e := sim.liveEntry(a.Entry)
	if e == nil {
		return
	}
	sidecarProcess := s.peer.Process
	grants := s.machine.TakeGrants(sim.now, a.Entry)
	held, free, elsewhere := s.machine.CreditCounts(a.Entry)
	sim.afterZoneDelay(e, s, func() {
		if e.machine == nil || e.peer.Process != a.Entry {
			return
		}
		if a.RecallCount == 0 {
			e.machine.SetLoad(sim.now, sidecarProcess, held, free, elsewhere)
		}
		e.machine.Grant(sim.now, sidecarProcess, grants)
		var returned []wire.Credit
		if a.RecallCount > 0 {
			returned = e.machine.Recall(sim.now, sidecarProcess, a.RecallCount)
		}
		demand := e.machine.Demand(sim.now)
		sim.runActions()
		sim.afterZoneDelay(e, s, func() {
			if s.machine == nil || s.peer.Process != sidecarProcess {
				return
			}
			if len(returned) > 0 {
				s.machine.ReturnCredits(sim.now, a.Entry, returned)
			}
			s.machine.SetDemand(sim.now, a.Entry, demand)
			sim.runActions()
		})
	})
}
