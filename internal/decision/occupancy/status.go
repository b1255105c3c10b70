package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Progress is the progress of one run that the worker executes.
type Progress struct {
	Run     work.RunID
	Percent int
}

// EndedRun is the end of one run as the worker reports it.
type EndedRun struct {
	Run work.RunID
	// Outcome is Done, RunFailed or Lost.
	Outcome work.Outcome
	Reason  string
}

// WorkerStatus lists the runs that the worker executes and the runs that have ended
// on it.
type WorkerStatus struct {
	// RequestedAt is when the request for the status was sent. The runtime applies
	// statuses in the order in which it requested them.
	RequestedAt time.Duration
	Running     []Progress
	Ended       []EndedRun
	// MoreEnds is true if more runs may have ended than Ended holds. The next status lists
	// them.
	MoreEnds bool
}

// ApplyStatus updates the runs from a status of the worker. If the worker lists a
// run that the Machine has not started, an earlier sidecar process has started it.
// The Machine stops such a run, and starts no other run before it has ended, because
// the capacity that it occupies is unknown.
func (m *Machine) ApplyStatus(now time.Duration, s WorkerStatus) {
	listed := make(map[work.RunID]int, len(s.Running))
	for _, p := range s.Running {
		listed[p.Run] = p.Percent
	}
	for _, e := range s.Ended {
		m.applyEnd(now, e, listed)
	}
	for _, p := range s.Running {
		m.applyRunning(now, p)
	}
	// The worker process has not exited.
	m.lapsedRuns, m.brokenWait = nil, 0
	if !s.MoreEnds { // a run that is not listed may be among the ends that follow
		m.applyAbsences(now, s.RequestedAt, listed)
		m.statusKnown = true
	}
	m.startOrReturnQueued(now)
}

func (m *Machine) applyEnd(now time.Duration, e EndedRun, listed map[work.RunID]int) {
	delete(m.unknownRuns, e.Run)
	r := m.runs[e.Run]
	if r == nil || r.phase == queued {
		return
	}
	if _, stillListed := listed[e.Run]; stillListed {
		return
	}
	r.listed = true
	outcome, reason := e.Outcome, e.Reason
	switch outcome {
	case work.Done:
		m.health.recordEnd(now, r.Run.Task.Job, true)
		m.load.recordDone(r, now)
	case work.RunFailed:
		m.health.recordEnd(now, r.Run.Task.Job, false)
	default:
		if r.phase == stopping {
			outcome, reason = r.stopOutcome, r.stopReason
		}
	}
	m.endRun(now, r, outcome, reason)
}

func (m *Machine) applyRunning(now time.Duration, p Progress) {
	r := m.runs[p.Run]
	if r == nil || r.phase == queued {
		if _, known := m.unknownRuns[p.Run]; !known {
			m.unknownRuns[p.Run] = unknownRun{seenAt: now, nextStop: now + m.cfg.StopRetryInterval}
			m.actions = append(m.actions, StopRun{Run: p.Run})
		}
		return
	}
	r.listed = true
	if r.confirmedAt == 0 {
		r.confirmedAt, r.progressedAt = now, now
	}
	if r.phase == unconfirmed || r.phase == starting {
		r.phase = running
	}
	if p.Percent > r.percent {
		r.percent, r.progressedAt = p.Percent, now
	}
}

// applyAbsences ends or stops the active runs that a status does not list. It skips
// a run if the status was requested too early to prove anything about the run.
func (m *Machine) applyAbsences(now, requestedAt time.Duration, listed map[work.RunID]int) {
	for _, r := range m.activeRuns() {
		if _, present := listed[r.Run]; present {
			continue
		}
		switch r.phase {
		case unconfirmed:
			// The start call may still take effect. The stop call prevents that.
			switch {
			case requestedAt <= r.unansweredAt:
			case r.restarted:
				m.requestStop(now, r, work.Lost, reasonRestarted)
			default:
				m.requestStop(now, r, work.NotRun, "the worker did not answer the start call")
			}
		case stopping:
			if r.stopConfirmed && !r.startPending && requestedAt > max(r.stopConfirmedAt, r.unansweredAt) {
				m.endRun(now, r, r.stopOutcome, r.stopReason)
			}
		case running:
			// This process has not received the end of the run, or the worker has no
			// record of the run.
			switch {
			case requestedAt <= r.confirmedAt:
			case r.restarted && !r.listed:
				m.endRun(now, r, work.Lost, reasonRestarted)
			default:
				m.requestStop(now, r, work.Lost, "the worker does not list the run")
			}
		}
	}
	for id := range m.unknownRuns {
		if _, present := listed[id]; !present {
			delete(m.unknownRuns, id)
		}
	}
}
