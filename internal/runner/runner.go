// Package runner runs a sidecar for tasks that run under leases. It accepts runs
// from entry instances, starts them on the worker on the same machine within the
// worker's capacity, and reports their ends to their owners, the entry instances
// that sent them. It stops the runs of an owner that has ended or is out of
// contact, so that a job that its caller submits again elsewhere does not run
// twice.
//
// The decisions are those of the state machine in package occupancy; this package
// does its I/O.
package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/failstop"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/zones"
)

// Config holds the settings of a sidecar.
type Config struct {
	Instance, Zone  string
	InternalAddress string
	// AdvertiseAddress is the address at which other processes reach the internal
	// port; empty selects the address of the listener.
	AdvertiseAddress string
	// EntryAddresses are the internal addresses of the entry instances to contact
	// at the start.
	EntryAddresses []string
	// MaxLease is the longest lease that the worker grants.
	MaxLease time.Duration
	// ReportInterval is the time between two reports of the worker.
	ReportInterval time.Duration
	// EvacuateWithin is the time in which an evacuation has to be in force; zero means that there
	// are no evacuations.
	EvacuateWithin time.Duration
	// Ingress bounds what arrives at the internal port; nil sets no bound.
	Ingress *ingress.Gate
}

const (
	// heartbeatInterval is the time from the newest contact with an owner that has runs
	// here to the next heartbeat, and idleHeartbeatInterval that for an entry instance
	// without runs here. Reports and batches count as contact, too.
	heartbeatInterval     = 250 * time.Millisecond
	idleHeartbeatInterval = time.Second
	// callTimeout is the timeout of a call to an entry instance.
	callTimeout = 350 * time.Millisecond
	// maxMissedReports is the number of report intervals without a report after
	// which the worker gets no new runs.
	maxMissedReports = 3
	// drainPollInterval is the time between two checks whether a drain is complete.
	drainPollInterval = 10 * time.Millisecond
)

// Runner is a sidecar for tasks that run under leases.
type Runner struct {
	cfg        Config
	dialWorker func(address string) WorkerClient
	metrics    *metrics.Registry
	self       wire.Peer
	listener   net.Listener
	rpcServer  *rpcnet.Server
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	mu         sync.Mutex // guards the fields below
	machine    *occupancy.Machine
	supervisor *supervisor // nil before the address of a worker is known
	report     Report
	// reportedAt is the time at which the newest report arrived, and workerLeft is
	// true if the worker has deregistered since then.
	reportedAt time.Duration
	workerLeft bool
	pending    pendingReport
	// described is the newest description of the worker, and description its number.
	described   wire.WorkerInfo
	description uint64
	// statusIncarnation is the worker incarnation that sent the newest status,
	// zero before the first one. It may differ from report.Incarnation.
	// statusRequestedAt is the time at which the newest status was requested.
	statusIncarnation int64
	statusRequestedAt time.Duration
	// exitedIncarnations are the newest of the worker incarnations that others have followed.
	exitedIncarnations []int64
	owners             map[ident.Process]*owner
	// crashes holds the crashes of the worker, for the entry instances.
	crashes    crashes.Log
	evacuation *zones.Holder
	// stateWaitEnds is the time until which the sidecar accepts no runs after its start unless it has
	// heard of the evacuation state, zero if it waits no longer.
	stateWaitEnds time.Duration
	// seeds are the addresses that AddEntry has added, and entries the clients of the
	// entry instances to which this sidecar attaches, by address.
	seeds       map[string]bool
	entries     map[string]*entryClient
	acceptsRuns bool // the value of machine.AcceptsRuns in the last log entry about it
	draining    bool
	nextTick    time.Duration // zero if none is scheduled
	tickTimer   *time.Timer
}

// New creates a sidecar and opens its internal port. dialWorker returns a client of
// the worker at an address. The registry may be nil.
func New(cfg Config, dialWorker func(address string) WorkerClient, registry *metrics.Registry) (*Runner, error) {
	r := &Runner{
		cfg: cfg, dialWorker: dialWorker, metrics: registry, rpcServer: rpcnet.NewServer(),
		machine: occupancy.New(occupancy.Config{}), evacuation: zones.NewHolder(cfg.EvacuateWithin > 0, registry),
		owners: map[ident.Process]*owner{}, seeds: map[string]bool{}, entries: map[string]*entryClient{},
	}
	if err := listen.Open(listen.Port{Name: "internal", Address: cfg.InternalAddress, Listener: &r.listener}); err != nil {
		return nil, err
	}
	r.listener = cfg.Ingress.Listen("internal", 0, r.listener)
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = wire.Peer{
		Process: ident.Process{Instance: cfg.Instance, Incarnation: rand.Uint64()},
		Address: r.listener.Addr().String(), Zone: cfg.Zone,
	}
	if cfg.EvacuateWithin > 0 {
		r.stateWaitEnds = clock.SinceBoot() + min(cfg.EvacuateWithin, maxStateWait)
	}
	if cfg.AdvertiseAddress != "" {
		r.self.Address = cfg.AdvertiseAddress
	}
	r.rpcServer.OnAcceptError = func(err error) { event.LogRateLimited(event.ConnectionNotAccepted, "err", err) }
	r.rpcServer.OnBadFrame = func(peer string, err error) {
		event.LogRateLimited(event.RPCFrameRejected, "peer", peer, "err", err)
	}
	if err := r.rpcServer.Register(wire.ServiceRunner, &rpcService{r}); err != nil {
		r.listener.Close()
		return nil, errors.Trace(err)
	}
	r.tickTimer = time.AfterFunc(time.Hour, r.onTimer)
	return r, nil
}

// Address returns the address at which other processes reach the internal port.
func (r *Runner) Address() string { return r.self.Address }

// Run serves the internal port until ctx ends, and then drains for at most grace.
func (r *Runner) Run(ctx context.Context, grace time.Duration) error {
	event.LogTo(klog.Background(), event.SidecarStarted, "process", r.self.Process.String(), "internal", r.Address())
	failed := make(chan error, 1)
	r.wg.Go(func() {
		if err := r.rpcServer.Serve(r.listener); err != nil {
			failed <- err
		}
	})
	for _, a := range r.cfg.EntryAddresses {
		r.AddEntry(a)
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		r.drain(grace)
	}
	r.cancel()
	r.rpcServer.Close()
	r.mu.Lock()
	r.tickTimer.Stop()
	if r.supervisor != nil {
		r.supervisor.close()
	}
	for _, c := range r.entries {
		c.rpcClient.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	event.LogTo(klog.Background(), event.SidecarStopped, "process", r.self.Process.String())
	return errors.Annotate(err, "serve the internal port")
}

// drain accepts no new runs and waits until the active runs have ended and their
// owners have acknowledged the ends, at most for grace.
func (r *Runner) drain(grace time.Duration) {
	r.mu.Lock()
	now := clock.SinceBoot()
	r.draining = true
	r.machine.Drain(now)
	r.runMachine(now)
	for _, c := range r.entries {
		c.wake()
	}
	r.mu.Unlock()
	for end := time.Now().Add(grace); time.Now().Before(end); time.Sleep(drainPollInterval) {
		r.mu.Lock()
		idle := r.machine.NumActive() == 0
		for _, o := range r.owners {
			idle = idle && len(o.pendingEnds) == 0
		}
		r.mu.Unlock()
		if idle {
			return
		}
	}
}

// lockAndDropSilentOwners locks mu, drops the owners that are out of contact and
// returns the current time. The drop precedes all other work, because an owner may
// have timed out during a pause of the process.
func (r *Runner) lockAndDropSilentOwners() time.Duration {
	r.mu.Lock()
	now := clock.SinceBoot()
	if paused := now - r.nextTick; r.nextTick > 0 && paused > clock.MinPause {
		event.LogRateLimited(event.PauseNoticed, "pausedMs", paused.Milliseconds(), "activeRuns", r.machine.NumActive())
		r.nextTick = 0
	}
	r.dropSilentOwners(now)
	return now
}

// runMachineAndUnlock calls runMachine and unlocks mu. If it is deferred and the caller
// panics, it only continues the panic: the state may be half changed, so nothing may act on
// it until the process has ended.
func (r *Runner) runMachineAndUnlock(now time.Duration) {
	defer failstop.OnPanic()
	if cause := recover(); cause != nil {
		panic(cause)
	}
	r.runMachine(now)
	r.mu.Unlock()
}

// runMachine calls the machine's Tick, carries out the machine's actions and
// schedules the next tick; mu is held.
func (r *Runner) runMachine(now time.Duration) {
	next := r.machine.Tick(now)
	if at := r.nextOwnerTimeout(); at > 0 && (next == 0 || at < next) {
		next = at
	}
	for actions := r.machine.Actions(); len(actions) > 0; actions = r.machine.Actions() {
		for _, a := range actions {
			r.carryOut(now, a)
		}
	}
	r.scheduleTick(now, next)
	r.announceRoom(now)
	if acceptsRuns := r.machine.AcceptsRuns(); acceptsRuns != r.acceptsRuns {
		r.acceptsRuns = acceptsRuns
		event.LogRateLimited(event.WorkerAvailabilityChanged, "open", acceptsRuns, "worker", r.report.ID, "closing", r.draining, "draining", r.report.Draining,
			"evacuated", r.zoneEvacuated())
		for _, c := range r.entries {
			c.wake()
		}
	}
}

// scheduleTick sets the timer to the time next, zero if no tick is needed. An
// earlier tick that is already scheduled stays; mu is held.
func (r *Runner) scheduleTick(now, next time.Duration) {
	if next == 0 {
		return
	}
	if r.nextTick > now && r.nextTick <= next {
		return
	}
	r.nextTick = next
	r.tickTimer.Reset(max(next-now, time.Millisecond))
}

// onTimer handles an expiry of tickTimer.
func (r *Runner) onTimer() {
	now := r.lockAndDropSilentOwners()
	r.nextTick = 0
	r.runMachineAndUnlock(now)
}
