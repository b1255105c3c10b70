package daemon

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Runner is the runtime of a role.
type Runner interface {
	// Run serves until ctx ends and then shuts down gracefully: it takes no
	// new work and returns when that in flight has ended.
	Run(ctx context.Context) error
}

// errForced means that a role did not end within its bound.
const errForced = errors.ConstError("shutdown forced")

// supervise runs a role. A first signal, or the end of ctx, begins a graceful
// shutdown of at most timeout; a second signal ends it at once. The error is
// that of the role, or errForced.
func supervise(ctx context.Context, r Runner, timeout time.Duration, signals <-chan os.Signal) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.Run(running) }()
	select {
	case err := <-done:
		return ended(ctx, err)
	case <-ctx.Done():
	case s := <-signals:
		event.Log(ctx, event.SignalReceived, "signal", s.String(), "timeout", timeout)
	}
	stop()
	bound := time.NewTimer(timeout)
	defer bound.Stop()
	select {
	case err := <-done:
		return ended(ctx, err)
	case <-bound.C:
		event.Log(ctx, event.ShutdownForced, "timeout", timeout)
		return errors.Annotatef(errForced, "role still running after %v", timeout)
	case s := <-signals:
		event.Log(ctx, event.ShutdownForced, "signal", s.String())
		return errors.Annotatef(errForced, "signal %v during the shutdown", s)
	}
}

// ended returns the error of a role; an end by its context is none.
func ended(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	event.Log(ctx, event.RoleFailed, "err", err)
	return errors.Trace(err)
}
