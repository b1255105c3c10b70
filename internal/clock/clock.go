// Package clock provides clocks: the system clock, a manual clock for tests, and
// the time since boot.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock returns the time and signals the end of a delay.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the current time after d has passed.
	After(d time.Duration) <-chan time.Time
}

// Real is the system clock.
type Real struct{}

// Now returns the system time.
func (Real) Now() time.Time { return time.Now() }

// After calls time.After.
func (Real) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits until d has passed or ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

type waiter struct {
	due time.Time
	ch  chan time.Time
}

// Manual is a clock for tests, whose time changes only by Advance. It is safe for
// concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

// NewManual returns a manual clock whose time is now.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the clock's time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives the time when Advance has moved the clock
// by at least d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- m.now
		return ch
	}
	m.waiters = append(m.waiters, waiter{due: m.now.Add(d), ch: ch})
	return ch
}

// Waiters returns the number of channels from After that have not yet received a
// time.
func (m *Manual) Waiters() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

// Advance moves the clock forward by d and sends the time to the channels that are
// due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	pending := m.waiters[:0]
	for _, w := range m.waiters {
		if w.due.After(m.now) {
			pending = append(pending, w)
			continue
		}
		w.ch <- m.now
	}
	m.waiters = pending
}
