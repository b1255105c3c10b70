package replay

import (
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// run lets the backend server run a task for the time that the trace states.
func (v *driver) run(s *sidecar, start wire.Start) {
	v.res.Starts[start.Task]++
	run := v.jobs[start.Task.Submission].Runs[start.Task.Index]
	self, boot := s.peer.Process, s.boot
	v.at(v.now+run, func() {
		if s.machine == nil || s.peer.Process != self {
			return
		}
		state := jobapi.TaskCompleted
		if s.boot != boot {
			state = jobapi.TaskMayHaveRun
		}
		v.finish(s, wire.TaskResult{Task: start.Task, Credit: start.Credit, State: state, RunMs: run.Milliseconds()})
	})
}

func (v *driver) finish(s *sidecar, r wire.TaskResult) {
	self := s.peer.Process
	owner, known := s.machine.Finish(v.now, r)
	grants := s.machine.TakeGrants(v.now, owner)
	v.pump()
	e := v.entryOf(owner)
	if !known || e == nil {
		return
	}
	v.send(e, s, func() {
		if e.machine == nil || e.peer.Process != owner {
			return
		}
		e.machine.Results(v.now, self, []wire.TaskResult{r})
		e.machine.Grant(v.now, self, grants)
		v.pump()
	})
}

func (v *driver) slotsAction(s *sidecar, a SlotsAction) {
	e := v.entryOf(a.Entry)
	if e == nil {
		return
	}
	self := s.peer.Process
	grants := s.machine.TakeGrants(v.now, a.Entry)
	held, free, foreign := s.machine.CreditCounts(a.Entry)
	v.send(e, s, func() {
		if e.machine == nil || e.peer.Process != a.Entry {
			return
		}
		if a.Recall == 0 {
			e.machine.SetLoad(v.now, self, held, free, foreign)
		}
		e.machine.Grant(v.now, self, grants)
		var back []wire.Credit
		if a.Recall > 0 {
			back = e.machine.Recall(v.now, self, a.Recall)
		}
		demand := e.machine.Demand(v.now)
		v.pump()
		v.send(e, s, func() {
			if s.machine == nil || s.peer.Process != self {
				return
			}
			if len(back) > 0 {
				s.machine.ReturnCredits(v.now, a.Entry, back)
			}
			s.machine.SetDemand(v.now, a.Entry, demand)
			v.pump()
		})
	})
}
