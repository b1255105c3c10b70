package sidecar

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// loop is the core goroutine.
func (s *Sidecar) loop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	s.seed()
	for {
		select {
		case <-s.stop:
			return
		case f := <-s.events:
			f()
			s.more()
		case <-ticker.C:
			s.tick(s.deps.Clock())
		}
		s.flush(s.deps.Clock())
	}
}

// more handles the events that wait already, up to a batch.
func (s *Sidecar) more() {
	for range eventBatch {
		select {
		case f := <-s.events:
			f()
		default:
			return
		}
	}
}

func (s *Sidecar) tick(now time.Duration) {
	s.checkLease(now)
	s.m.Tick(now)
	s.tickLinks(now)
	s.dropResults(now)
}

// flush carries out the actions of the state machine and sends what waits.
func (s *Sidecar) flush(now time.Duration) {
	for _, a := range s.m.Actions() {
		switch a := a.(type) {
		case slots.SendGrants:
			if l := s.linkOf(a.Entry); l != nil && s.m.UnsentGrants(a.Entry) > 0 {
				l.grants = true
			}
		case slots.Recall:
			s.recall(a)
		}
	}
	for _, l := range s.links {
		s.send(now, l)
	}
	s.checkDrained()
}

func (s *Sidecar) checkDrained() {
	if s.drainedClosed || !s.closing || s.m.Running() > 0 {
		return
	}
	for _, b := range s.outboxes {
		if b.size() > 0 {
			return
		}
	}
	s.drainedClosed = true
	close(s.drained)
}

// leaving reports whether no new work is accepted.
func (s *Sidecar) leaving() bool { return s.m.Slots() == 0 }

func (s *Sidecar) dispatch(req *wire.DispatchRequest, reply *wire.DispatchReply) {
	now := s.deps.Clock()
	if len(req.Starts) > 0 {
		reply.Codes = make([]wire.StartCode, len(req.Starts))
	}
	for i, start := range req.Starts {
		reply.Codes[i] = s.start(now, req, start)
	}
	if req.Sidecar != s.self.Process {
		reply.WrongIncarnation = true
		return
	}
	s.m.ReturnCredits(now, req.Entry, req.Returned)
	s.demand(now, req.Entry, req.Demand)
	reply.Grants = s.m.TakeGrants(now, req.Entry)
}

func (s *Sidecar) start(now time.Duration, req *wire.DispatchRequest, start wire.Start) wire.StartCode {
	code := wire.RefusedCredit
	if req.Sidecar == s.self.Process {
		code = s.m.Start(now, req.Entry, start)
	}
	if code != wire.Accepted {
		s.stats.Refused.Add(1)
		return code
	}
	s.stats.Starts.Add(1)
	client := s.backend.client
	s.calls.Add(1)
	go func() {
		defer s.calls.Done()
		result, refused := client.run(start, s.cfg.MaxRun)
		s.measure(start.Class, &result)
		s.post(func() { s.finish(client, result, refused) })
	}()
	return code
}

// measure records the end of a task in the metrics.
func (s *Sidecar) measure(class wire.Class, r *wire.TaskResult) {
	if s.deps.Metrics == nil {
		return
	}
	m := s.deps.Metrics.Class(class.Team, class.Kind)
	m.Tasks.Add(string(r.State), 1)
	if r.State == jobapi.TaskCompleted || r.State == jobapi.TaskFailed {
		m.Run.Record(time.Duration(r.RunMs) * time.Millisecond)
	}
}

func (s *Sidecar) finish(client *backendClient, result wire.TaskResult, refused bool) {
	now := s.deps.Clock()
	if refused && client == s.backend.client {
		s.backendDown(now)
	}
	owner, known := s.m.Finish(now, result)
	if !known {
		return
	}
	s.stats.Results.Add(1)
	if result.State == jobapi.TaskMayHaveRun {
		s.deps.Log("backend-broken", "task %d of %s: %s", result.Task.Index, result.Task.Submission, result.Error)
	}
	b := s.outboxes[owner]
	if b == nil {
		b = &outbox{owner: owner, since: now}
		s.outboxes[owner] = b
	}
	if b.size() == 0 {
		b.since = now
	}
	b.queue = append(b.queue, result)
}
