package runner

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against an old status whose end numbers acknowledge ends of the next process unseen.
func TestStatusOfExitedProcess(t *testing.T) {
	r := newSilentRunner(t)
	r.HandleReport(report(1, 9))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
	requestedAt := clock.SinceBoot()
	r.HandleReport(report(2, 1))
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	s.handleStatus(requestedAt, StatusReply{Incarnation: 1, ClockMs: 480000, NewestEnd: 57, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Done}}})
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
	if req, _ := s.nextStatusRequest(); req.LastSeenEnd != 0 {
		t.Errorf("the ends up to %d are acknowledged to a process that has listed none", req.LastSeenEnd)
	}
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 4, NewestEnd: 1, Ended: []occupancy.EndedRun{{Run: run, Outcome: work.Done}}})
	if req, _ := s.nextStatusRequest(); req.LastSeenEnd != 1 {
		t.Errorf("the ends up to %d are acknowledged, want the one that was listed", req.LastSeenEnd)
	}
}
