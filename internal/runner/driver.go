package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// orderTimeout bounds a start or stop. Workers answer in about a millisecond.
	orderTimeout = 40 * time.Millisecond
	// lookWait is how long a look waits for an end, and lookTimeout what is
	// added to it for the answer. Ends go unseen for their sum when a look is
	// not answered.
	lookWait    = 40 * time.Millisecond
	lookTimeout = 40 * time.Millisecond
	// lookPause is the pause after a look that failed at once.
	lookPause = 30 * time.Millisecond
	// contactLost is the time without an answered look after which the worker
	// gets no runs and its leases are not extended. Single looks go unanswered
	// by workers that are well otherwise.
	contactLost = 500 * time.Millisecond
	// leaseMargin is kept between the lease that is asked for and the longest.
	leaseMargin = 50 * time.Millisecond
	// lapseMargin is added to a lease before it is taken for lapsed: a worker's
	// clock may be 2% slow, and an order is on its way for a while.
	lapseMargin = 70 * time.Millisecond
	// fenceStep raises the token above one that an earlier process used while
	// its clock was ahead.
	fenceStep = int64(10 * time.Minute / time.Millisecond)
)

// driver calls one life of the worker. The fields are guarded by Runner.mu.
type driver struct {
	r      *Runner
	worker Worker
	token  int64
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	seen uint64
	// clock is the worker's clock less this machine's, known from the first
	// answer on.
	clock      time.Duration
	clockKnown bool
	// contact is true while looks are answered; leases are extended only then.
	contact bool
	// answered is when a look was answered last, or the first one was sent.
	answered time.Duration
	// lapses is when the leases that were asked for have lapsed for sure.
	lapses time.Duration
	// unacked is true if ends were listed that no look has acknowledged.
	unacked bool
}

// startDriver begins to drive the worker at an address; mu is held.
func (r *Runner) startDriver(address string) {
	if r.driver != nil {
		r.driver.close()
	}
	// The clock of the process start orders the tokens of the processes on this
	// machine; the worker remembers the highest.
	d := &driver{r: r, worker: r.dial(address), token: time.Now().UnixMilli(), wake: make(chan struct{}, 1)}
	d.ctx, d.cancel = context.WithCancel(r.ctx)
	r.driver = d
	r.wg.Go(d.run)
}

func (d *driver) close() {
	d.cancel()
	d.worker.Close()
}

// until returns the end of a lease that begins now, on the worker's clock.
func (d *driver) until(now time.Duration) int64 {
	lease := d.r.cfg.MaxLease - leaseMargin
	d.lapses = max(d.lapses, now+lease+lapseMargin)
	return (now + d.clock + lease).Milliseconds()
}

// learnClock takes the worker's clock from an answer that tells it; zero is the
// first millisecond of a life.
func (d *driver) learnClock(now time.Duration, ms int64) {
	d.clock, d.clockKnown = time.Duration(ms)*time.Millisecond-now, true
}

// order sends a start; mu is held.
func (d *driver) order(o occupancy.StartRun) {
	call := StartOrder{Worker: d.r.report.ID, Run: o.Run, Payload: o.Payload, Token: d.token, Until: d.until(clock.SinceBoot())}
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		a := d.worker.Start(ctx, call)
		d.ordered(o.Run, a)
	}()
}

func (d *driver) ordered(run work.RunID, a StartAnswer) {
	r := d.r
	now := r.enter()
	defer r.leave(now)
	if r.driver != d {
		return
	}
	if a.ClockMs > 0 { // answers to orders may lack it
		d.learnClock(now, a.ClockMs)
	}
	if a.Fenced {
		d.token += fenceStep
	}
	if a.Result == occupancy.Unanswered {
		event.LogRateLimited(event.OrderUnanswered, "order", "start", "job", run.Task.Job, "task", run.Task.Index, "worker", r.report.ID, "reason", a.Reason)
	}
	r.m.StartAnswered(now, run, a.Result, a.Reason)
	d.poke()
}

// stop sends a stop; mu is held.
func (d *driver) stop(run work.RunID) {
	token := d.token
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		err := d.worker.Stop(ctx, run, token)
		r := d.r
		now := r.enter()
		defer r.leave(now)
		if r.driver != d {
			return
		}
		if err != nil {
			event.LogRateLimited(event.OrderUnanswered, "order", "stop", "job", run.Task.Job, "task", run.Task.Index, "worker", r.report.ID, "err", err)
			return
		}
		r.m.StopConfirmed(now, run)
		d.poke()
	}()
}

func (d *driver) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run looks at the worker while anything may be at work there. One look is
// under way at a time, so that their answers come in order.
func (d *driver) run() {
	failures, refused := 0, 0
	for d.ctx.Err() == nil {
		o, asked := d.nextLook()
		ctx, cancel := context.WithTimeout(d.ctx, o.Wait+lookTimeout)
		a, err := d.worker.Look(ctx, o)
		cancel()
		if d.ctx.Err() != nil {
			return
		}
		if err == nil {
			failures, refused = 0, 0
			if d.looked(asked, a) {
				d.idle()
			}
			continue
		}
		failures++
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		} else {
			refused = 0
		}
		d.failed(err, failures, refused)
		if !errors.Is(err, context.DeadlineExceeded) {
			clock.Sleep(d.ctx, lookPause)
		}
	}
}

// nextLook composes the next question.
func (d *driver) nextLook() (LookOrder, time.Duration) {
	r := d.r
	now := r.enter()
	defer r.leave(now)
	o := LookOrder{Token: d.token, Seen: d.seen}
	d.unacked = false
	if d.contact && d.clockKnown && r.m.NumActive() > 0 {
		o.Until = d.until(now)
		o.Wait = lookWait
	}
	return o, now
}

// looked takes an answer and reports whether nothing is left to look for.
func (d *driver) looked(asked time.Duration, a LookAnswer) bool {
	r := d.r
	now := r.enter()
	defer r.leave(now)
	if r.driver != d {
		return false
	}
	if a.Fenced {
		d.token += fenceStep
		return false
	}
	r.answeredBy(now, a.Born)
	d.learnClock(now, a.ClockMs)
	d.contact = true
	d.answered = now
	if a.Newest > d.seen {
		d.seen = a.Newest
		d.unacked = true
	}
	r.m.ApplyStatus(now, occupancy.WorkerStatus{RequestedAt: asked, Running: a.Running, Ended: a.Ended})
	r.refresh(now)
	return !d.unacked && r.m.NumActive() == 0
}

// idle waits until something may be at work again.
func (d *driver) idle() {
	select {
	case <-d.wake:
	case <-d.ctx.Done():
	}
	now := d.r.enter()
	d.answered = now
	d.r.leave(now)
}

// failed takes an unanswered look.
func (d *driver) failed(err error, failures, refused int) {
	const certain = 2 // refused connections in a row that prove that the worker has ended
	r := d.r
	now := r.enter()
	defer r.leave(now)
	if r.driver != d {
		return
	}
	event.LogRateLimited(event.OrderUnanswered, "order", "look", "worker", r.report.ID, "failures", failures, "err", err)
	if refused >= certain {
		d.contact = false
		r.m.WorkerExited(now)
	}
	if now-d.answered > contactLost {
		d.contact = false
	}
	if !d.contact && now > d.lapses {
		r.m.LeasesExpired(now)
	}
	r.refresh(now)
}
