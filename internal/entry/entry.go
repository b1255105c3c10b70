package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	tally "github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Entry is an entry instance.
type Entry struct {
	cfg            Config
	deps           Deps
	configSource   ConfigSource
	start          time.Time
	core           *core
	rpcServer      *rpcnet.Server
	callerServer   *fasthttp.Server
	operatorServer *fasthttp.Server
	heartbeater    *heartbeater
	pullingConfig  atomic.Bool
	workCache      *workCache
	// rollout holds the revisions that the live processes have in force.
	rollout atomic.Pointer[rollout]

	// gates bound what clients and other processes hold.
	gates ingress.Gates

	callerListener, operatorListener, rpcListener net.Listener

	// ctx ends when the instance stops.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// inFlight is the number of callers' requests in flight.
	inFlight atomic.Int64
	// decodingLargeBody is held while a large body is decoded.
	decodingLargeBody sync.Mutex
}

// New opens the ports of an entry instance. Run serves them.
func New(cfg Config, deps Deps) (*Entry, error) {
	cfg = cfg.withDefaults()
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	e := &Entry{cfg: cfg, deps: deps, configSource: deps.ConfigSource, start: time.Now(), rpcServer: rpcnet.NewServer()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if err := listen.Open(e.ports()...); err != nil {
		return nil, err
	}
	e.openGates()
	e.core = newCore(e)
	e.workCache = &workCache{e: e}
	e.heartbeater = newHeartbeater(e.ctx, e.core)
	e.rpcServer.OnBadFrame = func(peer string, err error) { e.log(event.RPCFrameRejected, "peer", peer, "err", err) }
	if err := e.rpcServer.Register(wire.ServiceEntry, service{e}); err != nil {
		e.Close()
		return nil, err
	}
	e.callerServer = e.newServer("caller", e.callerHandler())
	e.operatorServer = e.newServer("operator", e.operatorHandler())
	return e, nil
}

// openGates puts gates before the listeners.
func (e *Entry) openGates() {
	var scope tally.Scope
	if e.deps.Metrics != nil {
		scope = e.deps.Metrics.Scope()
	}
	e.gates = e.cfg.Resources.OpenGates(e.cfg.MaxBodyBytes, rpcnet.MaxFrameBytes, scope)
	e.callerListener = e.gates.Clients.Listen("caller", 0, e.callerListener)
	e.operatorListener = e.gates.Clients.Listen("operator", operatorConnections, e.operatorListener)
	e.rpcListener = e.gates.Internal.Listen("internal", 0, e.rpcListener)
}

// operatorConnections bounds the connections of the operator port, so that they do not take the
// room of callers.
const operatorConnections = 256

// newServer returns an HTTP server of a port with the limits of the configuration.
func (e *Entry) newServer(port string, h fasthttp.RequestHandler) *fasthttp.Server {
	s := &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    e.cfg.MaxBodyBytes,
		ReadTimeout:           e.cfg.ReadTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          e.requestError,
		Logger:                discardLogger{},
	}
	e.gates.Clients.Guard(s, ingress.Port{Name: port, Refuse: writeRefusal})
	return s
}

// writeRefusal answers a request that is refused before a handler receives it.
func writeRefusal(ctx *fasthttp.RequestCtx, status int) {
	text := map[int]string{
		fasthttp.StatusRequestEntityTooLarge:       "the request body is too large",
		fasthttp.StatusRequestHeaderFieldsTooLarge: "the request header is too large",
		fasthttp.StatusRequestTimeout:              "the request was not read in time",
		fasthttp.StatusServiceUnavailable:          "there is no room for the request",
	}[status]
	if text == "" {
		text = "malformed request"
	}
	httperr.Write(ctx, status, httperr.Body{Error: text, NotRun: true})
}

// idleTimeout is how long an idle connection stays open. It is longer than the
// idle timeouts of callers and load balancers, so that they and not this process
// close the connection: a request sent on a connection that the server is
// closing has an unknown outcome.
const idleTimeout = 10 * time.Minute

// discardLogger discards the log lines of fasthttp. This package logs request
// errors as events.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// ports returns the ports of the instance.
func (e *Entry) ports() []listen.Port {
	return []listen.Port{
		{Name: "caller", Address: e.cfg.CallerAddress, Listener: &e.callerListener},
		{Name: "operator", Address: e.cfg.OperatorAddress, Listener: &e.operatorListener},
		{Name: "internal", Address: e.cfg.InternalAddress, Listener: &e.rpcListener},
	}
}

func (e *Entry) closeListeners() { listen.Close(e.ports()...) }

// Close closes the ports of an instance on which Run was not called.
func (e *Entry) Close() {
	e.closeListeners()
	e.gates.Close()
}

// CallerAddr returns the address of the caller port.
func (e *Entry) CallerAddr() string { return e.callerListener.Addr().String() }

// OperatorAddr returns the address of the operator port.
func (e *Entry) OperatorAddr() string { return e.operatorListener.Addr().String() }

// InternalAddr returns the address of the internal port.
func (e *Entry) InternalAddr() string { return e.rpcListener.Addr().String() }

// advertisedAddress returns the internal address that other processes use.
func (e *Entry) advertisedAddress() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	return e.rpcListener.Addr().String()
}

// Run serves until ctx ends and then shuts down gracefully: it refuses new jobs,
// answers the accepted ones, and closes its ports.
func (e *Entry) Run(ctx context.Context) error {
	failed := make(chan error, 3)
	serve := func(f func() error) {
		e.wg.Go(func() {
			if err := f(); err != nil {
				failed <- err
			}
		})
	}
	e.wg.Go(func() { e.core.run(e.ctx) })
	e.wg.Go(e.watchRollout)
	serve(func() error { return e.rpcServer.Serve(e.rpcListener) })
	serve(func() error { return e.callerServer.Serve(e.callerListener) })
	serve(func() error { return e.operatorServer.Serve(e.operatorListener) })
	for _, p := range e.cfg.Peers {
		e.heartbeater.add(p)
	}
	e.log(event.EntryStarted, "instance", e.cfg.Instance, "caller", e.CallerAddr(), "operator", e.OperatorAddr(), "internal", e.InternalAddr())
	select {
	case err := <-failed:
		e.Kill()
		return errors.Annotate(err, "serve")
	case <-e.ctx.Done():
		return nil
	case <-ctx.Done():
		return e.shutdown()
	}
}

// SetDraining starts or ends draining. A draining instance refuses new jobs with an
// answer that states that they have not run, and its health check fails.
func (e *Entry) SetDraining(on bool) {
	e.core.draining.Store(on)
	e.core.call(func(time.Duration) { e.core.machine.SetDraining(on) })
	e.heartbeater.sendNow()
	if on {
		e.log(event.EntryDraining, "instance", e.cfg.Instance)
	}
}

const drainPollInterval = 10 * time.Millisecond

// shutdown drains the instance for at most DrainTimeout and then stops it.
func (e *Entry) shutdown() error {
	e.SetDraining(true)
	e.gates.Clients.BeginShutdown()
	end := time.Now().Add(e.cfg.DrainTimeout)
	for e.countUnanswered() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	time.Sleep(min(e.cfg.ShutdownDelay, time.Until(end)))
	idle := e.countUnanswered() == 0
	if !idle {
		e.log(event.EntryDrainTimeout, "instance", e.cfg.Instance)
		e.core.call(func(now time.Duration) { e.core.machine.Abandon(now) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(end)+time.Second)
	defer cancel()
	err := e.callerServer.ShutdownWithContext(ctx)
	if idle {
		e.transferSharesToPeer()
	}
	e.Kill()
	e.log(event.EntryStopped, "instance", e.cfg.Instance)
	return errors.Annotate(err, "shut down the caller port")
}

// countUnanswered returns the number of jobs without an answer plus the number
// of requests in flight.
func (e *Entry) countUnanswered() int64 {
	n := e.inFlight.Load()
	e.core.call(func(time.Duration) { n += int64(e.core.machine.Unanswered()) })
	return n
}

// Pause blocks the core loop until the returned function is called, to simulate
// a pause of the whole process in tests.
func (e *Entry) Pause() (resume func()) {
	resumed := make(chan struct{})
	e.core.post(func(time.Duration) {
		select {
		case <-resumed:
		case <-e.ctx.Done():
		}
	})
	return sync.OnceFunc(func() { close(resumed) })
}

// Kill stops the instance at once without answering any request, as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	e.closeListeners()
	e.rpcServer.Close()
	<-e.core.done
	for _, s := range e.core.attachedSidecars {
		s.client.close()
	}
	for _, p := range e.core.peers {
		p.client.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.callerServer.ShutdownWithContext(ctx)
	_ = e.operatorServer.ShutdownWithContext(ctx)
	e.wg.Wait()
	e.gates.Close()
}

// log writes a numbered event.
func (e *Entry) log(ev *event.Event, pairs ...any) { event.LogTo(klog.Background(), ev, pairs...) }

// jitter returns a random duration below d. The global random source is safe
// for concurrent use.
func (e *Entry) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
