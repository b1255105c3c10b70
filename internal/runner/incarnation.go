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

// verdict says what to do with a report of the worker.
type verdict uint8

// Verdicts.
const (
	// reportCounts means that the report describes the worker.
	reportCounts verdict = iota
	// reportOld means that a later report of the same process is known.
	reportOld
	// reportPending means that the report may be one of the worker's next process. The sidecar
	// asks the worker, and takes the report over once an answer proves it.
	reportPending
	// reportIgnored means that the report is late, or that another writer has sent it.
	reportIgnored
)

// judge decides about a report. Any writer can send one, and a network partition can deliver that
// of an ended process late. Only the worker's address is known to belong to the worker, so the
// answers to status requests at that address prove which process runs there. A report of another
// process counts if such an answer names the process, or if the known process is lost: its runs
// have ended, so that nothing depends on it. mu is held.
func (r *Runner) judge(now time.Duration, report Report) (v verdict, reason string) {
	known := r.report
	silent := now-r.reportedAt >= maxMissedReports*r.cfg.ReportInterval
	switch {
	case report.sameProcess(known) && (report.Address != known.Address || report.Service != known.Service) && !silent:
		return reportIgnored, "a process keeps its address and service"
	case report.sameProcess(known) && report.Sequence <= known.Sequence && !silent:
		return reportOld, ""
	case report.sameProcess(known), r.supervisor == nil:
		return reportCounts, ""
	case report.Address == known.Address && r.isRunning(report.Incarnation):
		return reportCounts, ""
	case r.workerLost(now) && (known.Incarnation != report.Incarnation || report.Address != known.Address):
		return reportCounts, ""
	case slices.Contains(r.exitedIncarnations, report.Incarnation):
		return reportIgnored, "the process has exited"
	}
	return reportPending, ""
}

// workerLost reports whether the known worker process has no runs any more and none can start:
// it has said that it exits, or it does not answer and its leases have expired; mu is held.
func (r *Runner) workerLost(now time.Duration) bool {
	s := r.supervisor
	switch {
	case s.inContact:
		return false
	case r.workerLeft:
		return true
	}
	return now-max(r.reportedAt, s.lastStatusAt) > workerTimeout && now > s.longLeasesExpireAt
}

// pendingReport is the newest report of another process than the known one that no answer of
// the worker has confirmed.
type pendingReport struct {
	Report
	receivedAt time.Duration
}

// setPendingReport keeps a report until the worker's answer to a status request decides about
// it; mu is held.
func (r *Runner) setPendingReport(now time.Duration, report Report) {
	if report.sameProcess(r.pending.Report) && report.Sequence <= r.pending.Sequence {
		return
	}
	r.pending = pendingReport{report, now}
	r.supervisor.wake()
}

// mayHaveRestarted reports whether a report says that another process runs at the known worker's
// address, and no answer has decided about it yet; mu is held.
func (r *Runner) mayHaveRestarted() bool {
	return r.pending.Incarnation != 0 && r.pending.Address == r.report.Address
}

// settlePendingReport decides about the pending report after a status or the loss of the worker;
// mu is held.
func (r *Runner) settlePendingReport(now time.Duration) {
	pending := r.pending
	if pending.Incarnation == 0 {
		return
	}
	switch v, _ := r.judge(now, pending.Report); {
	case v == reportCounts:
		r.applyReport(now, pending.Report)
	case pending.Address == r.report.Address && r.statusRequestedAt > pending.receivedAt && r.statusIncarnation != pending.Incarnation:
		r.pending = pendingReport{}
		r.logIgnoredReport(pending.Report, "another process answers at the address")
	case pending.Address != r.report.Address && r.statusRequestedAt > pending.receivedAt:
		r.pending = pendingReport{}
		r.logIgnoredReport(pending.Report, "the known process runs on at its address")
	}
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
	// It may have read the leases requested so far on another clock.
	r.supervisor.leasesExpireAt = max(r.supervisor.leasesExpireAt, r.supervisor.longLeasesExpireAt)
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
