// Package broker runs an entry instance for tasks that run under leases. It
// admits jobs, places their tasks on workers through the sidecars of the workers,
// and answers each job when its last task has ended.
//
// The decisions are those of the state machine in package placement; this package
// does its I/O.
package broker

import (
	"context"
	"math/rand"
	randv2 "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
	"github.com/cardamomturn/cardamomturn/internal/zones"
)

// Config holds the settings of an entry instance.
type Config struct {
	Instance, Zone  string
	InternalAddress string
	// AdvertiseAddress is the address at which other processes reach the internal
	// port; empty selects the address of the listener.
	AdvertiseAddress string
	// PeerAddresses are the internal addresses of the entry instances to contact
	// at the start. The instance's own address may be among them.
	PeerAddresses []string
	// AdaptToDelay is that of placement.Config.
	AdaptToDelay bool
	// Ingress bounds what arrives at the internal port; nil sets no bound.
	Ingress *ingress.Gate
	// Seed is the seed of the random choices; zero selects a random seed.
	Seed int64
	// EvacuateWithin is the time in which an evacuation has to be in force; zero means that there
	// are no evacuations.
	EvacuateWithin time.Duration
	// RemoteFactor is that of placement.Config.
	RemoteFactor float64
}

// Broker is an entry instance for tasks that run under leases.
type Broker struct {
	cfg       Config
	self      wire.Peer
	listener  net.Listener
	rpcServer *rpcnet.Server
	config    *queues.Controller
	metrics   *metrics.Registry
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	machine     *placement.Machine
	answerChans map[string]chan work.Answer // by job ID
	sidecars    map[ident.Process]*sidecarClient
	peers       map[string]*peer // by address
	// peerCycle holds the peers whose turn in the current cycle of exchanges has not
	// come yet.
	peerCycle []*peer
	members   memberList
	// untold are the crashes for the peers of the next two rounds of exchanges, and toldOnce
	// those for the peers of the next one.
	untold, toldOnce []crashes.Record
	// compareUntil is the time until which exchanges compare what the peers remember.
	compareUntil time.Duration
	pulling      bool // a configuration is read from a peer, or will be soon
	evacuation   *zones.Holder
	nextTick     time.Duration
	loggedReady  bool // the readiness in the last log entry about it
	tickTimer    *time.Timer

	// announce ends the delay before the next round of exchanges.
	announce chan struct{}
	draining atomic.Bool
	// usableWorkers is the number of workers that accepted tasks at the last call
	// of updateReadiness.
	usableWorkers atomic.Int64
}

// maxTickInterval bounds the time between two ticks, so that the machine notices
// a worker without heartbeats in time.
const maxTickInterval = 150 * time.Millisecond

// New creates an entry instance and opens its internal port. The registry may be
// nil.
func New(cfg Config, config *queues.Controller, registry *metrics.Registry) (*Broker, error) {
	if cfg.Seed == 0 {
		cfg.Seed = randv2.Int64()
	}
	b := &Broker{
		cfg: cfg, config: config, metrics: registry, rpcServer: rpcnet.NewServer(),
		machine: placement.New(placement.Config{Zone: cfg.Zone, WorkersSettle: placement.DefaultWorkersSettle, AdaptToDelay: cfg.AdaptToDelay,
			RemoteFactor: cfg.RemoteFactor}, rand.New(rand.NewSource(cfg.Seed))),
		answerChans: map[string]chan work.Answer{}, sidecars: map[ident.Process]*sidecarClient{}, peers: map[string]*peer{},
		announce: make(chan struct{}, 1), evacuation: zones.NewHolder(cfg.EvacuateWithin > 0, registry),
	}
	if err := listen.Open(listen.Port{Name: "internal", Address: cfg.InternalAddress, Listener: &b.listener}); err != nil {
		return nil, err
	}
	b.listener = cfg.Ingress.Listen("internal", 0, b.listener)
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.self = wire.Peer{
		Process: ident.Process{Instance: cfg.Instance, Incarnation: randv2.Uint64()},
		Address: b.listener.Addr().String(), Zone: cfg.Zone,
	}
	if cfg.AdvertiseAddress != "" {
		b.self.Address = cfg.AdvertiseAddress
	}
	b.rpcServer.OnAcceptError = func(err error) { event.LogRateLimited(event.ConnectionNotAccepted, "err", err) }
	b.rpcServer.OnBadFrame = func(peer string, err error) {
		event.LogRateLimited(event.RPCFrameRejected, "peer", peer, "err", err)
	}
	b.updateMembers()
	b.compareUntil = clock.SinceBoot() + compareTime
	if err := b.rpcServer.Register(wire.ServiceBroker, &rpcService{b}); err != nil {
		b.listener.Close()
		return nil, errors.Trace(err)
	}
	b.mu.Lock() // the first tick may come before AfterFunc has returned
	b.tickTimer = time.AfterFunc(maxTickInterval, b.onTimer)
	b.mu.Unlock()
	return b, nil
}

// Address returns the address at which other processes reach the internal port.
func (b *Broker) Address() string { return b.self.Address }

// Ready reports whether the instance accepts requests: it has a configuration, an evacuation
// state unless evacuations are off, and a usable worker, and is not draining.
func (b *Broker) Ready() bool {
	return !b.draining.Load() && b.config.Table() != nil && b.evacuation.Ready() && b.usableWorkers.Load() > 0
}

// Draining reports whether StartDraining has been called.
func (b *Broker) Draining() bool { return b.draining.Load() }

// Run serves the internal port until Close.
func (b *Broker) Run() error {
	event.LogTo(klog.Background(), event.EntryStarted, "process", b.self.Process.String(), "internal", b.Address())
	for _, p := range b.cfg.PeerAddresses {
		b.AddPeer(p)
	}
	b.startExchangeRounds()
	return errors.Annotate(b.rpcServer.Serve(b.listener), "serve the internal port")
}

// StartDraining makes Ready return false, so that the load balancer opens no more
// connections to the instance. The instance still accepts jobs until Drain.
func (b *Broker) StartDraining() {
	if !b.draining.Swap(true) {
		event.LogTo(klog.Background(), event.EntryDraining, "instance", b.cfg.Instance)
	}
}

// drainPollInterval is the time between two checks whether a drain is complete.
const drainPollInterval = 10 * time.Millisecond

// Drain refuses new jobs and waits until all admitted jobs are answered. When ctx
// ends, Drain abandons the unanswered jobs, which answers them at once.
func (b *Broker) Drain(ctx context.Context) {
	b.withLock(func() { b.machine.Drain() })
	for {
		jobs := 0
		b.withLock(func() { jobs = b.unansweredJobs(ctx.Err() != nil) })
		if jobs == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// withLock calls f with mu held. It unlocks mu also if f panics, because the caller's
// deferred Close needs it while the process ends.
func (b *Broker) withLock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// unansweredJobs returns the number of unanswered jobs, after it has abandoned them if
// abandon is set; mu is held.
func (b *Broker) unansweredJobs(abandon bool) int {
	jobs := b.machine.UnansweredJobs()
	if !abandon || jobs == 0 {
		return jobs
	}
	now := clock.SinceBoot()
	b.machine.AbandonJobs(now)
	b.runMachine(now)
	return 0
}

// Close closes all connections and waits until the goroutines that exchange
// configurations with peers have ended.
func (b *Broker) Close() {
	b.cancel()
	b.rpcServer.Close()
	b.mu.Lock()
	b.tickTimer.Stop()
	for _, c := range b.sidecars {
		c.rpcClient.Close()
	}
	for _, p := range b.peers {
		p.rpcClient.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
	event.LogTo(klog.Background(), event.EntryStopped, "instance", b.cfg.Instance)
}

// runMachine calls the machine's Tick, carries out the machine's actions and
// schedules the next tick; mu is held.
func (b *Broker) runMachine(now time.Duration) {
	if paused := now - b.nextTick; b.nextTick > 0 && paused > clock.MinPause {
		event.LogRateLimited(event.PauseNoticed, "pausedMs", paused.Milliseconds(), "unansweredJobs", b.machine.UnansweredJobs())
	}
	next := b.machine.Tick(now)
	for _, a := range b.machine.Actions() {
		switch a := a.(type) {
		case placement.Batch:
			b.enqueueBatch(now, a)
		case placement.JobAnswer:
			b.deliverAnswer(a)
		case placement.WaitEnded:
			b.recordWait(a)
		case placement.CrashesLearned:
			b.tellPeers(a.Records)
		case placement.WorkerDescribed:
			event.LogRateLimited(event.WorkerDescribed, "sidecar", a.Info.Sidecar.Process.String(), "worker", a.Info.Worker, "born", a.Info.Incarnation,
				"service", a.Info.Service, "rack", a.Info.Rack, "labels", a.Info.Labels)
		}
	}
	b.scheduleTick(now, next)
}

// scheduleTick sets the timer to the time next or to maxTickInterval from now,
// whichever is earlier. A next of zero means that the machine needs no call. An
// earlier tick that is already scheduled stays; mu is held.
func (b *Broker) scheduleTick(now, next time.Duration) {
	if next == 0 || next > now+maxTickInterval {
		next = now + maxTickInterval
	}
	if b.nextTick > now && b.nextTick <= next {
		return
	}
	b.nextTick = next
	b.tickTimer.Reset(max(next-now, time.Millisecond))
}

// onTimer handles an expiry of tickTimer.
func (b *Broker) onTimer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	now := clock.SinceBoot()
	b.nextTick = 0
	b.runMachine(now)
	b.closeSilentClients(now)
	b.updateReadiness()
}

// updateReadiness counts the usable workers, logs a change of the readiness and
// updates the gauges; mu is held.
func (b *Broker) updateReadiness() {
	known, usable := b.machine.Workers()
	b.usableWorkers.Store(int64(usable))
	if ready := b.Ready(); ready != b.loggedReady {
		b.loggedReady = ready
		event.LogRateLimited(event.ReadinessChanged, "ready", ready, "workers", known, "usable", usable, "config", b.config.Version(), "draining", b.draining.Load())
	}
	if b.metrics != nil {
		b.metrics.Scope().Gauge("workers_usable").Update(float64(usable))
		b.metrics.Scope().Gauge("jobs_unanswered").Update(float64(b.machine.UnansweredJobs()))
		b.metrics.Scope().Gauge("placement_delay_seconds").Update(b.machine.PlacementDelay().Seconds())
	}
}
