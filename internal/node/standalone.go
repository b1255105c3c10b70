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
	// storeWait is the longest wait of a watch of the embedded store.
	storeWait = 30 * time.Second
	// readyPoll is the pause between two looks whether the workers are attached.
	readyPoll = 10 * time.Millisecond
)

// StandaloneConfig sets up all roles in one process.
type StandaloneConfig struct {
	// Entry configures the entry instance; its addresses are kept.
	Entry entry.Config
	// Sidecar is the pattern of the sidecars; names and addresses are filled in.
	Sidecar sidecar.Config
	// Backends is the number of backend servers, Slots that of each.
	Backends, Slots int
	// Service is the backend service of the sample backend servers.
	Service string
}

// Standalone is all roles in one process with an embedded store.
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
	e, err := NewEntry(cfg.Entry, memstore.New(clock.Real{}, storeWait), m)
	if err != nil {
		return nil, err
	}
	s.entry = e
	for i := range cfg.Backends {
		if err := s.addWorker(i); err != nil {
			e.Entry.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Standalone) addWorker(i int) error {
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

// CallerAddr and OperatorAddr return the addresses of the APIs.
func (s *Standalone) CallerAddr() string { return s.entry.CallerAddr() }

// OperatorAddr returns the address of the Resource API.
func (s *Standalone) OperatorAddr() string { return s.entry.OperatorAddr() }

// Ready is closed when the APIs are served and all workers are attached.
func (s *Standalone) Ready() <-chan struct{} { return s.ready }

// Run serves until ctx ends. It then shuts down in the order of the path of a
// job: the entry instance answers its jobs, then the backend servers leave,
// then the sidecars deliver their results.
func (s *Standalone) Run(ctx context.Context) error {
	workers, stopWorkers := context.WithCancel(context.Background())
	defer stopWorkers()
	var wg sync.WaitGroup
	failed := make(chan error, 2*len(s.backends))
	for i := range s.backends {
		wg.Go(func() { failed <- s.sidecars[i].Run(workers) })
		wg.Go(func() { failed <- s.backends[i].Run(workers) })
	}
	entryCtx, stopEntry := context.WithCancel(ctx)
	defer stopEntry()
	go s.awaitReady(entryCtx)
	done := make(chan error, 1)
	go func() { done <- s.entry.Run(entryCtx) }()
	var err error
	select {
	case err = <-done:
	case err = <-failed:
		stopEntry()
		<-done
	}
	stopWorkers()
	wg.Wait()
	return errors.Trace(err)
}

func (s *Standalone) awaitReady(ctx context.Context) {
	for ctx.Err() == nil {
		if s.entry.Config.Ready() && s.entry.Stats().Sidecars == s.cfg.Backends {
			close(s.ready)
			return
		}
		time.Sleep(readyPoll)
	}
}
