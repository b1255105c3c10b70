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
)

const (
	// inputQueueLength is the maximum number of inputs that wait for the core loop.
	inputQueueLength = 8192
	// inputBatchSize is the maximum number of waiting inputs that the core loop
	// handles after the input that woke it, before it executes the actions.
	inputBatchSize = 256
	// tickInterval is the time between ticks while there are unanswered jobs. A
	// tick checks deadlines and the expiry of credits.
	tickInterval = 5 * time.Millisecond
	// idleTickInterval is the time between ticks while there are no unanswered jobs
	// and no inputs, when a tick checks only the expiry of credits, leases and
	// members. With 200 ticks per second an idle process uses more than 1% of a core.
	idleTickInterval = 50 * time.Millisecond
	// maxRetiredMachines is the number of earlier incarnations whose answers are
	// kept.
	maxRetiredMachines = 4
)

// lossEvents are the events that report grouped losses, by scope.
var lossEvents = map[membership.Scope]*event.Event{
	membership.ScopeProcess: event.ProcessLost,
	membership.ScopeRack:    event.RackLost,
	membership.ScopeZone:    event.ZoneLost,
}

// input is a function that the core loop runs.
type input func(now time.Duration)

// core owns the dispatch machines and the membership tables. Only the goroutine
// of run may use its fields, except for the atomic ones.
type core struct {
	e      *Entry
	inputs chan input
	done   chan struct{}

	rnd              *rand.Rand
	machine          *dispatch.Machine
	retiredMachines  map[ident.Process]*dispatch.Machine
	waiters          map[string][]chan jobapi.JobAnswer
	sidecarTable     *membership.Table
	attachedSidecars map[ident.Process]*attachedSidecar
	entryTable       *membership.Table
	peers            map[ident.Process]*peerState
	lossGrouper      *membership.LossGrouper
	// goneSidecars holds when each sidecar incarnation was found to have ended or was
	// declared dead, here or at a peer. A dead sidecar that becomes live again is
	// removed from it.
	goneSidecars map[ident.Process]time.Duration
	suspended    bool
	lastWakeTime time.Duration
	nextTick     time.Duration
	document     *resource.Document
	limiter      *limit.Limiter
	// shareTransferDue is true if the next executeActions transfers idle limit share
	// to the peers that demand it.
	shareTransferDue bool
	// allocation is the newest limit allocation. A new incarnation keeps it.
	allocation *limit.Allocation
	// missingSince holds when each holder of limit shares was first found not to
	// be live.
	missingSince map[string]time.Duration
	// deadHolders are the holders of limit shares whose incarnations have ended.
	deadHolders map[ident.Process]*deadHolder
	// longestKindDeadline is the longest deadline that updateLongestDeadline has
	// found so far.
	longestKindDeadline time.Duration
	// formerSidecars are the sidecars of the lists that peers have replaced by newer
	// lists.
	formerSidecars map[ident.Process]formerSidecar

	// Other goroutines also use the fields below.
	self     atomic.Pointer[ident.Process]
	window   atomic.Uint64
	demand   atomic.Pointer[demandSummary]
	view     atomic.Pointer[view]
	draining atomic.Bool
}

func newCore(e *Entry) *core {
	c := &core{
		e:                e,
		inputs:           make(chan input, inputQueueLength),
		done:             make(chan struct{}),
		rnd:              rand.New(rand.NewSource(int64(e.cfg.Seed))),
		retiredMachines:  map[ident.Process]*dispatch.Machine{},
		waiters:          map[string][]chan jobapi.JobAnswer{},
		attachedSidecars: map[ident.Process]*attachedSidecar{},
		peers:            map[ident.Process]*peerState{},
		goneSidecars:     map[ident.Process]time.Duration{},
		missingSince:     map[string]time.Duration{}, deadHolders: map[ident.Process]*deadHolder{}, formerSidecars: map[ident.Process]formerSidecar{},
		lossGrouper: membership.NewLossGrouper(time.Second),
	}
	tableConfig := membership.Config{SilentAfter: e.cfg.SilentAfter, DeadAfter: e.cfg.DeadAfter, Retain: e.cfg.retention()}
	// A sidecar behind a network partition keeps its ledger and may return.
	tableConfig.MayReturn = true
	c.sidecarTable = membership.New(tableConfig)
	tableConfig.MayReturn = false
	// A network partition may separate an entry instance and its region for
	// minutes. markEntryDead declares it dead earlier if a query or the reclaim of
	// limit shares requires that and it is safe.
	tableConfig.DeadAfter = max(e.cfg.ReclaimAfter, e.cfg.DeadAfter)
	c.entryTable = membership.New(tableConfig)
	c.document = e.configSource.Document()
	c.startIncarnation(0)
	return c
}

// startIncarnation starts a new incarnation with an empty machine.
func (c *core) startIncarnation(now time.Duration) {
	p := ident.Process{Instance: c.e.cfg.Instance, Incarnation: c.rnd.Uint64()}
	c.self.Store(&p)
	c.limiter = limit.NewLimiter(p)
	c.limiter.Tick(now)
	if c.document != nil {
		c.limiter.SetDocument(c.document)
	}
	c.limiter.Apply(c.allocation)
	c.machine = dispatch.New(dispatch.Config{
		Self:          p,
		Zone:          c.e.cfg.Zone,
		CreditTTL:     c.e.cfg.CreditTTL,
		ObserveWait:   c.e.observeWait,
		Limiter:       c.limiter,
		AcceptWindows: c.e.cfg.AcceptWindows,
		RetainWindows: c.e.cfg.RetainWindows,
		ResultBytes:   c.e.cfg.AnswerBytes,
		PayloadBytes:  c.e.cfg.PayloadBytes,
	}, c.rnd)
	c.machine.SetWindow(now, c.window.Load())
	c.machine.SetDraining(c.draining.Load())
	if c.document != nil {
		c.machine.SetDocument(now, c.document)
	}
	c.publishView()
}

// now returns the time since the start of the instance.
func (c *core) now() time.Duration { return time.Since(c.e.start) }

// post queues an input for the core loop and does not wait until it has run.
func (c *core) post(in input) {
	select {
	case c.inputs <- in:
	case <-c.done:
	}
}

// call runs an input in the core loop and waits until it has run. It returns
// false if the loop has ended.
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

// run is the core loop. It runs the inputs and ticks until ctx ends.
func (c *core) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-c.inputs:
			now := c.detectPause()
			in(now)
			c.handleQueuedInputs(now)
		case <-timer.C:
			c.detectPause()
		}
		now := c.now()
		if now >= c.nextTick {
			c.tick(now)
			c.nextTick = now + tickInterval
		}
		c.executeActions(now)
		timer.Reset(c.untilNextTick(now))
	}
}

// handleQueuedInputs runs the inputs that are waiting, inputBatchSize at most.
func (c *core) handleQueuedInputs(now time.Duration) {
	for range inputBatchSize {
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
	c.reloadDocument(now)
	c.sidecarTable.Tick(now)
	c.entryTable.Tick(now)
	c.applyTransitions(now)
	c.checkSelfLease(now)
	c.limiter.Tick(now)
	c.machine.Tick(now)
	c.shareTransferDue = true
	for _, l := range c.lossGrouper.TakeDue(now, c.sidecarTable.InState(membership.Live)) {
		c.e.log(lossEvents[l.Scope], "place", l.Place, "members", l.Members)
	}
	forgotten := false
	for p, at := range c.goneSidecars {
		if now-at > c.e.cfg.retention() {
			delete(c.goneSidecars, p)
			forgotten = true
		}
	}
	if forgotten {
		c.publishView()
	}
}

// reloadDocument puts a new configuration document into use.
func (c *core) reloadDocument(now time.Duration) {
	doc := c.e.configSource.Document()
	if doc == nil || doc == c.document {
		return
	}
	c.document = doc
	c.limiter.SetDocument(doc)
	c.machine.SetDocument(now, doc)
}

// inForce returns the configuration revision in force at this process. A revision
// with limits is in force only after its limits have been allocated.
func (c *core) inForce() uint64 {
	if c.document == nil {
		return 0
	}
	if len(c.limiter.Limits()) == 0 {
		return c.document.Revision
	}
	if c.allocation == nil {
		return 0
	}
	return min(c.document.Revision, c.allocation.Revision)
}
