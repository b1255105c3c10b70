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
	// Run serves until ctx ends and then shuts down gracefully: it accepts no
	// new work and returns when the work in progress has ended.
	Run(ctx context.Context) error
}

// errShutdownForced means that a role was still running when the shutdown timeout
// had passed or a second signal arrived.
const errShutdownForced = errors.ConstError("shutdown forced")

// supervise runs a role. The first signal, or the end of ctx, begins a graceful
// shutdown that takes at most timeout; a further signal aborts the shutdown. The
// error is that of the role, or errShutdownForced.
func supervise(ctx context.Context, r Runner, timeout time.Duration, signals <-chan os.Signal) error {
	roleCtx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.Run(roleCtx) }()
	select {
	case err := <-done:
		return roleError(ctx, err)
	case <-ctx.Done():
	case s := <-signals:
		event.Log(ctx, event.SignalReceived, "signal", s.String(), "timeout", timeout)
	}
	stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return roleError(ctx, err)
	case <-timer.C:
		event.Log(ctx, event.ShutdownForced, "timeout", timeout)
		return errors.Annotatef(errShutdownForced, "role still running after %v", timeout)
	case s := <-signals:
		event.Log(ctx, event.ShutdownForced, "signal", s.String())
		return errors.Annotatef(errShutdownForced, "signal %v during the shutdown", s)
	}
}

// roleError logs and returns the error with which a role ended. It returns nil if
// the role ended because its context was canceled.
func roleError(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	event.Log(ctx, event.RoleFailed, "err", err)
	return errors.Trace(err)
}
