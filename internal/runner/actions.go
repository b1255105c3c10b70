package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// carryOut carries out one action of the machine; mu is held.
func (r *Runner) carryOut(now time.Duration, a occupancy.Action) {
	switch a := a.(type) {
	case occupancy.StartRun:
		if r.supervisor == nil {
			r.machine.StartAnswered(now, a.Run, occupancy.Rejected, "no worker")
			return
		}
		r.supervisor.startRun(a)
	case occupancy.StopRun:
		if r.supervisor != nil {
			r.supervisor.stopRun(a.Run)
		}
	case occupancy.ReportEnd:
		r.reportEnd(a)
	case occupancy.WorkerCrashed:
		r.workerCrashed(now, a)
	case occupancy.StopSettled:
		event.LogRateLimited(event.RunStopped, "job", a.Run.Task.Job, "step", a.Run.Task.Step, "task", a.Run.Task.Index, "attempt", a.Run.Attempt,
			"reason", a.Reason, "outcome", a.Outcome.String(), "ranMs", a.Ran.Milliseconds(), "settlingMs", a.Settling.Milliseconds(),
			"confirmed", a.Confirmed, "worker", r.report.ID, "owner", a.Owner.String())
	}
}

// reportEnd counts the end of a run and queues the report to its owner; mu is held.
func (r *Runner) reportEnd(a occupancy.ReportEnd) {
	a.End.Reason = a.End.Reason[:min(len(a.End.Reason), maxReasonBytes)]
	if r.metrics != nil {
		r.metrics.Scope().Tagged(map[string]string{"outcome": a.End.Outcome.String()}).Counter("runs_ended").Inc(1)
	}
	if a.End.Reason == occupancy.ReasonEvacuated && r.metrics != nil {
		r.metrics.Scope().Counter("runs_returned_evacuation").Inc(1)
	}
	// Many runs end with NoRoom during an overload, which is no fault. They are only
	// counted, here and per job in the log entry about its answer.
	if a.End.Outcome != work.Done && a.End.Outcome != work.NoRoom {
		event.LogRateLimited(event.RunEndedBadly, "job", a.End.Run.Task.Job, "task", a.End.Run.Task.Index, "attempt", a.End.Run.Attempt,
			"outcome", a.End.Outcome.String(), "reason", a.End.Reason, "crash", a.End.Crash.String(), "runMs", a.End.RunMs, "worker", r.report.ID, "owner", a.Owner.Instance)
	}
	// The end of a run of an owner that is dropped in the same step is not reported.
	if o := r.owners[a.Owner]; o != nil && o.Live() {
		o.pendingEnds = append(o.pendingEnds, a.End)
		o.startSending()
	}
}
