package runner

import "time"

// newsInterval is the least time between two heartbeats of which the second tells that the worker
// has room again.
const newsInterval = 100 * time.Millisecond

// hasNews reports whether the worker has room again since the newest load summary for the owner;
// mu is held.
func (c *entryClient) hasNews(now time.Duration) bool {
	o := c.owner
	return o != nil && o.Live() && !c.unwanted && c.runner.machine.Room(now).FreedSince(o.told)
}

// announceRoom makes the heartbeats due that tell entry instances that the worker has room again;
// mu is held.
func (r *Runner) announceRoom(now time.Duration) {
	if room := r.machine.Room(now); !r.machine.AcceptsRuns() || !room.Available() {
		return
	}
	for _, c := range r.entries {
		if c.plannedAt > max(now, c.lastSentAt+newsInterval) && c.hasNews(now) {
			c.interrupt()
		}
	}
}
