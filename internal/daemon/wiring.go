package daemon

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/node"
	"github.com/cardamomturn/cardamomturn/internal/sampleclient"
	"github.com/cardamomturn/cardamomturn/internal/settings"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/httpstore"
)

// maxShutdownDelay is the maximum time for which a drained entry instance refuses
// requests before it closes its ports: the time of two health checks of a load
// balancer that checks every half second.
const maxShutdownDelay = time.Second

// joinDelayMargin is added to DeadAfter and SelfLease. The sum is the time after
// which a sidecar grants credits to an entry instance even if no other entry
// instance is attached to the sidecar.
const joinDelayMargin = time.Second

// EntryRole is the runtime of an entry instance.
type EntryRole interface{ Runner }

// SidecarRole is the runtime of a sidecar.
type SidecarRole interface{ Runner }

// StandaloneRole is the runtime of all roles in one process.
type StandaloneRole interface {
	Runner
	// Ready is closed when both APIs accept connections and all workers are
	// attached.
	Ready() <-chan struct{}
	// CallerAddr and OperatorAddr are the addresses of the APIs, "ip:port".
	CallerAddr() string
	OperatorAddr() string
}

// newStore returns the client of the platform's store.
func newStore(s *settings.Entry) (store.Store, error) {
	return httpstore.New(httpstore.Settings{Address: s.Store.Address, TimeoutMs: s.Store.Timeout.Std().Milliseconds()})
}

// newEntry builds the runtime of an entry instance.
func newEntry(s *settings.Entry, m *metrics.Registry) (EntryRole, error) {
	st, err := newStore(s)
	if err != nil {
		return nil, err
	}
	return node.NewEntry(entryConfig(s), st, m)
}

func entryConfig(s *settings.Entry) entry.Config {
	cfg := entryTimingConfig(s.Timing)
	cfg.Instance, cfg.Zone, cfg.Region = s.Instance, s.Zone, s.Region
	cfg.CallerAddress, cfg.OperatorAddress = s.CallerAddress, s.OperatorAddress
	cfg.InternalAddress, cfg.Advertise = s.InternalAddress, s.AdvertiseAddress
	cfg.Peers = s.Peers
	cfg.MaxBodyBytes = s.RequestBytes
	cfg.AcceptWindows, cfg.RetainWindows = uint64(s.AcceptWindows), uint64(s.RetainWindows)
	cfg.AnswerBytes = s.AnswerBytes
	cfg.Resources = ingress.Resources{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors}
	cfg.PayloadBytes = cfg.Resources.PayloadBytes()
	cfg.Resources.LimitMemory()
	cfg.ShutdownDelay = min(maxShutdownDelay, cfg.DrainTimeout/4)
	return cfg
}

func entryTimingConfig(t settings.Timing) entry.Config {
	return entry.Config{
		CreditTTL: t.CreditTTL.Std(), HeartbeatInterval: t.BeatInterval.Std(), SelfLease: t.SelfLease.Std(),
		SilentAfter: t.DeadAfter.Std(), Window: t.Window.Std(),
		// The remaining tenth of ShutdownTimeout is for the exit of the process.
		DrainTimeout: t.ShutdownTimeout.Std() * 9 / 10,
	}
}

// newSidecar builds the runtime of a sidecar.
func newSidecar(s *settings.Sidecar, m *metrics.Registry) (SidecarRole, error) {
	cfg := sidecarTimingConfig(s.Timing)
	cfg.Instance, cfg.Zone, cfg.Rack = s.Instance, s.Zone, s.Rack
	cfg.LocalAddress, cfg.InternalAddress, cfg.OperatorAddress = s.LocalAddress, s.InternalAddress, s.OperatorAddress
	cfg.AdvertiseAddress, cfg.EntryAddresses = s.AdvertiseAddress, s.EntryAddresses
	cfg.LedgerRetention = time.Duration(s.LedgerWindows) * s.Window.Std()
	cfg.MaxLedgerResultBytes = s.LedgerBytes
	cfg.Resources = ingress.Resources{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors}
	cfg.Resources.LimitMemory()
	return node.NewSidecar(cfg, m)
}

func sidecarTimingConfig(t settings.Timing) sidecar.Config {
	return sidecar.Config{
		HeartbeatInterval: t.BeatInterval.Std(), CreditTTL: t.CreditTTL.Std(), EntryTimeout: t.DeadAfter.Std(),
		JoinDelay: t.DeadAfter.Std() + t.SelfLease.Std() + joinDelayMargin,
	}
}

// newStandalone builds all roles with the embedded store and the sample
// backend servers.
func newStandalone(s *settings.Standalone, m *metrics.Registry) (StandaloneRole, error) {
	cfg := entryTimingConfig(s.Timing)
	cfg.Instance, cfg.Zone = "standalone", "zone-1"
	cfg.CallerAddress, cfg.OperatorAddress = s.CallerAddress, s.OperatorAddress
	cfg.Resources = ingress.Resources{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors}
	cfg.PayloadBytes = cfg.Resources.PayloadBytes()
	if s.MemoryMB > 0 {
		cfg.AnswerBytes = min(settings.DefaultEntry().AnswerBytes, settings.MaxKeptBytes(s.MemoryMB))
	}
	cfg.Resources.LimitMemory()
	return node.NewStandalone(node.StandaloneConfig{
		Entry: cfg, Sidecar: sidecarTimingConfig(s.Timing),
		Backends: s.Backends, Slots: s.Slots, Service: sampleclient.Service,
	}, m)
}
