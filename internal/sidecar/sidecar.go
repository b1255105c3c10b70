// Package sidecar is the process beside a backend server. It owns the
// server's slots, starts tasks on it and records every start.
package sidecar

import (
	"context"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/slots"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// tickEvery is the resolution of credit expiry and of heartbeats.
	tickEvery = 20 * time.Millisecond
	// eventQueue is the number of events that wait for the core goroutine.
	eventQueue = 1024
	// eventBatch is the number of events handled before actions are taken.
	eventBatch = 64
)

// Sidecar is one sidecar process. Its state belongs to the core goroutine,
// which runs the events of the queue one at a time.
type Sidecar struct {
	cfg  Config
	deps Deps
	self wire.Peer

	local, internal, operator net.Listener
	rpc                       *rpcnet.Server
	http                      []*fasthttp.Server

	events chan func()
	stop   chan struct{}
	// ended is closed when the core goroutine runs no event any more.
	ended    chan struct{}
	stopOnce sync.Once
	killed   atomic.Bool
	// calls counts goroutines that call entry instances or the backend server.
	calls sync.WaitGroup
	ctx   context.Context // ends with the core
	end   context.CancelFunc

	config configCopy
	stats  Stats

	// The fields below belong to the core goroutine.
	m     *slots.Machine
	links []*link
	// reconciledAt is the time of the last check of the links.
	reconciledAt time.Duration
	outboxes     map[ident.Process]*outbox
	backend      backendState
	kinds        map[string]*resource.Kind // of the configuration in force
	// draining is set by an operator, closing by Drain.
	draining, closing bool
	drained           chan struct{}
	drainedClosed     bool
}

// Stats counts what a sidecar did.
type Stats struct {
	Starts, Refused, Results, Repeats, Beats, ResultCalls, Recalls, RecallsEmpty atomic.Int64
}

// New opens the listeners of a sidecar. Call Run next.
func New(cfg Config, deps Deps) (*Sidecar, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, errors.Annotate(err, "sidecar settings")
	}
	deps.setDefaults()
	s := &Sidecar{
		cfg: cfg, deps: deps,
		events:   make(chan func(), eventQueue),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
		drained:  make(chan struct{}),
		outboxes: map[ident.Process]*outbox{},
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	if err := listen.Open(s.ports()...); err != nil {
		return nil, err
	}
	address := cfg.AdvertiseAddress
	if address == "" {
		address = s.InternalAddr()
	}
	process := ident.Process{Instance: cfg.Instance, Incarnation: rand.Uint64()}
	s.self = wire.Peer{Process: process, Address: address, Zone: cfg.Zone}
	s.m = slots.New(slots.Config{
		Self: process, Zone: cfg.Zone, CreditTTL: cfg.CreditTTL, JoinDelay: cfg.JoinDelay,
		Retention: cfg.LedgerRetain, MaxResultBytes: cfg.ResultBytes,
	}, deps.Rand)
	return s, nil
}

// ports are the ports of the sidecar.
func (s *Sidecar) ports() []listen.Port {
	return []listen.Port{
		{Name: "local", Address: s.cfg.LocalAddress, Listener: &s.local},
		{Name: "internal", Address: s.cfg.InternalAddress, Listener: &s.internal},
		{Name: "operator", Address: s.cfg.OperatorAddress, Listener: &s.operator},
	}
}

func (s *Sidecar) closeListeners() { listen.Close(s.ports()...) }

// Process returns the sidecar incarnation.
func (s *Sidecar) Process() ident.Process { return s.self.Process }

// Revisions returns the configuration revisions of the process.
func (s *Sidecar) Revisions() wire.Revisions { return s.config.revisions() }

// LocalAddr returns the address where backend servers announce themselves.
func (s *Sidecar) LocalAddr() string { return s.local.Addr().String() }

// InternalAddr returns the address for own processes.
func (s *Sidecar) InternalAddr() string { return s.internal.Addr().String() }

// OperatorAddr returns the address for operators.
func (s *Sidecar) OperatorAddr() string { return s.operator.Addr().String() }

// Stats returns the counters.
func (s *Sidecar) Stats() *Stats { return &s.stats }

// Run serves until Drain or Kill has ended, or drains when ctx ends; a drain
// by ctx takes at most MaxRun.
func (s *Sidecar) Run(ctx context.Context) error {
	s.rpc = rpcnet.NewServer()
	s.rpc.OnBadFrame = func(peer string, err error) {
		s.deps.Log("bad-frame", "connection of %s closed: %v", peer, err)
	}
	if err := s.rpc.Register(wire.ServiceSidecar, &service{s}); err != nil {
		return errors.Trace(err)
	}
	go s.rpc.Serve(s.internal)
	s.deps.Log("started", "%s, local %s, internal %s, operator %s", s.self.Process, s.LocalAddr(), s.InternalAddr(), s.OperatorAddr())
	defer s.deps.Log("stopped", "%s", s.self.Process)
	s.serveHTTP(s.local, s.localRoutes())
	s.serveHTTP(s.operator, s.operatorRoutes())
	go func() {
		select {
		case <-ctx.Done():
			limit, cancel := context.WithTimeout(context.Background(), s.cfg.MaxRun)
			defer cancel()
			if err := s.Drain(limit); err != nil {
				s.deps.Log("drain-incomplete", "%v", err)
				s.Kill()
			}
		case <-s.stop:
		}
	}()
	s.loop()
	close(s.ended)
	s.end()
	s.rpc.Close()
	for _, h := range s.http {
		h.Shutdown()
	}
	s.closeListeners()
	for _, l := range s.links {
		l.client.Close()
	}
	s.backend.close()
	s.calls.Wait()
	return nil
}

// Drain starts no new task, waits until the running ones have ended and their
// results are acknowledged, and stops the sidecar. An error means that ctx
// ended first; the sidecar then still runs and still drains.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.post(func() {
		s.closing = true
		s.applyBackend(s.deps.Clock())
	})
	select {
	case <-s.drained:
		s.halt()
		return nil
	case <-s.stop:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "drain")
	}
}

// Pause holds the core loop until the returned function is called, as a
// pause of the whole process would. It is meant for tests.
func (s *Sidecar) Pause() (resume func()) {
	gate := make(chan struct{})
	s.post(func() {
		select {
		case <-gate:
		case <-s.stop:
		}
	})
	return sync.OnceFunc(func() { close(gate) })
}

// Kill stops at once without telling anybody.
func (s *Sidecar) Kill() {
	s.killed.Store(true)
	s.halt()
}

func (s *Sidecar) halt() { s.stopOnce.Do(func() { close(s.stop) }) }

// post queues an event for the core goroutine. It reports whether the core
// still runs.
func (s *Sidecar) post(f func()) bool {
	select {
	case <-s.stop:
		return false
	default:
	}
	select {
	case s.events <- f:
		return true
	case <-s.stop:
		return false
	}
}

// ask runs an event on the core goroutine and waits for its end.
func (s *Sidecar) ask(f func()) error {
	done := make(chan struct{})
	if !s.post(func() { f(); close(done) }) {
		return errors.New("the sidecar has stopped")
	}
	select {
	case <-done:
		return nil
	case <-s.ended:
		// Not s.stop: the event may still run, and the caller reads what it
		// writes.
		return errors.New("the sidecar has stopped")
	}
}
