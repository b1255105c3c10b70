package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// backoff computes retry delays that grow exponentially. The delays have full
// jitter, so that processes whose calls failed at the same time don't retry at
// the same time.
type backoff struct {
	baseDelay, maxDelay time.Duration
	failures            int
}

// nextDelay returns a random delay between zero and the current bound, and
// doubles the bound up to maxDelay.
func (b *backoff) nextDelay(rnd *rand.Rand) time.Duration {
	bound := b.maxDelay
	if b.failures < 30 {
		bound = min(b.maxDelay, b.baseDelay<<b.failures)
	}
	b.failures++
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}

// onFailure logs the first of several consecutive failures of an operation. It
// returns the delay before the next attempt.
func (b *backoff) onFailure(ctx context.Context, operation string, err error, rnd *rand.Rand, log Logf) time.Duration {
	if b.failures == 0 && ctx.Err() == nil {
		log("%s: %v; retrying", operation, err)
	}
	return b.nextDelay(rnd)
}

func (b *backoff) reset() { b.failures = 0 }

// sleep waits until d has passed or ctx ends. It reports whether ctx is still
// active.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	select {
	case <-c.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// withTimeout is like context.WithTimeout, but measures the time with an
// injected clock.
func withTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := c.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
