package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// pollStatus requests the status of the worker while runs may be active on it. It
// sends one request at a time, so that the replies arrive in order.
func (s *supervisor) pollStatus() {
	failures, refusals := 0, 0
	hasty := 0 // statuses in a row that ask for no wait and after which polling goes on
	for s.ctx.Err() == nil {
		req, requestedAt := s.nextStatusRequest()
		sentAt := time.Now()
		ctx, cancel := context.WithTimeout(s.ctx, req.Wait+statusTimeout)
		reply, err := s.client.PollStatus(ctx, req)
		cancel()
		if s.ctx.Err() != nil {
			return
		}
		if err == nil {
			failures, refusals = 0, 0
			pause := s.handleStatus(requestedAt, reply)
			if hasty++; pause || req.Wait > 0 {
				hasty = 0
			}
			switch {
			case pause:
				s.waitForRuns()
			case reply.Fenced, req.Wait > 0 && len(reply.Ended) == 0, hasty > maxHastyStatuses:
				clock.Sleep(s.ctx, statusRetryDelay-time.Since(sentAt))
			}
			continue
		}
		failures++
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
		} else {
			refusals = 0
		}
		if failures == 1 {
			s.handleBrokenStatus(brokenWait(req, err, time.Since(sentAt)))
		}
		s.handleStatusFailure(err, failures, refusals)
		switch {
		case errors.Is(err, ErrRefused):
			clock.Sleep(s.ctx, refusedStatusDelay)
		case !errors.Is(err, context.DeadlineExceeded):
			clock.Sleep(s.ctx, statusRetryDelay)
		}
	}
}

// brokenWait returns the time for which a failed status request had waited at the worker when
// its connection broke, zero if it was not waiting there.
func brokenWait(req StatusRequest, err error, elapsed time.Duration) time.Duration {
	if req.Wait == 0 || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ECONNREFUSED) {
		return 0
	}
	return elapsed
}

// handleBrokenStatus handles the first failed status request since the last status.
func (s *supervisor) handleBrokenStatus(waited time.Duration) {
	r := s.runner
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if r.supervisor == s {
		r.machine.StatusBroken(waited)
	}
}

// nextStatusRequest returns the next status request and the current time.
func (s *supervisor) nextStatusRequest() (StatusRequest, time.Duration) {
	r := s.runner
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	req := StatusRequest{FencingToken: s.fencingToken, LastSeenEnd: s.lastSeenEnd}
	s.unackedEnds = false
	// A process that has started meanwhile reads a lease end on another clock.
	if s.inContact && s.clockOffsetKnown && !r.mayHaveRestarted() && r.machine.NumActive() > 0 {
		req.Wait = statusWait
		if r.machine.NeedsLease() {
			req.LeaseEndMs = s.recordLeaseRequest(now)
		}
	}
	return req, now
}

// handleStatus handles a status. It reports whether polling can pause: no run is
// active, all ended runs are acknowledged, and the worker has seen the fencing token.
func (s *supervisor) handleStatus(requestedAt time.Duration, reply StatusReply) bool {
	r := s.runner
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if r.supervisor != s {
		return false
	}
	sentToken := requestedAt >= s.tokenRaisedAt // the request carried the present token
	if reply.Fenced {
		if sentToken {
			s.fencingToken += fencingTokenStep << min(s.fencedStatuses, maxFencingDoublings)
			s.fencedStatuses++
		}
		return false
	}
	s.fencedStatuses = 0
	r.setStatusIncarnation(now, requestedAt, reply.Incarnation)
	if ofExited := reply.Incarnation != 0 && reply.Incarnation < r.report.Incarnation; !ofExited {
		s.setClockOffset(now, reply.ClockMs)
		s.inContact = true
		s.lastStatusAt = now
		// Each worker process numbers its ends from 1.
		if reply.NewestEnd > s.lastSeenEnd {
			s.lastSeenEnd = reply.NewestEnd
			s.unackedEnds = true
		}
	}
	r.settlePendingReport(now)
	r.machine.ApplyStatus(now, occupancy.WorkerStatus{RequestedAt: requestedAt, Running: reply.Running, Ended: reply.Ended, MoreEnds: reply.MoreEnds})
	r.updateAvailability(now)
	return !s.unackedEnds && r.machine.NumActive() == 0 && requestedAt >= s.tokenRaisedAt
}

// waitForRuns waits until runs may be active again.
func (s *supervisor) waitForRuns() {
	select {
	case <-s.wakeCh:
	case <-s.ctx.Done():
	}
	now := s.runner.lockAndDropSilentOwners()
	s.lastStatusAt = now
	s.runner.runMachineAndUnlock(now)
}

// handleStatusFailure handles a status request that has failed. failures is the number of failed
// requests in a row, and refusals the number of refused connections in a row.
//
// A refused connection does not prove that the worker process has exited: a process may close its
// port, or something on the way may refuse, while its runs go on. The runs count as ended when
// another process answers, or when their leases have expired. Refusals only show that no calls get
// through, so that the leases are let lapse and the worker gets no runs.
func (s *supervisor) handleStatusFailure(err error, failures, refusals int) {
	const minRefusals = 2 // in a row, after which the worker counts as out of contact
	r := s.runner
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	if r.supervisor != s {
		return
	}
	event.LogRateLimited(event.OrderUnanswered, "order", "look", "worker", r.report.ID, "failures", failures, "err", err)
	if refusals >= minRefusals {
		s.inContact = false
		s.setIncarnation(now, 0) // another process may answer next
	}
	if now-s.lastStatusAt > workerTimeout {
		s.inContact = false
	}
	if !s.inContact && now > s.leasesExpireAt {
		r.machine.LeasesExpired(now, occupancy.OfKnownProcess)
	}
	if !s.inContact && now > s.longLeasesExpireAt {
		r.machine.LeasesExpired(now, occupancy.OfAnyProcess)
	}
	r.settlePendingReport(now)
	r.updateAvailability(now)
}
