package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

const (
	loopback = "127.0.0.1:0"
	// maxWatchWait is the longest wait of a watch of the embedded store.
	maxWatchWait = 30 * time.Second
	// readyPollInterval is the time between two checks whether the sidecars are
	// attached.
	readyPollInterval = 10 * time.Millisecond
)

// StandaloneConfig holds the settings of all roles in one process.
type StandaloneConfig struct {
	// Entry holds the settings of the entry instance. NewStandalone replaces its
	// InternalAddress by a free loopback address.
	Entry entry.Config
	// Sidecar holds the settings that all sidecars share. NewStandalone sets the
	// instance name, the zone, the rack and the entry addresses of each sidecar.
	Sidecar sidecar.Config
	// Backends is the number of backend servers, and Slots the number of slots of each
	// of them.
	Backends, Slots int
	// Service is the backend service of the backend servers.
	Service string
}

// Standalone runs all roles in one process with an embedded store.
type Standalone struct {
	cfg      StandaloneConfig
	entry    *Entry
	sidecars []*sidecar.Sidecar
	backends []*backend.Backend
	ready    chan struct{}
}

// NewStandalone opens the ports of all roles.
func NewStandalone(cfg StandaloneConfig, m *metrics.Registry) (*Standalone, error) {
	s := &Standalone{cfg: cfg, ready: make(chan struct{})}
	cfg.Entry.InternalAddress = loopback
	e, err := NewEntry(cfg.Entry, memstore.New(clock.Real{}, maxWatchWait), m)
	if err != nil {
		return nil, err
	}
	s.entry = e
	for i := range cfg.Backends {
		if err := s.addBackend(i); err != nil {
			e.Entry.Close()
			return nil, err
		}
	}
	return s, nil
}

// addBackend creates a sidecar and its backend server.
func (s *Standalone) addBackend(i int) error {
	cfg := s.cfg.Sidecar
	cfg.Instance = fmt.Sprintf("sidecar-%d", i+1)
	cfg.Zone, cfg.Rack = s.cfg.Entry.Zone, "rack-1"
	cfg.EntryAddresses = []string{s.entry.InternalAddr()}
	sc, err := NewSidecar(cfg, nil)
	if err != nil {
		return err
	}
	b, err := backend.New(backend.Config{
		Name: fmt.Sprintf("backend-%d", i+1), Service: s.cfg.Service, Zone: cfg.Zone, Rack: cfg.Rack,
		SidecarAddress: sc.LocalAddr(), Slots: s.cfg.Slots,
	})
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, sc)
	s.backends = append(s.backends, b)
	return nil
}

// CallerAddr returns the address of the API for callers.
func (s *Standalone) CallerAddr() string { return s.entry.CallerAddr() }

// OperatorAddr returns the address of the Resource API.
func (s *Standalone) OperatorAddr() string { return s.entry.OperatorAddr() }

// Ready returns a channel that is closed when the APIs are served, the configuration is
// ready and all sidecars are attached.
func (s *Standalone) Ready() <-chan struct{} { return s.ready }

// Run serves until ctx ends or a part of the process fails. It then shuts down the
// entry instance, which answers its jobs, and afterwards the backend servers, which
// deregister, and the sidecars, which deliver their results.
func (s *Standalone) Run(ctx context.Context) error {
	backendsCtx, stopBackends := context.WithCancel(context.Background())
	defer stopBackends()
	var wg sync.WaitGroup
	backendEnded := make(chan error, 2*len(s.backends))
	for i := range s.backends {
		wg.Go(func() { backendEnded <- s.sidecars[i].Run(backendsCtx) })
		wg.Go(func() { backendEnded <- s.backends[i].Run(backendsCtx) })
	}
	entryCtx, stopEntry := context.WithCancel(ctx)
	defer stopEntry()
	go s.awaitReady(entryCtx)
	entryEnded := make(chan error, 1)
	go func() { entryEnded <- s.entry.Run(entryCtx) }()
	var err error
	select {
	case err = <-entryEnded:
	case err = <-backendEnded:
		stopEntry()
		<-entryEnded
	}
	stopBackends()
	wg.Wait()
	return errors.Trace(err)
}

// awaitReady closes the ready channel when the configuration is ready and all sidecars
// are attached, unless ctx ends first.
func (s *Standalone) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if s.entry.Config.Ready() && s.entry.Stats().Sidecars == s.cfg.Backends {
			close(s.ready)
			return
		}
		time.Sleep(readyPollInterval)
	}
}
