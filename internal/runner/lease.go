package runner

import "time"

const (
	// runLease is the lease of runs, if Config.MaxLease allows it. A status request extends it
	// several times before it ends. A worker that has crashed is noticed when it has expired, so
	// it is no longer than what single lost requests and short pauses of the sidecar need.
	runLease = 800 * time.Millisecond
	// leaseMargin is the least difference between Config.MaxLease and the requested lease.
	leaseMargin = 50 * time.Millisecond
	// leaseExpiryMargin is the additional time after which a lease has certainly
	// expired: a worker's clock may be 2% slow, and a request takes time to reach
	// the worker.
	leaseExpiryMargin = 70 * time.Millisecond
	// abandonedLease bounds the lease of a run from the time at which its owner no longer
	// needed it, if the worker confirms no stop call. The run ends before the caller of the job
	// submits it again, also if a message from the owner was lost and sent again before.
	abandonedLease = 800 * time.Millisecond
	// minUsefulLease is the least time until the limit of the leases with which runs start.
	minUsefulLease = 300 * time.Millisecond
	// maxClockLoss is the share of the time that a worker's clock loses at most, as a divisor.
	maxClockLoss = 50
)

// recordLeaseRequest records that leases starting now are requested, and returns
// their end in milliseconds of the worker's clock; mu is held.
func (s *supervisor) recordLeaseRequest(now time.Duration) int64 {
	end := now + min(runLease, s.runner.cfg.MaxLease-leaseMargin)
	if limit, limited := s.runner.leaseLimit(); limited {
		end = max(min(end, limit), now)
	}
	s.leasesExpireAt = max(s.leasesExpireAt, end+leaseExpiryMargin)
	s.longLeasesExpireAt = max(s.longLeasesExpireAt, now+s.runner.cfg.MaxLease+leaseExpiryMargin)
	return (end + s.leastClockOffset(now)).Milliseconds()
}

// leastClockOffset returns the least clock offset that the worker's clock may have reached
// since it was read; mu is held. A lease that is computed with a higher one would end too late.
func (s *supervisor) leastClockOffset(now time.Duration) time.Duration {
	return s.clockOffset - max(now-s.clockReadAt, 0)/maxClockLoss
}

// setClockOffset computes the clock offset from the worker's clock in a reply. Zero
// is a valid clock: the first millisecond of an incarnation.
func (s *supervisor) setClockOffset(now time.Duration, clockMs int64) {
	s.clockOffset, s.clockReadAt, s.clockOffsetKnown = time.Duration(clockMs)*time.Millisecond-now, now, true
}

// setReportedClock takes over the worker's clock in a report, zero if it is unknown; mu is
// held. A report may have been delayed, so that its clock counts only if it is ahead.
func (s *supervisor) setReportedClock(now time.Duration, clockMs int64) {
	if s.clockOffsetKnown && clockMs > 0 && time.Duration(clockMs)*time.Millisecond-now > s.leastClockOffset(now) {
		s.setClockOffset(now, clockMs)
	}
}
