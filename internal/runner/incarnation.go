package runner

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// maxExitedIncarnations bounds the number of exited incarnations of which late reports are
// recognized although the time of day was set back since then.
const maxExitedIncarnations = 16

// isNews reports whether a report of another incarnation than the known one is not late; mu
// is held. An incarnation with an earlier start time, or one that another has followed, has to
// be running. A status can't show that for another address than the known one; refused
// connections show instead that the known incarnation has exited.
func (r *Runner) isNews(report Report) bool {
	switch {
	case r.isRunning(report.Incarnation):
		return true
	case report.Address != r.report.Address && r.supervisor != nil && r.supervisor.exited:
		return true
	}
	return report.Incarnation > r.report.Incarnation && !slices.Contains(r.exitedIncarnations, report.Incarnation)
}

// isRunning reports whether a status that was requested after the newest report came from
// an incarnation of the worker; mu is held. The start time of an incarnation is earlier than
// that of its predecessor if the time of day was set back.
func (r *Runner) isRunning(incarnation int64) bool {
	return incarnation == r.statusIncarnation && r.statusRequestedAt > r.reportedAt
}

// setStatusIncarnation records the worker incarnation that has sent a status, requested at
// requestedAt; mu is held. An incarnation that has not reported yet may have another
// capacity, so it gets no runs before its report.
func (r *Runner) setStatusIncarnation(now, requestedAt time.Duration, incarnation int64) {
	r.statusRequestedAt = requestedAt
	if incarnation == 0 {
		return
	}
	if incarnation == r.statusIncarnation {
		if r.supervisor.incarnation == 0 { // refused connections, or the supervisor is new
			r.supervisor.incarnation = incarnation
		}
		return
	}
	r.statusIncarnation = incarnation
	r.supervisor.setIncarnation(now, incarnation)
	if incarnation == r.report.Incarnation {
		return
	}
	event.LogRateLimited(event.WorkerChanged, "worker", r.report.ID, "born", incarnation, "bornBefore", r.report.Incarnation, "reported", false)
	r.supervisor.lastSeenEnd = 0
	r.machine.SetWorker(now, occupancy.Worker{Incarnation: incarnation})
}

// setIncarnation records which worker process runs, and raises the fencing token if it is
// another one than before. A call that an earlier process has left unanswered may be carried
// out seconds later, by the process that runs then; it has no effect there once that process
// has seen the raised token.
func (s *supervisor) setIncarnation(now time.Duration, incarnation int64) {
	if s.incarnation != 0 && s.incarnation != incarnation {
		s.fencingToken++
		s.tokenRaisedAt = now
	}
	s.incarnation = incarnation
}

// fenceOff raises the fencing token above one that another process of this sidecar has used. A
// worker process that has seen none would carry out the late calls of that one; the time of day,
// from which the token of this process comes, may have been set back.
func (s *supervisor) fenceOff(now time.Duration, token int64) {
	if token > s.fencingToken {
		s.fencingToken = token + 1
		s.tokenRaisedAt = now
		s.wake()
	}
}
