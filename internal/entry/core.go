package entry

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/decision/membership"
	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// coreQueue is the number of inputs that may wait for the core loop.
	coreQueue = 8192
	// coreBatch is the number of inputs handled before actions are carried out.
	coreBatch = 256
	// tickInterval drives deadlines and credit expiry while there are jobs.
	tickInterval = 5 * time.Millisecond
	// idleInterval is the tick without jobs, when only the expiry of credits,
	// leases and members is left. At 200 ticks a second an idle process took
	// more than 1% of a core.
	idleInterval = 50 * time.Millisecond
	// retiredMachines is the number of earlier incarnations whose answers are kept.
	retiredMachines = 4
)

// lossEvents are the events of grouped losses.
var lossEvents = map[membership.Scope]*event.Event{
	membership.ScopeProcess: event.ProcessLost,
	membership.ScopeRack:    event.RackLost,
	membership.ScopeZone:    event.ZoneLost,
}

// input is one event for the core loop.
type input func(now time.Duration)

// core owns the decision machines and the membership tables. All its fields
// but the atomics belong to the goroutine of run.
type core struct {
	e      *Entry
	inputs chan input
	done   chan struct{}

	rnd      *rand.Rand
	machine  *dispatch.Machine
	retired  map[ident.Process]*dispatch.Machine
	waiters  map[string][]chan jobapi.JobAnswer
	sidecars *membership.Table
	links    map[ident.Process]*attached
	entries  *membership.Table
	peers    map[ident.Process]*peerState
	losses   *membership.LossGrouper
	// gone are sidecar incarnations that ended, with the time.
	gone      map[ident.Process]time.Duration
	suspended bool
	last      time.Duration
	dueTick   time.Duration
	document  *resource.Document
	ledger    *limit.Limiter
	// offer is true if limit share should be offered to peers at the next flush.
	offer bool
	// allocation is the newest limit allocation; it outlives an incarnation.
	allocation *limit.Allocation
	// missing holds when a holder of limit shares was first found not live.
	missing map[string]time.Duration
	// reclaims holds what is known of dead holders, and deadline the longest
	// deadline of any kind so far.
	reclaims map[ident.Process]*reclaim
	deadline time.Duration
	// unlisted are sidecars that a peer listed earlier.
	unlisted map[ident.Process]listing

	// self, window, demand and view are read by other goroutines.
	self     atomic.Pointer[ident.Process]
	window   atomic.Uint64
	demand   atomic.Pointer[[]wire.Demand]
	view     atomic.Pointer[view]
	draining atomic.Bool
}

func newCore(e *Entry) *core {
	c := &core{
		e:       e,
		inputs:  make(chan input, coreQueue),
		done:    make(chan struct{}),
		rnd:     rand.New(rand.NewSource(int64(e.cfg.Seed))),
		retired: map[ident.Process]*dispatch.Machine{},
		waiters: map[string][]chan jobapi.JobAnswer{},
		links:   map[ident.Process]*attached{},
		peers:   map[ident.Process]*peerState{},
		gone:    map[ident.Process]time.Duration{},
		missing: map[string]time.Duration{}, reclaims: map[ident.Process]*reclaim{}, unlisted: map[ident.Process]listing{},
		losses: membership.NewLossGrouper(time.Second),
	}
	bounds := membership.Config{SilentAfter: e.cfg.SilentAfter, DeadAfter: e.cfg.GoneAfter, Retain: e.cfg.retention()}
	// A sidecar that was cut off still has its ledger and may return.
	bounds.MayReturn = true
	c.sidecars = membership.New(bounds)
	bounds.MayReturn = false
	// A silent entry instance may be cut off for minutes with its region; it is
	// declared dead earlier only when that is needed and safe.
	bounds.DeadAfter = max(e.cfg.ReclaimAfter, e.cfg.GoneAfter)
	c.entries = membership.New(bounds)
	c.document = e.config.Document()
	c.begin(0)
	return c
}

// begin starts a new incarnation with an empty machine.
func (c *core) begin(now time.Duration) {
	p := ident.Process{Instance: c.e.cfg.Instance, Incarnation: c.rnd.Uint64()}
	c.self.Store(&p)
	c.ledger = limit.NewLimiter(p)
	c.ledger.Tick(now)
	if c.document != nil {
		c.ledger.SetDocument(c.document)
	}
	c.ledger.Apply(c.allocation)
	c.machine = dispatch.New(dispatch.Config{
		Self:          p,
		Zone:          c.e.cfg.Zone,
		CreditTTL:     c.e.cfg.CreditTTL,
		ObserveWait:   c.e.observeWait,
		Limiter:       c.ledger,
		AcceptWindows: c.e.cfg.AcceptWindows,
		RetainWindows: c.e.cfg.RetainWindows,
		ResultBytes:   c.e.cfg.AnswerBytes,
	}, c.rnd)
	c.machine.SetWindow(now, c.window.Load())
	c.machine.SetDraining(c.draining.Load())
	if c.document != nil {
		c.machine.SetDocument(now, c.document)
	}
	c.publish()
}

// now returns the time since the process started.
func (c *core) now() time.Duration { return time.Since(c.e.start) }

// post hands an input to the core loop without waiting for it.
func (c *core) post(in input) {
	select {
	case c.inputs <- in:
	case <-c.done:
	}
}

// call runs an input in the core loop and waits for it; it returns false if
// the loop has ended.
func (c *core) call(in input) bool {
	ran := make(chan struct{})
	c.post(func(now time.Duration) {
		in(now)
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

// run is the core loop.
func (c *core) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-c.inputs:
			now := c.wake()
			in(now)
			c.more(now)
		case <-timer.C:
			c.wake()
		}
		now := c.now()
		if now >= c.dueTick {
			c.tick(now)
			c.dueTick = now + tickInterval
		}
		c.flush(now)
		timer.Reset(c.pause(now))
	}
}

// more handles further waiting inputs, up to a batch.
func (c *core) more(now time.Duration) {
	for range coreBatch {
		select {
		case in := <-c.inputs:
			in(now)
		default:
			return
		}
	}
}

func (c *core) tick(now time.Duration) {
	if w := uint64(now / c.e.cfg.Window); w != c.window.Load() {
		c.window.Store(w)
		c.machine.SetWindow(now, w)
	}
	c.reload(now)
	c.sidecars.Tick(now)
	c.entries.Tick(now)
	c.follow(now)
	c.checkLease(now)
	c.ledger.Tick(now)
	c.machine.Tick(now)
	c.offer = true
	for _, l := range c.losses.TakeDue(now, c.sidecars.InState(membership.Live)) {
		c.e.log(lossEvents[l.Scope], "place", l.Place, "members", l.Members)
	}
	forgotten := false
	for p, at := range c.gone {
		if now-at > c.e.cfg.retention() {
			delete(c.gone, p)
			forgotten = true
		}
	}
	if forgotten {
		c.publish()
	}
}

// reload takes a new configuration document.
func (c *core) reload(now time.Duration) {
	doc := c.e.config.Document()
	if doc == nil || doc == c.document {
		return
	}
	c.document = doc
	c.ledger.SetDocument(doc)
	c.machine.SetDocument(now, doc)
}

// inForce returns the revision in force at this process: the document's, once
// its limits are allocated.
func (c *core) inForce() uint64 {
	if c.document == nil {
		return 0
	}
	if len(c.ledger.Limits()) == 0 {
		return c.document.Revision
	}
	if c.allocation == nil {
		return 0
	}
	return min(c.document.Revision, c.allocation.Revision)
}
