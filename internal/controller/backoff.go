package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// backoff computes retry delays: exponential with full jitter, so that
// processes that failed together don't retry together.
type backoff struct {
	base, limit time.Duration
	failures    int
}

// next returns a random delay between zero and the current bound, and doubles
// the bound.
func (b *backoff) next(rnd *rand.Rand) time.Duration {
	bound := b.limit
	if b.failures < 30 {
		bound = min(b.limit, b.base<<b.failures)
	}
	b.failures++
	return time.Duration(rnd.Int64N(int64(bound) + 1))
}

// failed logs the first of the failures in a row and returns the pause before
// the next attempt.
func (b *backoff) failed(ctx context.Context, step string, err error, rnd *rand.Rand, log Logf) time.Duration {
	if b.failures == 0 && ctx.Err() == nil {
		log("%s: %v; retrying", step, err)
	}
	return b.next(rnd)
}

func (b *backoff) reset() { b.failures = 0 }

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, c clock.Clock, d time.Duration) bool {
	select {
	case <-c.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// withTimeout is context.WithTimeout on an injected clock.
func withTimeout(ctx context.Context, c clock.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	after := c.After(d)
	go func() {
		select {
		case <-after:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
