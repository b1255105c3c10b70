package runner

import (
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// link is the connection to the entry instance at one address.
type link struct {
	r       *Runner
	address string
	client  *rpcnet.Client
	wake    chan struct{}
	// owner is the process that answered last, nil before; guarded by Runner.mu.
	owner *owner
	// failing since when calls fail, zero if they don't.
	failing time.Duration
}

// AddEntry begins sending heartbeats to an entry instance.
func (r *Runner) AddEntry(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addEntry(address)
}

func (r *Runner) addEntry(address string) {
	if address == "" || r.links[address] != nil || r.ctx.Err() != nil {
		return
	}
	l := &link{r: r, address: address, client: rpcnet.NewClient(address), wake: make(chan struct{}, 1)}
	l.client.OnDisconnect = l.poke
	r.links[address] = l
	r.wg.Go(l.run)
}

// poke makes the next heartbeat due at once.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

const (
	// maxBeatPause bounds the pause between heartbeats to an entry instance that
	// does not answer.
	maxBeatPause = time.Second
	// forgetAfter is how long an entry instance may fail before it is forgotten;
	// it is added again when it is named again.
	forgetAfter = time.Minute
)

// run sends heartbeats until the runner ends.
func (l *link) run() {
	pause := beatInterval
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		switch ok, forgotten := l.beat(); {
		case forgotten:
			return
		case ok:
			pause = beatInterval
		default:
			pause = min(pause*3/2, maxBeatPause)
		}
		timer.Reset(pause)
		select {
		case <-l.r.ctx.Done():
			return
		case <-timer.C:
		case <-l.wake:
		}
	}
}

// beat sends one heartbeat.
func (l *link) beat() (ok, forgotten bool) {
	r := l.r
	sent := r.enter()
	r.refresh(sent)
	o := l.owner
	if o != nil && !o.live && r.m.HasRunsOf(o.process) {
		// A new session may begin only when nothing of the old one runs.
		r.leave(sent)
		return true, false
	}
	b := wire.RunnerHeartbeat{Info: r.info(), Load: r.load(sent, o), SidecarClockMs: sent.Milliseconds()}
	if o != nil {
		b.Session = o.session
	}
	r.gauge(&b.Load)
	r.leave(sent)
	var reply wire.RunnerHeartbeatReply
	err := l.client.CallWithTimeout(r.ctx, callTimeout, wire.ServiceBroker+".Beat", &b, &reply)
	now := r.enter()
	defer r.leave(now)
	if err != nil {
		return false, l.failed(now, err)
	}
	l.failing = 0
	l.answered(now, sent, b.Session, &reply)
	return true, false
}

// gauge updates the metrics of the worker's room; mu is held.
func (r *Runner) gauge(l *wire.Load) {
	if r.metrics == nil {
		return
	}
	scope := r.metrics.Scope()
	scope.Gauge("worker_free_millicpu").Update(float64(l.Free.MilliCPU))
	scope.Gauge("worker_queued_millicpu").Update(float64(l.QueuedMilliCPU[0] + l.QueuedMilliCPU[1] + l.QueuedMilliCPU[2]))
	scope.Gauge("worker_slowness").Update(l.Slowness)
}

// failed takes an unanswered heartbeat and reports whether the link ends.
func (l *link) failed(now time.Duration, err error) bool {
	if l.owner != nil && errors.Is(err, syscall.ECONNREFUSED) {
		l.r.dropOwner(now, l.owner, "the process has ended", now-l.owner.contact)
	}
	if l.failing == 0 {
		l.failing = now
	}
	if now-l.failing < forgetAfter || l.owner != nil && l.owner.live {
		return false
	}
	delete(l.r.links, l.address)
	if l.owner != nil {
		delete(l.r.owners, l.owner.process)
	}
	l.client.Close()
	return true
}

// answered takes the answer to a heartbeat; mu is held.
func (l *link) answered(now, sent time.Duration, session uint64, reply *wire.RunnerHeartbeatReply) {
	r := l.r
	if l.owner == nil || l.owner.process != reply.Entry {
		if l.owner != nil {
			r.dropOwner(now, l.owner, "another process answers", 0)
			if !r.m.HasRunsOf(l.owner.process) {
				delete(r.owners, l.owner.process)
			}
		}
		o := r.owners[reply.Entry]
		if o == nil {
			o = &owner{r: r, process: reply.Entry, session: session}
			r.owners[reply.Entry] = o
		}
		o.link = l
		l.owner = o
	}
	o := l.owner
	if o.session != session {
		l.poke() // it was dropped meanwhile; the next heartbeat tells
		return
	}
	if now-sent > ownerSilence {
		return
	}
	o.contact = max(o.contact, sent)
	if !o.live {
		o.live = true
		event.LogRateLimited(event.OwnerInContact, "owner", o.process.String(), "address", l.address, "session", session)
	}
	for _, p := range reply.Peers {
		r.addEntry(p)
	}
	r.arm(now, o.contact+ownerSilence+time.Millisecond)
}

func (r *Runner) info() wire.WorkerInfo {
	i := wire.WorkerInfo{Sidecar: r.self}
	if r.driver != nil && !r.left {
		i.Worker, i.Service, i.Rack, i.Labels = r.report.ID, r.report.Service, r.report.Rack, r.report.Labels
	}
	return i
}
