package node

import (
	"fmt"

	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
)

// sidecarEvents holds the event for each name that the sidecar passes to its log
// function.
var sidecarEvents = map[string]*event.Event{
	"started":             event.SidecarStarted,
	"stopped":             event.SidecarStopped,
	"no-entry":            event.NoEntryReached,
	"backend-broken":      event.BackendBroken,
	"backend-announced":   event.BackendAnnounced,
	"backend-left":        event.BackendLeaving,
	"backend-lease-ended": event.BackendLeaseExpired,
	"backend-unreachable": event.BackendRefused,
	"config-rejected":     event.ConfigRejected,
	"config-in-force":     event.ConfigInForce,
	"entry-silent":        event.PeerLost,
	"entry-attached":      event.EntryChosen,
	"entry-unreachable":   event.RPCConnectionLost,
	"owner-fenced":        event.OwnerFenced,
	"results-dropped":     event.SidecarDrainTimeout,
	"draining":            event.SidecarDraining,
	"bad-frame":           event.RPCFrameRejected,
	"drain-incomplete":    event.SidecarDrainTimeout,
}

// NewSidecar opens the ports of a sidecar. The metrics may be nil.
func NewSidecar(cfg sidecar.Config, m *metrics.Registry) (*sidecar.Sidecar, error) {
	return sidecar.New(cfg, sidecar.Deps{Metrics: m, Log: logSidecar, Validate: resource.Decode})
}

// logSidecar logs a message of the sidecar as the event that sidecarEvents holds for the
// name, or as event.RoleFailed if it holds none.
func logSidecar(name string, format string, args ...any) {
	ev := sidecarEvents[name]
	if ev == nil {
		ev = event.RoleFailed
	}
	event.LogTo(klog.Background(), ev, "detail", fmt.Sprintf(format, args...))
}
