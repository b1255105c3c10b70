package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/limit"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// AllocationKey is the store key of the limit allocation.
const AllocationKey = "allocations"

const (
	// limitsInterval is the time between two checks for a change to write.
	limitsInterval = 250 * time.Millisecond
	// limitsCall bounds one call of the store.
	limitsCall = 2 * time.Second
)

// Shares is the process's part of the limits; entry.Entry implements it.
type Shares interface {
	// ApplyAllocation takes an allocation if it is newer.
	ApplyAllocation(a *limit.Allocation)
	// PlanAllocation returns the next allocation to write, or nil. from is the
	// one in the store, nil if there is none.
	PlanAllocation(from *limit.Allocation) *limit.Allocation
}

// Limits reconciles the limit allocation in the store with the configuration
// and the live processes.
type Limits struct {
	store  store.Store
	shares Shares
	clock  clock.Clock
	rnd    *rand.Rand
	log    Logf
	// held is the allocation in the store with its version; the zero version
	// means that there is none. They belong to Run.
	held    *limit.Allocation
	version uint64
	kick    chan struct{}
}

// NewLimits returns a controller; Run works.
func NewLimits(s store.Store, shares Shares, c clock.Clock, rnd *rand.Rand, log Logf) *Limits {
	return &Limits{store: s, shares: shares, clock: c, rnd: rnd, log: log, kick: make(chan struct{}, 1)}
}

// Kick asks for a check now, because the configuration changed.
func (l *Limits) Kick() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Run reconciles until ctx ends. A failed call is repeated with backoff.
func (l *Limits) Run(ctx context.Context) {
	b := backoff{base: watchBackoffBase, limit: watchBackoffLimit}
	fresh := false
	for ctx.Err() == nil {
		var err error
		if !fresh {
			err = l.read(ctx)
		}
		if err == nil {
			err = l.write(ctx)
		}
		fresh = err == nil
		pause := limitsInterval
		if err != nil {
			pause = b.failed(ctx, "limit allocation", err, l.rnd, l.log)
		} else {
			b.reset()
		}
		select {
		case <-ctx.Done():
		case <-l.kick:
		case <-l.clock.After(pause):
		}
	}
}

// read takes the allocation from the store.
func (l *Limits) read(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx, l.clock, limitsCall)
	defer cancel()
	e, err := l.store.Get(ctx, AllocationKey)
	if errors.Is(err, store.ErrNotFound) {
		l.held, l.version = nil, 0
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read the limit allocation")
	}
	var a limit.Allocation
	if err := json.Unmarshal(e.Value, &a); err != nil {
		return errors.Annotate(err, "decode the limit allocation")
	}
	l.held, l.version = &a, e.Version
	l.shares.ApplyAllocation(&a)
	return nil
}

// write writes the next allocation if there is one. A conflict or an unknown
// outcome is an error, after which the store is read again: the next plan
// starts from what is found there.
func (l *Limits) write(ctx context.Context) error {
	next := l.shares.PlanAllocation(l.held)
	if next == nil {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Annotate(err, "encode the limit allocation")
	}
	ctx, cancel := withTimeout(ctx, l.clock, limitsCall)
	defer cancel()
	version, err := l.store.CompareAndSwap(ctx, AllocationKey, value, l.version, 0)
	if err != nil {
		return errors.Annotatef(err, "write limit allocation %d", next.Seq)
	}
	l.held, l.version = next, version
	l.shares.ApplyAllocation(next)
	return nil
}
