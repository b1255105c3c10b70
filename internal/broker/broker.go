// Package broker is the entry instance for work under leases: it admits jobs,
// places their tasks on workers through the sidecars beside them, and answers
// each job when its last task has ended.
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
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/listen"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Config sets an entry instance up.
type Config struct {
	Instance, Zone  string
	InternalAddress string
	// Advertise is where other processes reach the internal port; empty if there.
	Advertise string
	// Peers are internal addresses of entry instances to begin with; the own one
	// may be among them.
	Peers []string
	// Seed of the random choices; zero selects one.
	Seed int64
}

// Broker is one entry instance.
type Broker struct {
	cfg     Config
	self    wire.Peer
	lis     net.Listener
	rpc     *rpcnet.Server
	config  *queues.Controller
	metrics *metrics.Registry
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	m       *placement.Machine
	waiters map[string]chan work.Answer
	links   map[ident.Process]*link
	peers   map[string]*peer
	due     time.Duration
	ready   bool // as logged last
	timer   *time.Timer

	draining atomic.Bool
	// usable is the number of workers that took work when the last message came.
	usable atomic.Int64
}

// silenceCheck is the time between two checks for silent workers.
const silenceCheck = 150 * time.Millisecond

// New opens the internal port of an entry instance. Metrics may be nil.
func New(cfg Config, config *queues.Controller, m *metrics.Registry) (*Broker, error) {
	if cfg.Seed == 0 {
		cfg.Seed = randv2.Int64()
	}
	b := &Broker{
		cfg: cfg, config: config, metrics: m, rpc: rpcnet.NewServer(),
		m:       placement.New(placement.Config{Zone: cfg.Zone}, rand.New(rand.NewSource(cfg.Seed))),
		waiters: map[string]chan work.Answer{}, links: map[ident.Process]*link{}, peers: map[string]*peer{},
	}
	if err := listen.Open(listen.Port{Name: "internal", Address: cfg.InternalAddress, Listener: &b.lis}); err != nil {
		return nil, err
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.self = wire.Peer{
		Process: ident.Process{Instance: cfg.Instance, Incarnation: randv2.Uint64()},
		Address: b.lis.Addr().String(), Zone: cfg.Zone,
	}
	if cfg.Advertise != "" {
		b.self.Address = cfg.Advertise
	}
	b.rpc.OnBadFrame = func(peer string, err error) {
		event.LogRateLimited(event.RPCFrameRejected, "peer", peer, "err", err)
	}
	if err := b.rpc.Register(wire.ServiceBroker, &service{b}); err != nil {
		b.lis.Close()
		return nil, errors.Trace(err)
	}
	b.timer = time.AfterFunc(silenceCheck, b.tick)
	return b, nil
}

// Address returns the internal address that other processes use.
func (b *Broker) Address() string { return b.self.Address }

// Ready reports whether the instance takes requests: it has a configuration,
// knows a worker and does not drain.
func (b *Broker) Ready() bool {
	return !b.draining.Load() && b.config.Table() != nil && b.usable.Load() > 0
}

// Draining reports whether the instance is about to end.
func (b *Broker) Draining() bool { return b.draining.Load() }

// Run serves the internal port until Close.
func (b *Broker) Run() error {
	event.LogTo(klog.Background(), event.EntryStarted, "process", b.self.Process.String(), "internal", b.Address())
	for _, p := range b.cfg.Peers {
		b.AddPeer(p)
	}
	return errors.Annotate(b.rpc.Serve(b.lis), "serve the internal port")
}

// StartDraining makes the instance tell the balancer that it takes no more
// connections. It still accepts what arrives.
func (b *Broker) StartDraining() {
	if !b.draining.Swap(true) {
		event.LogTo(klog.Background(), event.EntryDraining, "instance", b.cfg.Instance)
	}
}

// drainPoll is the time between two looks for the end of a drain.
const drainPoll = 10 * time.Millisecond

// Drain refuses new jobs and waits until all have their answers; those without
// one when ctx ends are answered with what is known.
func (b *Broker) Drain(ctx context.Context) {
	b.mu.Lock()
	b.m.Drain()
	b.mu.Unlock()
	for {
		b.mu.Lock()
		jobs := b.m.UnansweredJobs()
		if ctx.Err() != nil && jobs > 0 {
			now := clock.SinceBoot()
			b.m.AbandonJobs(now)
			b.step(now)
			jobs = 0
		}
		b.mu.Unlock()
		if jobs == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// Close ends the instance.
func (b *Broker) Close() {
	b.cancel()
	b.rpc.Close()
	b.mu.Lock()
	b.timer.Stop()
	for _, l := range b.links {
		l.client.Close()
	}
	for _, p := range b.peers {
		p.client.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
	event.LogTo(klog.Background(), event.EntryStopped, "instance", b.cfg.Instance)
}

// Submit runs a job and returns its answer. Left is closed when the caller does
// not wait any more.
func (b *Broker) Submit(job *work.Job, left <-chan struct{}) work.Answer {
	b.mu.Lock()
	now := clock.SinceBoot()
	refused, ok := b.m.Submit(now, job)
	if !ok {
		room := b.m.ServiceLoad(now, job.Service)
		b.mu.Unlock()
		b.refusedJob(job, refused, room)
		return refused
	}
	answered := make(chan work.Answer, 1)
	b.waiters[job.ID] = answered
	b.step(now)
	b.mu.Unlock()
	select {
	case a := <-answered:
		return a
	case <-left:
	}
	b.mu.Lock()
	now = clock.SinceBoot()
	b.m.CallerLeft(now, job.ID)
	b.step(now)
	b.mu.Unlock()
	return <-answered
}

func (b *Broker) refusedJob(job *work.Job, a work.Answer, room placement.ServiceLoad) {
	tasks, need := 0, int64(0)
	for _, s := range job.Steps {
		tasks += s.Count
		need += int64(s.Count) * s.Need.MilliCPU
	}
	event.LogRateLimited(event.JobRefused, "job", job.ID, "queue", job.Queue, "rank", job.Rank, "reason", string(a.Reason), "state", a.State.String(),
		"retryAfterMs", a.RetryAfter.Milliseconds(), "tasks", tasks, "needMilliCPU", need, "freeMilliCPU", room.FreeMilliCPU,
		"queuedMilliCPU", room.QueuedMilliCPU, "usable", room.UsableWorkers, "oldestMs", room.OldestSummary.Milliseconds(), "config", b.config.Version())
	if b.metrics != nil {
		b.metrics.Class(job.Queue, "").Refused.Add(string(a.Reason), 1)
	}
}

// step carries out what the machine decided; mu is held.
func (b *Broker) step(now time.Duration) {
	next := b.m.Tick(now)
	for _, a := range b.m.Actions() {
		switch a := a.(type) {
		case placement.Batch:
			b.send(now, a)
		case placement.JobAnswer:
			b.answered(a)
		}
	}
	b.arm(now, next)
}

func (b *Broker) answered(a placement.JobAnswer) {
	if ch := b.waiters[a.JobID]; ch != nil {
		delete(b.waiters, a.JobID)
		ch <- a.Answer
	}
	f := &a.Stats
	pairs := []any{"job", a.JobID, "queue", f.Queue, "state", a.Answer.State.String(), "tasks", f.Tasks, "done", f.DoneTasks,
		"starts", f.Runs, "returns", f.NoRoomEnds, "elapsedMs", f.Elapsed.Milliseconds(), "config", b.config.Version()}
	if a.Answer.Reason != work.ReasonNone {
		pairs = append(pairs, "reason", string(a.Answer.Reason))
	}
	if f.LastWorker != "" {
		pairs = append(pairs, "lastOutcome", f.LastOutcome.String(), "lastReason", f.LastReason, "lastWorker", f.LastWorker)
	}
	event.LogRateLimited(event.JobAnswered, pairs...)
	if b.metrics != nil {
		c := b.metrics.Class(f.Queue, "")
		c.Jobs.Add(a.Answer.State.String(), 1)
		c.Response.Record(f.Elapsed)
	}
}

// arm sets the timer to the next time something is due; mu is held.
func (b *Broker) arm(now, next time.Duration) {
	if next == 0 || next > now+silenceCheck {
		next = now + silenceCheck
	}
	if b.due > now && b.due <= next {
		return
	}
	b.due = next
	b.timer.Reset(max(next-now, time.Millisecond))
}

func (b *Broker) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	now := clock.SinceBoot()
	b.due = 0
	b.step(now)
	b.noteWorkers()
}

// noteWorkers counts the workers that take work and logs a change of the
// readiness; mu is held.
func (b *Broker) noteWorkers() {
	known, usable := b.m.Workers()
	b.usable.Store(int64(usable))
	if ready := b.Ready(); ready != b.ready {
		b.ready = ready
		event.LogRateLimited(event.ReadinessChanged, "ready", ready, "workers", known, "usable", usable, "config", b.config.Version(), "draining", b.draining.Load())
	}
	if b.metrics != nil {
		b.metrics.Scope().Gauge("workers_usable").Update(float64(usable))
		b.metrics.Scope().Gauge("jobs_unanswered").Update(float64(b.m.UnansweredJobs()))
	}
}
