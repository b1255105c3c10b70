package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Entry is an entry instance.
type Entry struct {
	cfg     Config
	deps    Deps
	config  Configuration
	start   time.Time
	core    *core
	rpc     *rpcnet.Server
	caller  *fasthttp.Server
	oper    *fasthttp.Server
	beats   *beats
	pulling atomic.Bool
	work    *workCache
	// progress is the newest view of the revisions in force.
	progress atomic.Pointer[progress]

	callerLis, operLis, rpcLis net.Listener

	// ctx ends when the instance stops.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// inFlight counts callers' requests.
	inFlight atomic.Int64
}

// New opens the ports of an entry instance; Run serves them.
func New(cfg Config, deps Deps) (*Entry, error) {
	cfg = cfg.withDefaults()
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	e := &Entry{cfg: cfg, deps: deps, config: deps.Configuration, start: time.Now(), rpc: rpcnet.NewServer()}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if err := listen.Open(e.ports()...); err != nil {
		return nil, err
	}
	e.core = newCore(e)
	e.work = &workCache{e: e}
	e.beats = newBeats(e.ctx, e.core)
	e.rpc.OnBadFrame = func(peer string, err error) { e.log(event.RPCFrameRejected, "peer", peer, "err", err) }
	if err := e.rpc.Register(wire.ServiceEntry, service{e}); err != nil {
		e.closeListeners()
		return nil, err
	}
	e.caller = e.newServer(e.callerHandler())
	e.oper = e.newServer(e.operatorHandler())
	return e, nil
}

// newServer returns an HTTP server with the bounds of the settings.
func (e *Entry) newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		MaxRequestBodySize:    e.cfg.MaxBody,
		ReadTimeout:           e.cfg.ReadTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          e.requestError,
		Logger:                silent{},
	}
}

// idleTimeout is the life of an idle connection. It is longer than that of
// callers and balancers, so that they and not this process close it: a request
// sent on a connection that is being closed has an unknown outcome.
const idleTimeout = 10 * time.Minute

// silent drops fasthttp's own log lines; errors of requests are events.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// ports are the ports of the instance.
func (e *Entry) ports() []listen.Port {
	return []listen.Port{
		{Name: "caller", Address: e.cfg.CallerAddress, Listener: &e.callerLis},
		{Name: "operator", Address: e.cfg.OperatorAddress, Listener: &e.operLis},
		{Name: "internal", Address: e.cfg.InternalAddress, Listener: &e.rpcLis},
	}
}

func (e *Entry) closeListeners() { listen.Close(e.ports()...) }

// Close closes the ports of an instance that was not run.
func (e *Entry) Close() { e.closeListeners() }

// CallerAddr returns the address of the caller port.
func (e *Entry) CallerAddr() string { return e.callerLis.Addr().String() }

// OperatorAddr returns the address of the operator port.
func (e *Entry) OperatorAddr() string { return e.operLis.Addr().String() }

// InternalAddr returns the address of the internal port.
func (e *Entry) InternalAddr() string { return e.rpcLis.Addr().String() }

// advertised returns the internal address that other processes use.
func (e *Entry) advertised() string {
	if e.cfg.Advertise != "" {
		return e.cfg.Advertise
	}
	return e.rpcLis.Addr().String()
}

// Run serves until ctx ends, then shuts down gracefully: it refuses new jobs,
// answers those it has, and closes its ports.
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
	e.wg.Go(e.watchProgress)
	serve(func() error { return e.rpc.Serve(e.rpcLis) })
	serve(func() error { return e.caller.Serve(e.callerLis) })
	serve(func() error { return e.oper.Serve(e.operLis) })
	for _, p := range e.cfg.Peers {
		e.beats.add(p)
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

// SetDraining starts or ends draining: a draining instance refuses new jobs
// as not run and fails its health check.
func (e *Entry) SetDraining(on bool) {
	e.core.draining.Store(on)
	e.core.call(func(time.Duration) { e.core.machine.SetDraining(on) })
	e.beats.poke()
	if on {
		e.log(event.EntryDraining, "instance", e.cfg.Instance)
	}
}

const drainPoll = 10 * time.Millisecond

// shutdown drains and stops within the bound of the settings.
func (e *Entry) shutdown() error {
	e.SetDraining(true)
	end := time.Now().Add(e.cfg.DrainTimeout)
	for e.unanswered() > 0 && time.Now().Before(end) {
		time.Sleep(drainPoll)
	}
	time.Sleep(min(e.cfg.Linger, time.Until(end)))
	idle := e.unanswered() == 0
	if !idle {
		e.log(event.EntryDrainTimeout, "instance", e.cfg.Instance)
		e.core.call(func(now time.Duration) { e.core.machine.Abandon(now) })
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Until(end)+time.Second)
	defer cancel()
	err := e.caller.ShutdownWithContext(ctx)
	if idle {
		e.handOver()
	}
	e.Kill()
	e.log(event.EntryStopped, "instance", e.cfg.Instance)
	return errors.Annotate(err, "shut down the caller port")
}

// unanswered counts the jobs without an answer and the requests in flight.
func (e *Entry) unanswered() int64 {
	n := e.inFlight.Load()
	e.core.call(func(time.Duration) { n += int64(e.core.machine.Unanswered()) })
	return n
}

// Pause holds the core loop until the returned function is called, as a
// pause of the whole process would. It is meant for tests.
func (e *Entry) Pause() (resume func()) {
	gate := make(chan struct{})
	e.core.post(func(time.Duration) {
		select {
		case <-gate:
		case <-e.ctx.Done():
		}
	})
	return sync.OnceFunc(func() { close(gate) })
}

// Kill stops at once without answering anything, as a crash would.
func (e *Entry) Kill() {
	e.cancel()
	e.closeListeners()
	e.rpc.Close()
	<-e.core.done
	for _, s := range e.core.links {
		s.link.close()
	}
	for _, p := range e.core.peers {
		p.client.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.caller.ShutdownWithContext(ctx)
	_ = e.oper.ShutdownWithContext(ctx)
	e.wg.Wait()
}

// log writes a numbered event.
func (e *Entry) log(ev *event.Event, pairs ...any) { event.LogTo(klog.Background(), ev, pairs...) }

// jitter returns a random duration below d. The global source is safe for
// concurrent use.
func (e *Entry) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return rand.N(d)
}
