package sidecar

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// runCore runs the events and the ticks of the core goroutine until the sidecar
// stops.
func (s *Sidecar) runCore() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.openConfiguredLinks()
	for {
		select {
		case <-s.stop:
			return
		case f := <-s.events:
			f()
			s.runQueuedEvents()
		case <-ticker.C:
			s.tick(s.deps.Clock())
		}
		s.flush(s.deps.Clock())
	}
}

// runQueuedEvents runs the events that are already queued, at most maxEventBatch.
func (s *Sidecar) runQueuedEvents() {
	for range maxEventBatch {
		select {
		case f := <-s.events:
			f()
		default:
			return
		}
	}
}

func (s *Sidecar) tick(now time.Duration) {
	s.checkBackend(now)
	s.machine.Tick(now)
	s.tickLinks(now)
	s.dropUndeliverableResults(now)
}

// flush performs the queued actions of the state machine and starts the calls that
// are due on the links.
func (s *Sidecar) flush(now time.Duration) {
	for _, a := range s.machine.Actions() {
		switch a := a.(type) {
		case slots.SendGrants:
			if l := s.attachedLink(a.Entry); l != nil && s.machine.UnsentGrants(a.Entry) > 0 {
				l.grantsDue = true
			}
		case slots.Recall:
			s.sendRecall(a)
		}
	}
	for _, l := range s.links {
		s.startDueCalls(now, l)
	}
	s.checkDrained()
}

// checkDrained signals the end of a drain once no task runs and no result waits
// for its acknowledgement.
func (s *Sidecar) checkDrained() {
	if s.drainedSignaled || !s.shuttingDown || s.machine.Running() > 0 {
		return
	}
	for _, o := range s.outboxes {
		if o.size() > 0 {
			return
		}
	}
	s.drainedSignaled = true
	close(s.drained)
}

// leaving reports whether the sidecar accepts no new work, for lack of a usable
// backend server or because of a drain.
func (s *Sidecar) leaving() bool { return s.machine.Slots() == 0 }

// dispatch starts the tasks of a request. If the request is for this incarnation, it
// also applies the returned credits and the demand and replies with new grants.
func (s *Sidecar) dispatch(req *wire.DispatchRequest, reply *wire.DispatchReply) {
	now := s.deps.Clock()
	if len(req.Starts) > 0 {
		reply.Codes = make([]wire.StartCode, len(req.Starts))
	}
	for i, start := range req.Starts {
		reply.Codes[i] = s.startTask(now, req, start)
	}
	if req.Sidecar != s.self.Process {
		reply.WrongIncarnation = true
		return
	}
	s.machine.ReturnCredits(now, req.Entry, req.Returned)
	s.setDemand(now, req.Entry, req.DemandSeq, req.Demand)
	reply.Grants = s.machine.TakeGrants(now, req.Entry)
}

// startTask starts a task in a new goroutine if the state machine accepts it.
func (s *Sidecar) startTask(now time.Duration, req *wire.DispatchRequest, start wire.Start) wire.StartCode {
	code := wire.RefusedCredit
	if req.Sidecar == s.self.Process {
		code = s.machine.Start(now, req.Entry, start)
	}
	if code != wire.Accepted {
		s.stats.RefusedStarts.Add(1)
		return code
	}
	s.stats.Starts.Add(1)
	client := s.backend.client
	s.pendingCalls.Add(1)
	go func() {
		defer s.pendingCalls.Done()
		result, connectFailed := client.runTask(start, s.cfg.MaxRunTime)
		s.recordMetrics(start.Class, &result)
		s.post(func() { s.finishTask(client, result, connectFailed) })
	}()
	return code
}

// recordMetrics counts the ended task and records its run time.
func (s *Sidecar) recordMetrics(class wire.Class, r *wire.TaskResult) {
	if s.deps.Metrics == nil {
		return
	}
	m := s.deps.Metrics.Class(class.Team, class.Kind)
	m.Tasks.Add(string(r.State), 1)
	if r.State == jobapi.TaskCompleted || r.State == jobapi.TaskFailed {
		m.Run.Record(time.Duration(r.RunMs) * time.Millisecond)
	}
}

// finishTask records the end of a task and queues its result for the owner.
func (s *Sidecar) finishTask(client *backendClient, result wire.TaskResult, connectFailed bool) {
	now := s.deps.Clock()
	if connectFailed && client == s.backend.client {
		s.markBackendUnreachable(now)
	}
	owner, known := s.machine.Finish(now, result)
	if !known {
		return
	}
	s.stats.Results.Add(1)
	if result.State == jobapi.TaskMayHaveRun {
		s.deps.Log("backend-broken", "task %d of %s: %s", result.Task.Index, result.Task.Submission, result.Error)
	}
	o := s.outboxes[owner]
	if o == nil {
		o = &outbox{owner: owner, lastProgress: now}
		s.outboxes[owner] = o
	}
	if o.size() == 0 {
		o.lastProgress = now
	}
	o.queue = append(o.queue, result)
}
