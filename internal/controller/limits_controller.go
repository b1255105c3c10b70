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
	// allocationCheckInterval is the time between two checks whether a new
	// allocation has to be written.
	allocationCheckInterval = 250 * time.Millisecond
	// allocationCallTimeout bounds one call to the store.
	allocationCallTimeout = 2 * time.Second
)

// LimitAllocator plans and applies limit allocations; entry.Entry implements
// it.
type LimitAllocator interface {
	// ApplyAllocation applies an allocation if it is newer than the current
	// one.
	ApplyAllocation(a *limit.Allocation)
	// PlanAllocation returns the next allocation to write, or nil if there is
	// nothing to write. stored is the allocation in the store, or nil if there
	// is none.
	PlanAllocation(stored *limit.Allocation) *limit.Allocation
}

// LimitController reconciles the limit allocation in the store with the
// configuration and the live processes.
type LimitController struct {
	store     store.Store
	allocator LimitAllocator
	clock     clock.Clock
	rnd       *rand.Rand
	log       Logf
	// stored is the allocation in the store, and storedVersion is its version.
	// If the store has no allocation, storedVersion is zero. Only Run uses
	// these fields.
	stored        *limit.Allocation
	storedVersion uint64
	checkRequest  chan struct{}
}

// NewLimitController returns a controller. Run does its work.
func NewLimitController(s store.Store, allocator LimitAllocator, c clock.Clock, rnd *rand.Rand, log Logf) *LimitController {
	return &LimitController{store: s, allocator: allocator, clock: c, rnd: rnd, log: log, checkRequest: make(chan struct{}, 1)}
}

// RequestCheck makes Run check at once whether a new allocation has to be
// written. The caller calls it after a change of the configuration.
func (l *LimitController) RequestCheck() {
	select {
	case l.checkRequest <- struct{}{}:
	default:
	}
}

// Run reconciles until ctx ends. After a failed call it reads the store again,
// with backoff.
func (l *LimitController) Run(ctx context.Context) {
	b := backoff{baseDelay: retryBackoffBase, maxDelay: retryBackoffMax}
	storedIsCurrent := false
	for ctx.Err() == nil {
		var err error
		if !storedIsCurrent {
			err = l.readAllocation(ctx)
		}
		if err == nil {
			err = l.writeNextAllocation(ctx)
		}
		storedIsCurrent = err == nil
		pause := allocationCheckInterval
		if err != nil {
			pause = b.onFailure(ctx, "limit allocation", err, l.rnd, l.log)
		} else {
			b.reset()
		}
		select {
		case <-ctx.Done():
		case <-l.checkRequest:
		case <-l.clock.After(pause):
		}
	}
}

// readAllocation reads the allocation from the store and applies it.
func (l *LimitController) readAllocation(ctx context.Context) error {
	ctx, cancel := withTimeout(ctx, l.clock, allocationCallTimeout)
	defer cancel()
	kv, err := l.store.Get(ctx, AllocationKey)
	if errors.Is(err, store.ErrNotFound) {
		l.stored, l.storedVersion = nil, 0
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "read the limit allocation")
	}
	var a limit.Allocation
	if err := json.Unmarshal(kv.Value, &a); err != nil {
		return errors.Annotate(err, "decode the limit allocation")
	}
	l.stored, l.storedVersion = &a, kv.Version
	l.allocator.ApplyAllocation(&a)
	return nil
}

// writeNextAllocation writes and applies the next allocation, if there is one.
// It returns an error after a conflict or an unknown outcome. Run then reads
// the store again, and the next plan starts from the allocation found there.
func (l *LimitController) writeNextAllocation(ctx context.Context) error {
	next := l.allocator.PlanAllocation(l.stored)
	if next == nil {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Annotate(err, "encode the limit allocation")
	}
	ctx, cancel := withTimeout(ctx, l.clock, allocationCallTimeout)
	defer cancel()
	version, err := l.store.CompareAndSwap(ctx, AllocationKey, value, l.storedVersion, 0)
	if err != nil {
		return errors.Annotatef(err, "write limit allocation %d", next.Seq)
	}
	l.stored, l.storedVersion = next, version
	l.allocator.ApplyAllocation(next)
	return nil
}
