package occupancy

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// StopRun stops a run on the worker. The runtime calls StopConfirmed if the worker
// confirms the stop call. Without a confirmation, the Machine repeats the action.
type StopRun struct{ Run work.RunID }

// Stop stops a run that its owner no longer needs. It reports whether a run of that owner
// is queued or active; the owner gets a report of the end in that case. Another owner may
// have a run with the same ID, because each owner counts the attempts of a task.
func (m *Machine) Stop(now time.Duration, owner ident.Process, id work.RunID) (known bool) {
	r := m.runs[id]
	if r == nil || r.owner != owner {
		return false
	}
	m.stop(now, r, "stopped by its owner")
	return true
}

// stop ends a queued run, and orders the stop of an active one. Its owner no longer needs it or
// is lost.
func (m *Machine) stop(now time.Duration, r *run, reason string) {
	if r.abandonedAt == 0 {
		r.abandonedAt = now
	}
	if r.phase == queued {
		m.endRun(now, r, work.NotRun, reason)
		return
	}
	m.requestStop(now, r, work.Lost, reason)
	m.load.recordStopped(r, now)
}

// DropOwner stops all runs of an owner that has ended or is out of contact, and
// returns these runs. Their ends and the rejections of its other runs are not reported.
func (m *Machine) DropOwner(now time.Duration, owner ident.Process) (dropped []work.RunID) {
	for _, r := range m.runsOf(owner) {
		dropped = append(dropped, r.Run)
		r.ownerDropped = true
		m.stop(now, r, "the owner is lost")
	}
	for _, r := range m.runs {
		for i := range r.rejections {
			rejected := &r.rejections[i]
			rejected.ownerDropped = rejected.ownerDropped || rejected.Owner == owner
		}
	}
	m.startOrReturnQueued(now)
	return dropped
}

// runsOf returns the runs of an owner that DropOwner has not dropped, in the order
// of submission.
func (m *Machine) runsOf(owner ident.Process) []*run {
	var list []*run
	for _, r := range m.runs {
		if r.owner == owner && !r.ownerDropped {
			list = append(list, r)
		}
	}
	sortByArrival(list)
	return list
}

// requestStop orders the stop of an active run, unless a stop has been ordered
// before.
func (m *Machine) requestStop(now time.Duration, r *run, outcome work.Outcome, reason string) {
	if r.phase == stopping {
		return
	}
	r.phase, r.stopOutcome, r.stopReason, r.stopOrderedAt = stopping, outcome, reason, now
	m.sendStop(now, r)
}

func (m *Machine) sendStop(now time.Duration, r *run) {
	r.nextStop = now + m.cfg.StopRetryInterval
	m.actions = append(m.actions, StopRun{Run: r.Run})
}

// StopConfirmed records that the worker has confirmed a stop call. The run has ended
// if a status that is requested later does not list it.
func (m *Machine) StopConfirmed(now time.Duration, id work.RunID) {
	if r := m.runs[id]; r != nil && !r.stopConfirmed {
		r.stopConfirmed, r.stopConfirmedAt = true, now
	}
}

// StopRefused records that the worker has refused a stop call at once and without effect. The
// next one follows soon.
func (m *Machine) StopRefused(now time.Duration, id work.RunID) {
	delay := max(minRefusedStopRetry, time.Duration(m.unconfirmedStops())*stopRetryPerRun)
	delay = min(delay, m.cfg.StopRetryInterval)
	if r := m.runs[id]; r != nil && r.phase == stopping && !r.stopConfirmed {
		r.nextStop = min(r.nextStop, now+delay)
	}
	if u, known := m.unknownRuns[id]; known {
		u.nextStop = min(u.nextStop, now+delay)
		m.unknownRuns[id] = u
	}
}

// unconfirmedStops returns the number of runs for which the worker has confirmed no stop call.
func (m *Machine) unconfirmedStops() int {
	n := len(m.unknownRuns)
	for _, r := range m.runs {
		if r.phase == stopping && !r.stopConfirmed {
			n++
		}
	}
	return n
}

// endRun removes a run, frees its capacity and reports the end to the owner. A run that a
// status has listed is not reported as not run.
func (m *Machine) endRun(now time.Duration, r *run, outcome work.Outcome, reason string) {
	if r.listed && outcome == work.NotRun {
		outcome = work.Lost
	}
	delete(m.runs, r.Run)
	m.removeFromOwner(r.owner)
	m.removeFromTask(r)
	if r.phase == queued {
		m.queue.remove(r)
	} else {
		m.used = m.used.Sub(r.Need)
	}
	if r.phase == stopping {
		m.actions = append(m.actions, StopSettled{Run: r.Run, Owner: r.owner, Reason: r.stopReason, Outcome: outcome,
			Ran: r.stopOrderedAt - r.startedAt, Settling: now - r.stopOrderedAt, Confirmed: r.stopConfirmed})
	}
	if r.superseded {
		outcome, reason = supersededOutcome(r.JobAgeMs, outcome), reasonSuperseded
	}
	if r.restarted && !r.listed && outcome == work.Lost {
		m.recordCrash(r.crashOfExited())
	}
	if !r.ownerDropped {
		e := wire.RunEnd{Run: r.Run, Outcome: outcome, Reason: reason, Crash: r.crash, CrashedIncarnation: r.crashedIncarnation}
		if r.startedAt > 0 {
			e.RunMs = (now - r.startedAt).Milliseconds()
		}
		m.actions = append(m.actions, ReportEnd{Owner: r.owner, End: e})
	}
	for _, rejected := range r.rejections {
		m.rejectSecondOwner(rejected)
	}
}

// removeFromOwner counts the end of a run or the report of a rejection.
func (m *Machine) removeFromOwner(owner ident.Process) {
	if m.runsOfOwner[owner]--; m.runsOfOwner[owner] == 0 {
		delete(m.runsOfOwner, owner)
	}
}

func (m *Machine) removeFromTask(r *run) {
	remaining := slices.DeleteFunc(m.byTask[r.Run.Task], func(o *run) bool { return o == r })
	if len(remaining) == 0 {
		delete(m.byTask, r.Run.Task)
		return
	}
	m.byTask[r.Run.Task] = remaining
}

// Tick ends queued runs that have waited too long, repeats the stop calls that are
// due, stops runs that make no progress, and starts queued runs. It returns the time
// at which the next call of Tick is due; zero if no call is needed.
func (m *Machine) Tick(now time.Duration) (next time.Duration) {
	wakeAt := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, r := range m.allRuns() {
		switch r.phase {
		case queued:
			if now > r.latestStart {
				m.endRun(now, r, work.NotRun, "no room in time")
				continue
			}
			wakeAt(r.latestStart + time.Millisecond)
		case running:
			if m.stalled(now, r) {
				m.health.recordStall(now)
				m.requestStop(now, r, work.Stalled, "no progress")
				wakeAt(r.nextStop)
				continue
			}
			wakeAt(r.progressedAt + m.stallTimeout(r))
		case stopping:
			if r.stopConfirmed {
				wakeAt(now + m.cfg.StopRetryInterval)
				continue
			}
			if now >= r.nextStop {
				m.sendStop(now, r)
			}
			wakeAt(r.nextStop)
		}
	}
	for id, u := range m.unknownRuns {
		if now >= u.nextStop {
			u.nextStop = now + m.cfg.StopRetryInterval
			m.unknownRuns[id] = u
			m.actions = append(m.actions, StopRun{Run: id})
		}
		wakeAt(u.nextStop)
	}
	m.startOrReturnQueued(now)
	if at := m.ramp.NextStep(now); at > 0 && m.queue.Len() > 0 {
		wakeAt(at)
	}
	return next
}

// stalled reports whether a run has made no progress for its stall timeout. A run also
// counts as stalled if its progress is unknown because no status arrives.
func (m *Machine) stalled(now time.Duration, r *run) bool {
	return now-r.progressedAt >= m.stallTimeout(r)
}

const (
	// firstStepShare is the part of the estimated run time in which a run has to make its first
	// step of a percent, as a divisor. Estimates are off, and workers may be slow.
	firstStepShare = 10
	// maxStepFactor is the factor by which a step may take longer than the steps before.
	maxStepFactor = 8
)

// stallTimeout returns the time without progress after which a run is stopped. Workers report
// whole percents, so the steps of a long task are longer than StallTimeout.
func (m *Machine) stallTimeout(r *run) time.Duration {
	step := time.Duration(r.EstimateMs) * time.Millisecond / firstStepShare
	if r.percent > 0 {
		step = maxStepFactor * (r.progressedAt - r.startedAt) / time.Duration(r.percent)
	}
	return max(m.cfg.StallTimeout, step)
}
