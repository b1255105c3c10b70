// Package runner is the sidecar process for work under leases: it takes runs
// from entry instances, starts them on the worker beside it within the worker's
// capacity, and tells their owners how they end. It stops what it runs for an
// owner that is gone or out of contact, so that a job that its caller submits
// again elsewhere does not run twice.
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
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Config sets a sidecar up.
type Config struct {
	Instance, Zone  string
	InternalAddress string
	// Advertise is where other processes reach the internal port; empty if there.
	Advertise string
	// Entries are internal addresses of entry instances to begin with.
	Entries []string
	// MaxLease is the longest lease that the worker grants.
	MaxLease time.Duration
	// ReportInterval is the time between two reports of the worker.
	ReportInterval time.Duration
}

const (
	// beatInterval is the time between two heartbeats to an entry instance.
	beatInterval = 250 * time.Millisecond
	// callTimeout bounds a call to an entry instance.
	callTimeout = 350 * time.Millisecond
	// ownerSilence is the time without an answered heartbeat after which an
	// owner's runs are stopped. With the time to stop them it ends before the
	// owner takes this sidecar for silent and before a caller that got no answer
	// submits again.
	ownerSilence = 700 * time.Millisecond
	// reportsMissed is the number of missing reports after which the worker gets
	// no new runs.
	reportsMissed = 3
	// drainPoll is the time between two looks for the end of a drain.
	drainPoll = 10 * time.Millisecond
)

// Runner is one sidecar process.
type Runner struct {
	cfg     Config
	dial    func(address string) Worker
	metrics *metrics.Registry
	self    wire.Peer
	lis     net.Listener
	rpc     *rpcnet.Server
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	m      *occupancy.Machine
	driver *driver // nil without a worker
	report Report
	// reported is when the worker's newest report came.
	reported time.Duration
	left     bool
	// life is the birth of the life of the worker that answered the newest look.
	life    int64
	owners  map[ident.Process]*owner
	links   map[string]*link
	open    bool
	closing bool
	due     time.Duration // next tick
	timer   *time.Timer
}

// New opens the internal port of a sidecar. Dial makes the client of a worker;
// metrics may be nil.
func New(cfg Config, dial func(address string) Worker, m *metrics.Registry) (*Runner, error) {
	r := &Runner{
		cfg: cfg, dial: dial, metrics: m, rpc: rpcnet.NewServer(),
		m:      occupancy.New(occupancy.Config{}),
		owners: map[ident.Process]*owner{}, links: map[string]*link{},
	}
	if err := listen.Open(listen.Port{Name: "internal", Address: cfg.InternalAddress, Listener: &r.lis}); err != nil {
		return nil, err
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = wire.Peer{
		Process: ident.Process{Instance: cfg.Instance, Incarnation: rand.Uint64()},
		Address: r.lis.Addr().String(), Zone: cfg.Zone,
	}
	if cfg.Advertise != "" {
		r.self.Address = cfg.Advertise
	}
	r.rpc.OnBadFrame = func(peer string, err error) {
		event.LogRateLimited(event.RPCFrameRejected, "peer", peer, "err", err)
	}
	if err := r.rpc.Register(wire.ServiceRunner, &service{r}); err != nil {
		r.lis.Close()
		return nil, errors.Trace(err)
	}
	r.timer = time.AfterFunc(time.Hour, r.tick)
	return r, nil
}

// Address returns the internal address that other processes use.
func (r *Runner) Address() string { return r.self.Address }

// Run serves until ctx ends and drains for at most grace.
func (r *Runner) Run(ctx context.Context, grace time.Duration) error {
	event.LogTo(klog.Background(), event.SidecarStarted, "process", r.self.Process.String(), "internal", r.Address())
	failed := make(chan error, 1)
	r.wg.Go(func() {
		if err := r.rpc.Serve(r.lis); err != nil {
			failed <- err
		}
	})
	for _, a := range r.cfg.Entries {
		r.AddEntry(a)
	}
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		r.drain(grace)
	}
	r.cancel()
	r.rpc.Close()
	r.mu.Lock()
	r.timer.Stop()
	if r.driver != nil {
		r.driver.close()
	}
	for _, l := range r.links {
		l.client.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	event.LogTo(klog.Background(), event.SidecarStopped, "process", r.self.Process.String())
	return errors.Annotate(err, "serve the internal port")
}

// drain takes no new runs and waits until those at work have ended and their
// owners know.
func (r *Runner) drain(grace time.Duration) {
	r.mu.Lock()
	now := clock.SinceBoot()
	r.closing = true
	r.m.Drain(now)
	r.step(now)
	for _, l := range r.links {
		l.poke()
	}
	r.mu.Unlock()
	for end := time.Now().Add(grace); time.Now().Before(end); time.Sleep(drainPoll) {
		r.mu.Lock()
		idle := r.m.NumActive() == 0
		for _, o := range r.owners {
			idle = idle && len(o.ends) == 0
		}
		r.mu.Unlock()
		if idle {
			return
		}
	}
}

// enter locks the runner and first drops the owners that are out of contact:
// after a pause of the process nothing may be done for them.
func (r *Runner) enter() time.Duration {
	r.mu.Lock()
	now := clock.SinceBoot()
	r.checkOwners(now)
	return now
}

// leave carries out what the machine decided, and unlocks.
func (r *Runner) leave(now time.Duration) {
	r.step(now)
	r.mu.Unlock()
}

// step does what is due and carries out what the machine decided; mu is held.
func (r *Runner) step(now time.Duration) {
	next := r.m.Tick(now)
	for actions := r.m.Actions(); len(actions) > 0; actions = r.m.Actions() {
		for _, a := range actions {
			r.carryOut(now, a)
		}
	}
	r.arm(now, next)
	if open := r.m.AcceptsRuns(); open != r.open {
		r.open = open
		event.LogRateLimited(event.WorkerAvailabilityChanged, "open", open, "worker", r.report.ID, "closing", r.closing, "draining", r.report.Draining)
		for _, l := range r.links {
			l.poke()
		}
	}
}

func (r *Runner) carryOut(now time.Duration, a occupancy.Action) {
	switch a := a.(type) {
	case occupancy.StartRun:
		if r.driver == nil {
			r.m.StartAnswered(now, a.Run, occupancy.Rejected, "no worker")
			return
		}
		r.driver.order(a)
	case occupancy.StopRun:
		if r.driver != nil {
			r.driver.stop(a.Run)
		}
	case occupancy.ReportEnd:
		r.reportEnd(a)
	}
}

func (r *Runner) reportEnd(a occupancy.ReportEnd) {
	if r.metrics != nil {
		r.metrics.Scope().Tagged(map[string]string{"outcome": a.End.Outcome.String()}).Counter("runs_ended").Inc(1)
	}
	// Runs without room at once are many in an overload, and no fault: they are
	// counted here and by job in the line of its answer.
	if a.End.Outcome != work.Done && a.End.Outcome != work.NoRoom {
		event.LogRateLimited(event.RunEndedBadly, "job", a.End.Run.Task.Job, "task", a.End.Run.Task.Index, "attempt", a.End.Run.Attempt,
			"outcome", a.End.Outcome.String(), "reason", a.End.Reason, "runMs", a.End.RunMs, "worker", r.report.ID, "owner", a.Owner.Instance)
	}
	if o := r.owners[a.Owner]; o != nil {
		o.ends = append(o.ends, a.End)
		o.send()
	}
}

// arm sets the timer to the next time something is due.
func (r *Runner) arm(now, next time.Duration) {
	if next == 0 {
		return
	}
	if r.due > now && r.due <= next {
		return
	}
	r.due = next
	r.timer.Reset(max(next-now, time.Millisecond))
}

func (r *Runner) tick() {
	now := r.enter()
	r.due = 0
	r.leave(now)
}
