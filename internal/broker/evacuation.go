package broker

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
)

// noEvacuationRetryAfter is about the time until a process that has just started has read the
// evacuation state from the store or a peer.
const noEvacuationRetryAfter = time.Second

// ApplyEvacuation puts an evacuation state into force if it is newer than the one in force, and
// announces other zones to some peers at once. It ignores nil. From names the sender in the log.
func (b *Broker) ApplyEvacuation(state *evacuation.State, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.evacuation.Apply(state, from) {
		return
	}
	now := clock.SinceBoot()
	b.machine.SetEvacuation(now, b.evacuation.State())
	b.runMachine(now)
	b.updateReadiness()
	b.startRound()
}
