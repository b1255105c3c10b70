package runner

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
)

// heartbeatsPerEvacuation is the number of heartbeats to an entry instance in Config.EvacuateWithin.
// Their replies name the zones under evacuation, and one may get lost.
const heartbeatsPerEvacuation = 3

// maxStateWait bounds the time for which a sidecar that has just started accepts no runs while it has
// not heard of the evacuation state. Within it, each entry instance has answered or timed out.
const maxStateWait = 2 * time.Second

// stateSettle is the time after the first state for which the sidecar waits for entry instances that
// know a newer one. One that lives answers sooner; one that is silent is not waited for.
const stateSettle = 50 * time.Millisecond

// heartbeatWithin returns the longest time between two heartbeats to an entry instance that
// answers. Reports and batches, which put off heartbeats, don't name the zones under evacuation.
func (r *Runner) heartbeatWithin() time.Duration {
	return max(min(r.cfg.EvacuateWithin/heartbeatsPerEvacuation, idleHeartbeatInterval), heartbeatInterval)
}

// zoneEvacuated reports whether the zone of this sidecar is under evacuation; mu is held.
func (r *Runner) zoneEvacuated() bool { return !r.evacuation.State().Allows(r.cfg.Zone) }

// withdrawsStarts reports whether start calls that wait for their turn are not made any more, because
// the zone is under evacuation. A worker that does not answer would get them much later.
func (r *Runner) withdrawsStarts() bool {
	if r.cfg.EvacuateWithin == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zoneEvacuated()
}

// applyEvacuation takes over the evacuation state in a reply of an entry instance, nil if there is
// none, unless a newer one is known; mu is held.
func (r *Runner) applyEvacuation(now time.Duration, state *evacuation.State, from string) {
	knew := r.evacuation.Ready()
	if r.evacuation.Apply(state, from) {
		r.machine.SetEvacuated(now, r.zoneEvacuated())
	}
	if !knew && r.evacuation.Ready() && r.stateWaitEnds > now+stateSettle {
		r.stateWaitEnds = now + stateSettle
		time.AfterFunc(stateSettle, r.endStateWait)
	}
}

// endStateWait makes the sidecar accept runs once it awaits no newer state.
func (r *Runner) endStateWait() {
	now := r.lockAndDropSilentOwners()
	defer r.runMachineAndUnlock(now)
	r.updateAvailability(now)
}

// awaitsState reports whether the sidecar has just started and has to accept no runs yet, because an
// entry instance may know of an evacuation that others don't know; mu is held. It waits for a state, and
// then for the end of the first heartbeat to each entry instance, or for stateSettle. The wait is
// bounded: afterwards, entry instances that answer have no state, and those with evacuations send no
// runs without one.
func (r *Runner) awaitsState(now time.Duration) bool {
	if r.stateWaitEnds > 0 && (now >= r.stateWaitEnds || r.evacuation.Ready() && r.allTried()) {
		r.stateWaitEnds = 0
	}
	return r.stateWaitEnds > 0
}

// allTried reports whether the first heartbeat to each attached entry instance has been answered or has
// failed; mu is held.
func (r *Runner) allTried() bool {
	for _, c := range r.entries {
		if !c.tried {
			return false
		}
	}
	return true
}

// noteTried records that a heartbeat has been answered or has failed; mu is held.
func (c *entryClient) noteTried(now time.Duration) {
	c.tried = true
	if c.runner.stateWaitEnds > 0 {
		c.runner.updateAvailability(now)
	}
}
