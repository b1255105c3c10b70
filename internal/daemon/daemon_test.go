package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/settings"
)

// fakeRole runs until its context ends and then until release is closed.
type fakeRole struct {
	stopping chan struct{}
	release  chan struct{}
	err      error
}

func newFakeRole() *fakeRole {
	return &fakeRole{stopping: make(chan struct{}), release: make(chan struct{})}
}

func (f *fakeRole) Run(ctx context.Context) error {
	if f.err != nil {
		return f.err
	}
	<-ctx.Done()
	close(f.stopping)
	<-f.release
	return ctx.Err()
}

// Guards against a shutdown that does not wait for the role, and against a graceful
// shutdown that is reported as an error.
func TestSuperviseWaitsForRole(t *testing.T) {
	r, signals, done := newFakeRole(), make(chan os.Signal, 1), make(chan error, 1)
	go func() { done <- supervise(context.Background(), r, time.Hour, signals) }()
	signals <- syscall.SIGTERM
	<-r.stopping
	select {
	case err := <-done:
		t.Fatalf("ended before the role: %v", err)
	default:
	}
	close(r.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a shutdown without a time limit, and against a second signal
// without effect.
func TestSuperviseForcesShutdown(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGINT
	signals <- syscall.SIGINT
	if err := supervise(context.Background(), newFakeRole(), time.Hour, signals); !errors.Is(err, errShutdownForced) {
		t.Errorf("second signal: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := supervise(ctx, newFakeRole(), time.Millisecond, nil); !errors.Is(err, errShutdownForced) {
		t.Errorf("timeout: %v", err)
	}
	failing := &fakeRole{err: errors.New("port in use")}
	if err := supervise(context.Background(), failing, time.Hour, nil); err == nil || errors.Is(err, errShutdownForced) {
		t.Errorf("failing role: %v", err)
	}
}

// Guards against a container that hides the error of a constructor, or that does not
// provide the settings or the metrics.
func TestWithRole(t *testing.T) {
	entrySettings := settings.DefaultEntry()
	provide := func() *settings.Entry { return entrySettings }
	cause := errors.New("port in use")
	failing := func(*settings.Entry, *metrics.Registry) (EntryRole, error) { return nil, cause }
	err := withRole("entry", provide, failing, func(EntryRole) error { return nil })
	if !errors.Is(err, cause) {
		t.Errorf("failing constructor: %v", err)
	}
	construct := func(s *settings.Entry, m *metrics.Registry) (EntryRole, error) {
		if s != entrySettings || m == nil {
			t.Error("constructor got other settings or no metrics")
		}
		return newFakeRole(), nil
	}
	called := false
	err = withRole("entry", provide, construct, func(r EntryRole) error { called = r != nil; return nil })
	if err != nil || !called {
		t.Errorf("called %t: %v", called, err)
	}
}

// Guards against success with --once although the sample has not finished.
func TestSampleResult(t *testing.T) {
	result := make(chan error, 1)
	if err := sampleResult(result, true); err == nil {
		t.Error("unfinished sample with --once: no error")
	}
	if err := sampleResult(result, false); err != nil {
		t.Errorf("interrupted sample: %v", err)
	}
	result <- errors.New("wrong answer")
	if err := sampleResult(result, false); err == nil {
		t.Error("failed sample: no error")
	}
	result <- nil
	if err := sampleResult(result, true); err != nil {
		t.Errorf("finished sample: %v", err)
	}
}
