package model

import (
	"slices"
	"strings"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// The timeouts of a sidecar's calls to its worker.
const (
	lease             = 800 * ms
	longLease         = maxHold - 50*ms
	abandonedLease    = 800 * ms
	minUsefulLease    = 300 * ms
	leaseExpiryMargin = 70 * ms
	startStopTimeout  = 40 * ms
	statusTimeout     = 80 * ms
	statusInterval    = 30 * ms
	workerTimeout     = 500 * ms
	tokenStep         = int64(10 * time.Minute / ms)
)

// report is a worker's report about itself.
type report struct {
	id       string
	born     int64
	sequence uint64
}

// supervisor is the part of a sidecar that calls its worker.
type supervisor struct {
	worker *worker
	token  int64
	// tokenRaisedAt is the time at which the token was raised for a new life, and born that
	// life, zero if it is unknown.
	tokenRaisedAt time.Duration
	born          int64
	report        report
	// reportedAt is the time of the newest report, and statusBorn the life that has sent
	// the newest status.
	reportedAt time.Duration
	statusBorn int64

	lastSeenEnd, refusals              uint64
	clockOffset                        time.Duration
	clockKnown, inContact, unackedEnds bool
	lastStatusAt                       time.Duration
	leasesExpireAt, longLeasesExpireAt time.Duration
	// waiting is true while no status is requested, until a wake.
	waiting, wakePending bool
	connectedLife        int
	setIncarnation       int64
}

// leaseLimit returns the latest end of leases.
func (s *sidecarProcess) leaseLimit() time.Duration {
	limit := s.clock() + time.Hour
	for _, o := range s.owners {
		if g := s.world.guards; o.busy(s) && g.leaseLimit && (o.Live() || g.droppedLimit) {
			limit = min(limit, o.LastContact()+ownership.LeaseAfterContact)
		}
	}
	if at, found := s.m.OldestAbandoned(); found && s.world.guards.abandonedLimit {
		limit = min(limit, at+abandonedLease)
	}
	return limit
}

// requestLease returns the end of leases that begin now, on the worker's clock.
func (s *sidecarProcess) requestLease() time.Duration {
	now := s.clock()
	length := lease
	if !s.world.guards.shortLease {
		length = longLease
	}
	end := max(min(now+length, s.leaseLimit()), now)
	s.leasesExpireAt = max(s.leasesExpireAt, end+leaseExpiryMargin)
	s.longLeasesExpireAt = max(s.longLeasesExpireAt, now+maxHold+leaseExpiryMargin)
	return end + s.clockOffset
}

func (s *sidecarProcess) setWorkerClock(clock time.Duration) {
	s.clockOffset, s.clockKnown = clock-s.clock(), true
}

func (s *sidecarProcess) startRun(run work.RunID) {
	c := startCall{id: s.report.id, born: s.report.born, chosenFor: s.chosenFor[run], run: run, token: s.token, leaseEnd: s.requestLease(), owner: s.started[run], duration: s.world.jobs[run.Task.Job].duration}
	var reply startReply
	s.callWorker(msgStart, c.born, startStopTimeout, func() { reply = s.worker.start(c) }, func(r callResult) {
		switch r {
		case refused, busy:
			reply.result = occupancy.Rejected
		case lost:
			reply.result = occupancy.Unanswered
			if !s.world.guards.unanswered {
				reply.result = occupancy.Rejected
			}
		case answered:
			if c.token == s.token {
				s.setWorkerClock(reply.clock)
				if reply.fenced {
					s.token += tokenStep
				}
			}
		}
		s.m.StartAnswered(s.clock(), run, reply.result, "")
		s.wakePoll()
	})
}

func (s *sidecarProcess) stopRun(run work.RunID) {
	ok, token := false, s.token
	s.callWorker(msgStop, anyLife, startStopTimeout, func() { ok = s.worker.stop(token, run) }, func(r callResult) {
		switch {
		case r == answered && ok:
			s.m.StopConfirmed(s.clock(), run)
			s.wakePoll()
		case r == busy:
			s.m.StopRefused(s.clock(), run)
		}
	})
}

func (s *sidecarProcess) wakePoll() {
	if !s.waiting {
		s.wakePending = true
		return
	}
	s.waiting, s.lastStatusAt = false, s.clock()
	s.after(0, s.pollStatus)
}

// pollStatus requests the worker's status, one at a time, while runs may be active.
func (s *sidecarProcess) pollStatus() {
	s.dropSilentOwners()
	defer s.step()
	c := statusCall{token: s.token, lastSeen: s.lastSeenEnd}
	s.unackedEnds = false
	if s.inContact && s.clockKnown && s.m.NumActive() > 0 && (s.m.NeedsLease() || !s.world.guards.needsLease) {
		c.leaseEnd = s.requestLease()
	}
	requestedAt := s.clock()
	var reply statusReply
	s.callWorker(msgStatus, anyLife, statusTimeout, func() { reply = s.worker.status(c) }, func(r callResult) {
		if r == answered {
			s.refusals = 0
			s.waiting = s.handleStatus(requestedAt, reply)
			if s.waiting && s.wakePending {
				s.waiting = false
			}
			s.wakePending = false
		} else {
			s.handleStatusFailure(r)
		}
		if !s.waiting {
			s.after(statusInterval, s.pollStatus)
		}
	})
}

// handleStatus handles a status, and reports whether polling can pause.
func (s *sidecarProcess) handleStatus(requestedAt time.Duration, reply statusReply) bool {
	now := s.clock()
	if reply.fenced {
		if requestedAt >= s.tokenRaisedAt {
			s.token += tokenStep
		}
		return false
	}
	if reply.born != s.statusBorn {
		s.statusBorn = reply.born
		s.setLife(reply.born)
		if s.world.guards.knownProcess {
			s.leasesExpireAt = max(s.leasesExpireAt, s.longLeasesExpireAt)
		}
		if reply.born != s.report.born {
			s.lastSeenEnd = 0
			s.setWorker(occupancy.Worker{Incarnation: reply.born})
		}
	}
	s.setWorkerClock(reply.clock)
	s.inContact, s.lastStatusAt = true, now
	if reply.newestEnd > s.lastSeenEnd {
		s.lastSeenEnd, s.unackedEnds = reply.newestEnd, true
	}
	status := occupancy.WorkerStatus{RequestedAt: requestedAt}
	for _, run := range reply.running {
		if s.world.guards.leftovers || !s.started[run].IsZero() {
			status.Running = append(status.Running, occupancy.Progress{Run: run, Percent: int(s.world.now / ms)})
		}
	}
	for _, e := range reply.ended {
		status.Ended = append(status.Ended, occupancy.EndedRun{Run: e.run, Outcome: e.outcome})
	}
	s.m.ApplyStatus(now, status)
	return !s.unackedEnds && s.m.NumActive() == 0 && requestedAt >= s.tokenRaisedAt
}

func (s *sidecarProcess) handleStatusFailure(r callResult) {
	now := s.clock()
	if r == refused {
		s.refusals++
	} else {
		s.refusals = 0
	}
	if s.refusals >= 2 {
		s.inContact = false
		s.setLife(0)
		if !s.world.guards.refusal {
			s.m.LeasesExpired(now, occupancy.OfAnyProcess) // takes a refused connection for the end of the runs
		}
	}
	if now-s.lastStatusAt > workerTimeout {
		s.inContact = false
	}
	if g := s.world.guards; !s.inContact && (now > s.leasesExpireAt || !g.leaseExpiry) {
		s.m.LeasesExpired(now, occupancy.OfKnownProcess)
		if now > s.longLeasesExpireAt || !g.leaseExpiry || !g.knownProcess {
			s.m.LeasesExpired(now, occupancy.OfAnyProcess)
		}
	}
}

func (s *sidecarProcess) handleReport(r report) {
	s.dropSilentOwners()
	defer s.step()
	old := s.report
	sameLife := r.id == old.id && r.born == old.born
	if r.born < old.born || sameLife && r.sequence <= old.sequence {
		return
	}
	s.report, s.reportedAt = r, s.clock()
	if !sameLife {
		s.setLife(r.born)
		s.lastSeenEnd, s.inContact = 0, false
	}
	s.setWorker(occupancy.Worker{ID: r.id, Incarnation: r.born, Capacity: work.Resources{MilliCPU: 4000, MemoryMB: 1000}})
	if !sameLife {
		s.descriptions = append(s.descriptions, r.born)
		s.m.SetDescription(s.clock(), uint64(len(s.descriptions)))
		s.wakePoll()
	}
}

// setLife records which life of the worker is known to run, and raises the fencing token if it
// is another one than before.
func (s *sidecarProcess) setLife(born int64) {
	if s.born != 0 && s.born != born && s.world.guards.lifeToken {
		s.token++
		s.tokenRaisedAt = s.clock()
	}
	s.born = born
}

// fenceOff raises the fencing token above one that another process of this sidecar has used.
func (s *sidecarProcess) fenceOff(token int64) {
	if token > s.token && s.world.guards.processToken {
		s.token = token + 1
		s.tokenRaisedAt = s.clock()
		s.wakePoll()
	}
}

func (s *sidecarProcess) setWorker(next occupancy.Worker) {
	if !s.world.guards.restart && next.Incarnation != s.setIncarnation {
		s.m.LeasesExpired(s.clock(), occupancy.OfAnyProcess) // takes each run for one of the earlier process
	}
	s.setIncarnation = next.Incarnation
	s.m.SetWorker(s.clock(), next)
}

func (s *sidecarProcess) updateAvailability() {
	reporting := s.report.id != "" && s.report.born == s.statusBorn && s.clock()-s.reportedAt < 3*reportInterval
	canLease := s.leaseLimit() > s.clock()+minUsefulLease
	s.m.SetWorkerAvailable(s.clock(), reporting && canLease && s.inContact && s.clockKnown)
}

// sortedRuns returns the keys of a map of runs in a fixed order.
func sortedRuns[V any](runs map[work.RunID]V) []work.RunID {
	list := make([]work.RunID, 0, len(runs))
	for run := range runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b work.RunID) int {
		if c := strings.Compare(a.Task.Job, b.Task.Job); c != 0 {
			return c
		}
		return (a.Task.Index-b.Task.Index)*1000 + a.Attempt - b.Attempt
	})
	return list
}
