package entry

import (
	"context"
	"math/rand"
	"sync/atomic"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/escrow"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
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
	// tickInterval drives deadlines and credit expiry.
	tickInterval = 5 * time.Millisecond
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
	losses   *membership.Grouper
	// gone are sidecar incarnations that ended, with the time.
	gone      map[ident.Process]time.Duration
	suspended bool
	last      time.Duration
	dueTick   time.Duration
	document  *resource.Document
	ledger    *escrow.Ledger
	// offer is true if limit share should be offered to peers at the next flush.
	offer bool
	// allocation is the newest limit allocation; it outlives an incarnation.
	allocation *escrow.Allocation
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
		losses: membership.NewGrouper(time.Second),
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
	c.ledger = escrow.New(p)
	c.ledger.Tick(now)
	if c.document != nil {
		c.ledger.SetDocument(c.document)
	}
	c.ledger.Apply(c.allocation)
	c.machine = dispatch.New(dispatch.Config{
		Self:          p,
		Zone:          c.e.cfg.Zone,
		CreditTTL:     c.e.cfg.CreditTTL,
		Waited:        c.e.observeWait,
		Limiter:       c.ledger,
		AcceptWindows: c.e.cfg.AcceptWindows,
		RetainWindows: c.e.cfg.RetainWindows,
		ResultBytes:   c.e.cfg.AnswerBytes,
	}, c.rnd)
	c.machine.SetWindow(now, c.window.Load())
	c.machine.Drain(c.draining.Load())
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-c.inputs:
			now := c.wake()
			in(now)
			c.more(now)
		case <-ticker.C:
			c.wake()
		}
		now := c.now()
		if now >= c.dueTick {
			c.tick(now)
			c.dueTick = now + tickInterval
		}
		c.flush(now)
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

// wake notices a pause of the process. An incarnation that was paused for
// longer than its lease may have been declared dead, so it ends.
func (c *core) wake() time.Duration {
	now := c.now()
	if gap := now - c.last; c.last > 0 && gap > c.e.cfg.SelfLease {
		c.e.log(event.EntryLoopGap, "gap", gap)
		c.restart(now)
	}
	c.last = now
	return now
}

// restart ends the incarnation: its jobs are answered with what is known,
// and a new incarnation begins.
func (c *core) restart(now time.Duration) {
	old := *c.self.Load()
	c.machine.Abandon(now)
	c.flush(now)
	c.retire(old)
	c.noteSidecars(old, c.linked())
	for p := range c.links {
		c.dropSidecar(p)
	}
	c.begin(now)
	c.e.log(event.EntryRestarted, "old", old.String(), "new", c.self.Load().String())
}

func (c *core) retire(p ident.Process) {
	if len(c.retired) >= retiredMachines {
		for q := range c.retired {
			delete(c.retired, q)
			break
		}
	}
	c.retired[p] = c.machine
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
	for _, l := range c.losses.Due(now, c.sidecars.In(membership.Live)) {
		c.e.log(lossEvents[l.Scope], "place", l.Place, "members", l.Members)
	}
	for p, at := range c.gone {
		if now-at > c.e.cfg.retention() {
			delete(c.gone, p)
		}
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

// checkLease suspends dispatching while fewer than half of the attached
// sidecars have acknowledged this incarnation within the lease.
func (c *core) checkLease(now time.Duration) {
	fresh := 0
	for _, s := range c.links {
		if s.acked >= 0 && now-s.acked <= c.e.cfg.SelfLease {
			fresh++
		}
	}
	suspend := len(c.links) > 0 && 2*fresh < len(c.links)
	if suspend != c.suspended {
		c.suspended = suspend
		c.machine.Suspend(now, suspend)
		if suspend {
			c.e.log(event.EntrySelfLeaseLost, "fresh", fresh, "attached", len(c.links))
		} else {
			c.e.log(event.EntrySelfLeaseRegained, "fresh", fresh, "attached", len(c.links))
		}
	}
}

// flush carries out the machine's actions and publishes the demand.
func (c *core) flush(now time.Duration) {
	if c.ledger.Changed() {
		c.machine.Wake(now)
	}
	for {
		actions := c.machine.Actions()
		d := c.machine.Demand(now)
		c.demand.Store(&d)
		if len(actions) == 0 {
			break
		}
		for _, a := range actions {
			c.carryOut(now, a)
		}
	}
	c.moveShares(now)
}

func (c *core) carryOut(now time.Duration, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Dispatch:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.dispatch(a.Starts)
		} else {
			c.machine.DispatchFailed(now, a.Sidecar, a.Starts, false)
		}
	case dispatch.Fence:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.fence(a.Starts)
		} else {
			c.machine.FenceReply(now, a.Sidecar, a.Starts, wire.FenceReply{Gone: true})
		}
	case dispatch.Answered:
		c.answered(a)
	case dispatch.TellDemand:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.tell()
		}
	case dispatch.ReturnCredits:
		if s := c.links[a.Sidecar]; s != nil {
			s.link.giveBack(a.Credits)
		}
	case dispatch.Notice:
		c.notice(now, a)
	}
}

func (c *core) answered(a dispatch.Answered) {
	for _, w := range c.waiters[a.ID] {
		w <- a.Answer
	}
	delete(c.waiters, a.ID)
	c.e.observeJob(a)
}

func (c *core) demandNow() []wire.Demand {
	if d := c.demand.Load(); d != nil {
		return *d
	}
	return nil
}
