package runner

import (
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// firstRetryDelay is the delay after the first failed heartbeat, and maxRetryDelay
	// bounds the delay between heartbeats to an entry instance that does not reply.
	firstRetryDelay = 375 * time.Millisecond
	maxRetryDelay   = time.Second
	// firstRefusedRetryDelay is the delay after the first refused connection: the machine
	// answers, so its entry instance may be about to start.
	firstRefusedRetryDelay = 60 * time.Millisecond
	// entryTimeout is the time for which heartbeats to an entry instance have to
	// fail before the instance is removed. An instance that AddEntry or a
	// heartbeat reply names later is added again.
	entryTimeout = time.Minute
)

// dueAt returns the time of the next call of sendHeartbeat; mu is held. Unless sendNow is
// set, it is at least heartbeatInterval after the last call, or the shorter retryDelay or
// earlyHeartbeatInterval, because not every call moves the times of failures and contacts forward.
func (c *entryClient) dueAt(now time.Duration) time.Duration {
	switch {
	case c.sendNow:
		return now
	case c.failingSince > 0:
		return max(c.retryAt, c.lastSentAt+min(c.retryDelay, heartbeatInterval))
	case c.owner == nil || !c.owner.Live():
		return c.lastSentAt + heartbeatInterval
	case c.roomFreed(now), now < c.runner.stateWaitEnds && !c.runner.evacuation.Ready():
		return max(now, c.lastSentAt+earlyHeartbeatInterval)
	}
	interval := idleHeartbeatInterval
	if c.owner.busy() {
		interval = heartbeatInterval
	}
	due := max(c.owner.LastContact(), c.lastSentAt) + interval
	if c.runner.cfg.EvacuateWithin > 0 {
		due = min(due, c.lastSentAt+c.runner.heartbeatWithin())
	}
	return due
}

// handleFailure handles a failed heartbeat; mu is held. A refused connection does not prove that the
// process of the owner has ended. To stop its runs is right in any case: if it has, nobody waits for
// them, and if it lives, it starts their tasks again once the next session tells it that they have
// ended.
func (c *entryClient) handleFailure(now time.Duration, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if c.owner != nil && refused {
		c.runner.dropOwner(now, c.owner, "connection refused", now-c.owner.LastContact())
	}
	switch {
	case refused && !c.refused:
		c.retryDelay = firstRefusedRetryDelay
	case c.failingSince == 0:
		c.retryDelay = firstRetryDelay
	default:
		c.retryDelay = min(c.retryDelay*3/2, maxRetryDelay)
	}
	if c.failingSince == 0 {
		c.failingSince = now
	}
	c.refused = refused
	c.retryAt = now + c.retryDelay
	c.runner.updateAttachments(now)
}
