package runner

import "time"

// earlyHeartbeatInterval is the least time between a heartbeat and one that is sent early: because the
// worker has room again, or because the sidecar has just started and has no evacuation state.
const earlyHeartbeatInterval = 100 * time.Millisecond

// roomFreed reports whether the worker has room again since the newest load summary for the owner;
// mu is held.
func (c *entryClient) roomFreed(now time.Duration) bool {
	o := c.owner
	return o != nil && o.Live() && !c.unwanted && c.runner.machine.Room(now).FreedSince(o.reportedRoom)
}

// announceRoom makes the heartbeats due that tell entry instances that the worker has room again;
// mu is held.
func (r *Runner) announceRoom(now time.Duration) {
	if room := r.machine.Room(now); !r.machine.AcceptsRuns() || !room.Available() {
		return
	}
	for _, c := range r.entries {
		if c.plannedAt > max(now, c.lastSentAt+earlyHeartbeatInterval) && c.roomFreed(now) {
			c.interrupt()
		}
	}
}
