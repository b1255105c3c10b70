// Package zones keeps the evacuation state of a process, and logs and counts its changes.
package zones

import (
	"slices"
	"strings"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
)

// maxLoggedZones bounds the zones that one log line names.
const maxLoggedZones = 32

// Holder holds the newest evacuation state that a process has heard of. All methods but Ready must
// be called by one goroutine at a time.
type Holder struct {
	enabled bool
	metrics *metrics.Registry
	state   evacuation.State
	known   atomic.Bool
}

// NewHolder returns a Holder without a state. If it is not enabled, it ignores all states. The
// registry may be nil.
func NewHolder(enabled bool, registry *metrics.Registry) *Holder {
	return &Holder{enabled: enabled, metrics: registry}
}

// Ready reports whether the process may act: a state is known, or evacuations are off.
func (h *Holder) Ready() bool { return !h.enabled || h.known.Load() }

// State returns the newest state.
func (h *Holder) State() evacuation.State { return h.state }

// NewerThan returns the newest state if its revision is higher than the given one, and nil
// otherwise.
func (h *Holder) NewerThan(revision uint64) *evacuation.State {
	if h.state.Revision <= revision {
		return nil
	}
	state := h.state
	return &state
}

// Lacks reports whether a state of the given revision, which another process has, is newer.
func (h *Holder) Lacks(revision uint64) bool { return h.enabled && revision > h.state.Revision }

// Apply takes over a state that is newer than the present one. It ignores nil and invalid states.
// From names the sender in the log. Apply returns whether other zones are evacuated than before,
// which is so with the first state.
func (h *Holder) Apply(state *evacuation.State, from string) (changed bool) {
	if state == nil || !h.enabled || !state.Replaces(h.state) {
		return false
	}
	if err := state.Validate(); err != nil {
		event.LogRateLimited(event.RPCFrameRejected, "peer", from, "err", err)
		return false
	}
	previous := h.state
	h.state = *state
	h.known.Store(true)
	if previous.Known() && slices.Equal(previous.Zones, state.Zones) {
		return false
	}
	logChange(*state, previous, from)
	if h.metrics != nil {
		h.metrics.Scope().Gauge("zones_evacuated").Update(float64(len(state.Zones)))
	}
	return true
}

// logChange logs the zones of a new state, and those that are no longer evacuated.
func logChange(state, previous evacuation.State, from string) {
	event.LogTo(klog.Background(), event.EvacuationInForce, "zones", logged(state.Zones), "count", len(state.Zones),
		"revision", state.Revision, "before", previous.Revision, "from", from)
	if ended := previous.Without(state); len(ended) > 0 {
		event.LogTo(klog.Background(), event.EvacuationEnded, "zones", logged(ended), "count", len(ended), "revision", state.Revision, "from", from)
	}
}

// logged returns names for a log line.
func logged(names []string) string { return strings.Join(names[:min(len(names), maxLoggedZones)], " ") }
