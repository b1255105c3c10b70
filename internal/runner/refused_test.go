package runner

import (
	"syscall"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// Guards against calls of an exited worker process that have effect at the next one: after
// refused connections of a process that runs on, its end did not raise the fencing token.
func TestEarlierCallsFencedAfterRefusals(t *testing.T) {
	r := newSilentRunner(t)
	handleReport(r, report(1, 1))
	s := r.supervisor
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 1, ClockMs: 480000})
	s.handleStatusFailure(syscall.ECONNREFUSED, 2, 2)
	_, requestedAt := s.nextStatusRequest()
	s.handleStatus(requestedAt, StatusReply{Incarnation: 1, ClockMs: 480100})
	before, _ := s.nextStatusRequest()
	s.handleStatus(clock.SinceBoot(), StatusReply{Incarnation: 2, ClockMs: 3})
	if after, _ := s.nextStatusRequest(); after.FencingToken <= before.FencingToken {
		t.Errorf("token %d, want more than that of the exited process, %d", after.FencingToken, before.FencingToken)
	}
}
