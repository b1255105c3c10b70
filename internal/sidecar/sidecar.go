// Package sidecar runs the process beside a backend server. The process grants
// credits for the backend server's slots to entry instances, starts tasks on the
// backend server, and records every start in a ledger.
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
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// tickInterval is the time between checks of credit expiry, heartbeats and
	// other time limits.
	tickInterval = 20 * time.Millisecond
	// eventQueueLen bounds the events that wait for the core goroutine.
	eventQueueLen = 1024
	// maxEventBatch bounds the queued events that the core goroutine runs before it
	// calls flush, in addition to the event that woke it.
	maxEventBatch = 64
)

// Sidecar is one sidecar process. The core goroutine owns its state and runs the
// queued events one at a time.
type Sidecar struct {
	cfg  Config
	deps Deps
	self wire.Peer

	localListener, internalListener, operatorListener net.Listener
	// gates bound what clients and entry instances hold.
	gates       ingress.Gates
	rpcServer   *rpcnet.Server
	httpServers []*fasthttp.Server

	events chan func()
	stop   chan struct{}
	// coreDone is closed once the core goroutine runs no more events.
	coreDone chan struct{}
	stopOnce sync.Once
	killed   atomic.Bool
	// pendingCalls counts the goroutines that call entry instances or the backend
	// server.
	pendingCalls sync.WaitGroup
	ctx          context.Context // canceled when the core goroutine ends
	cancel       context.CancelFunc

	config configCopy
	stats  Stats

	// Only the core goroutine uses the fields below.
	machine *slots.Machine
	links   []*link
	// reconciledAt is the time of the last call of reconcile.
	reconciledAt time.Duration
	outboxes     map[ident.Process]*outbox
	backend      backendState
	kinds        map[string]*resource.Kind // kinds of the configuration in force
	// draining is true while an operator drains the sidecar. shuttingDown is set by
	// Sidecar.Drain, which also stops the sidecar.
	draining, shuttingDown bool
	drained                chan struct{}
	drainedSignaled        bool
}

// Stats holds the counters of a sidecar.
type Stats struct {
	Starts, RefusedStarts, Results, ResultRetries, Heartbeats, ResultCalls, Recalls, EmptyRecalls atomic.Int64
}

// New creates a sidecar and opens its listeners. Run serves them.
func New(cfg Config, deps Deps) (*Sidecar, error) {
	if err := cfg.setDefaults(); err != nil {
		return nil, errors.Annotate(err, "sidecar settings")
	}
	deps.setDefaults()
	s := &Sidecar{
		cfg: cfg, deps: deps,
		events:   make(chan func(), eventQueueLen),
		stop:     make(chan struct{}),
		coreDone: make(chan struct{}),
		drained:  make(chan struct{}),
		outboxes: map[ident.Process]*outbox{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := listen.Open(s.ports()...); err != nil {
		return nil, err
	}
	s.openGates()
	address := cfg.AdvertiseAddress
	if address == "" {
		address = s.InternalAddr()
	}
	process := ident.Process{Instance: cfg.Instance, Incarnation: rand.Uint64()}
	s.self = wire.Peer{Process: process, Address: address, Zone: cfg.Zone}
	s.machine = slots.New(slots.Config{
		Self: process, Zone: cfg.Zone, CreditTTL: cfg.CreditTTL, JoinDelay: cfg.JoinDelay,
		Retention: cfg.LedgerRetention, MaxResultBytes: cfg.MaxLedgerResultBytes,
	}, deps.Rand)
	return s, nil
}

// ports returns the ports that the sidecar listens on.
func (s *Sidecar) ports() []listen.Port {
	return []listen.Port{
		{Name: "local", Address: s.cfg.LocalAddress, Listener: &s.localListener},
		{Name: "internal", Address: s.cfg.InternalAddress, Listener: &s.internalListener},
		{Name: "operator", Address: s.cfg.OperatorAddress, Listener: &s.operatorListener},
	}
}

func (s *Sidecar) closeListeners() { listen.Close(s.ports()...) }

// Process returns the instance name and the incarnation of the sidecar.
func (s *Sidecar) Process() ident.Process { return s.self.Process }

// Revisions returns the configuration revisions that the sidecar reports to entry
// instances.
func (s *Sidecar) Revisions() wire.Revisions { return s.config.revisions() }

// LocalAddr returns the address at which the backend server announces itself.
func (s *Sidecar) LocalAddr() string { return s.localListener.Addr().String() }

// InternalAddr returns the address at which entry instances call the sidecar.
func (s *Sidecar) InternalAddr() string { return s.internalListener.Addr().String() }

// OperatorAddr returns the address of the operator API.
func (s *Sidecar) OperatorAddr() string { return s.operatorListener.Addr().String() }

// Stats returns the counters, which change while the sidecar runs.
func (s *Sidecar) Stats() *Stats { return &s.stats }

// Run serves until Drain or Kill stops the sidecar. When ctx ends, Run drains the
// sidecar, and kills it if the drain has not ended after MaxRunTime.
func (s *Sidecar) Run(ctx context.Context) error {
	s.rpcServer = rpcnet.NewServer()
	s.rpcServer.OnBadFrame = func(peer string, err error) {
		s.deps.Log("bad-frame", "connection of %s closed: %v", peer, err)
	}
	if err := s.rpcServer.Register(wire.ServiceSidecar, &service{s}); err != nil {
		return errors.Trace(err)
	}
	go s.rpcServer.Serve(s.internalListener)
	s.deps.Log("started", "%s, local %s, internal %s, operator %s", s.self.Process, s.LocalAddr(), s.InternalAddr(), s.OperatorAddr())
	defer s.deps.Log("stopped", "%s", s.self.Process)
	s.serveHTTP("local", s.localListener, s.localRoutes())
	s.serveHTTP("operator", s.operatorListener, s.operatorRoutes())
	go func() {
		select {
		case <-ctx.Done():
			drainCtx, cancel := context.WithTimeout(context.Background(), s.cfg.MaxRunTime)
			defer cancel()
			if err := s.Drain(drainCtx); err != nil {
				s.deps.Log("drain-incomplete", "%v", err)
				s.Kill()
			}
		case <-s.stop:
		}
	}()
	s.runCore()
	close(s.coreDone)
	s.cancel()
	s.rpcServer.Close()
	s.gates.Clients.BeginShutdown()
	for _, h := range s.httpServers {
		h.Shutdown()
	}
	s.closeListeners()
	s.gates.Close()
	for _, l := range s.links {
		l.client.Close()
	}
	s.backend.close()
	s.pendingCalls.Wait()
	return nil
}

// Drain makes the sidecar refuse new tasks, waits until the running tasks have
// ended and their results are acknowledged or dropped, and stops the sidecar. It
// returns an error if ctx ends first; the sidecar then keeps running and draining.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.post(func() {
		s.shuttingDown = true
		s.applyBackend(s.deps.Clock())
	})
	select {
	case <-s.drained:
		s.signalStop()
		return nil
	case <-s.stop:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "drain")
	}
}

// Pause blocks the core goroutine until the returned function is called, which
// simulates a pause of the whole process. It is meant for tests.
func (s *Sidecar) Pause() (resume func()) {
	resumed := make(chan struct{})
	s.post(func() {
		select {
		case <-resumed:
		case <-s.stop:
		}
	})
	return sync.OnceFunc(func() { close(resumed) })
}

// Kill stops the sidecar at once, without a drain and without a message to entry
// instances.
func (s *Sidecar) Kill() {
	s.killed.Store(true)
	s.signalStop()
}

func (s *Sidecar) signalStop() { s.stopOnce.Do(func() { close(s.stop) }) }

// post queues an event for the core goroutine. It returns false if the sidecar is
// stopping and the event is not queued. A queued event may never run if the
// sidecar stops.
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

// postAndWait runs an event on the core goroutine and waits until it has returned.
func (s *Sidecar) postAndWait(f func()) error {
	done := make(chan struct{})
	if !s.post(func() { f(); close(done) }) {
		return errors.New("the sidecar has stopped")
	}
	select {
	case <-done:
		return nil
	case <-s.coreDone:
		// Waiting for s.stop instead would return while the event may still run and
		// write data that the caller reads.
		return errors.New("the sidecar has stopped")
	}
}
