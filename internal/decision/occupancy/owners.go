package occupancy

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// rejection is a rejected run of a second owner of a task, which is reported when the runs
// of the first owner have ended.
type rejection struct {
	ReportEnd
	// ownerDropped is true if DropOwner has dropped the owner, to which the rejection is
	// not reported then.
	ownerDropped bool
	// jobAgeMs is that of the rejected run, and jobSubmittedAt as in run.
	jobAgeMs       int64
	jobSubmittedAt time.Duration
}

// jobSubmittedAt returns the time at which the job of a run was submitted to its owner. It
// is too late by the time that the run was on the way, which ownership.Timeout bounds. That
// is less than the time between two submissions of a job by its caller, so it orders them.
func jobSubmittedAt(now time.Duration, q *wire.RunRequest) time.Duration {
	return now - time.Duration(q.JobAgeMs)*time.Millisecond
}

// supersededOutcome is the outcome of a run whose job has been submitted again to another
// owner. Owners of earlier releases know only the given outcome for it.
func supersededOutcome(jobAgeMs int64, outcome work.Outcome) work.Outcome {
	if jobAgeMs == 0 {
		return outcome
	}
	return work.Superseded
}

const reasonSuperseded = "another owner submitted the task"

// resolveOwners decides about a run of a task of which other owners have runs, and reports
// whether there are any; the run is not queued then. Several owners have runs of a task if
// the caller has submitted the job again, so that it waits only for the answer to the latest
// submission. The owners of earlier ones give up the job.
func (m *Machine) resolveOwners(now time.Duration, owner ident.Process, q *wire.RunRequest) bool {
	submittedAt, found := jobSubmittedAt(now, q), false
	for _, r := range m.byTask[q.Run.Task] {
		if r.owner != owner {
			found = true
		}
		later := r.owner != owner && r.jobSubmittedAt > submittedAt
		for i := range r.rejections {
			later = later || r.rejections[i].Owner != owner && r.rejections[i].jobSubmittedAt > submittedAt
		}
		if later {
			m.actions = append(m.actions, ReportEnd{Owner: owner, End: wire.RunEnd{Run: q.Run, Outcome: supersededOutcome(q.JobAgeMs, work.NotRun), Reason: reasonSuperseded}})
			return true
		}
	}
	if !found {
		return false
	}
	m.supersedeOthers(now, owner, q.Run.Task)
	m.runsOfOwner[owner]++
	m.rejectSecondOwner(rejection{jobAgeMs: q.JobAgeMs, jobSubmittedAt: submittedAt, ReportEnd: ReportEnd{Owner: owner, End: wire.RunEnd{
		Run: q.Run, Outcome: work.Outdated, Reason: "another owner's run of the task is being stopped"}}})
	return true
}

// supersedeOthers stops the runs of a task that belong to other owners than the given one,
// whose submission is the latest.
func (m *Machine) supersedeOthers(now time.Duration, owner ident.Process, task work.TaskID) {
	// stop shortens the list.
	for _, r := range slices.Clone(m.byTask[task]) {
		for i := range r.rejections {
			if rejected := &r.rejections[i]; rejected.Owner != owner {
				rejected.End.Outcome = supersededOutcome(rejected.jobAgeMs, rejected.End.Outcome)
			}
		}
		if r.owner != owner {
			r.superseded = true
			m.stop(now, r, reasonSuperseded)
		}
	}
}

// rejectSecondOwner reports the rejection of a run when the last active run of its task has
// ended, because the owner starts the task elsewhere then.
func (m *Machine) rejectSecondOwner(rejected rejection) {
	if active := m.byTask[rejected.End.Run.Task]; len(active) > 0 {
		last := active[len(active)-1]
		last.rejections = append(last.rejections, rejected)
		return
	}
	m.removeFromOwner(rejected.Owner)
	if !rejected.ownerDropped {
		m.actions = append(m.actions, rejected.ReportEnd)
	}
}
