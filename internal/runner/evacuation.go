package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
)

// heartbeatsPerEvacuation is the number of heartbeats to an entry instance in Config.EvacuateWithin.
// Their replies name the zones under evacuation, and one may get lost.
const heartbeatsPerEvacuation = 3

// heartbeatWithin returns the longest time between two heartbeats to an entry instance that
// answers. Reports and batches, which put off heartbeats, don't name the zones under evacuation.
func (r *Runner) heartbeatWithin() time.Duration {
	return max(min(r.cfg.EvacuateWithin/heartbeatsPerEvacuation, idleHeartbeatInterval), heartbeatInterval)
}

// zoneEvacuated reports whether the zone of this sidecar is under evacuation; mu is held.
func (r *Runner) zoneEvacuated() bool { return !r.evacuation.State().Allows(r.cfg.Zone) }

// applyEvacuation takes over the evacuation state in a reply of an entry instance, nil if there is
// none, unless a newer one is known; mu is held.
func (r *Runner) applyEvacuation(now time.Duration, state *evacuation.State, from string) {
	if r.evacuation.Apply(state, from) {
		r.machine.SetEvacuated(now, r.zoneEvacuated())
	}
}
