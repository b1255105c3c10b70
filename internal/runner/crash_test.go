package runner

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/crashtest"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// newCrashingRunner returns a serving sidecar that accepts runs, but panics when it has
// taken over the runs of a batch, since its owner has no client.
func newCrashingRunner(t *testing.T) (*Runner, *owner) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	o := newTestClient(r, now).owner
	o.client = nil
	go r.rpcServer.Serve(r.listener)
	return r, o
}

// Guards against a sidecar that lives on after a panic, or acts on a half-changed state.
func TestPanicEndsProcess(t *testing.T) {
	const message, availabilityChanged = "nil pointer dereference", "E8007"
	output := crashtest.Run(t, "batch", message, func() {
		r, o := newCrashingRunner(t)
		req := wire.RunBatch{Entry: o.process, Sidecar: r.self.Process, Session: o.Session(), Sequence: 1, SidecarClockMs: clock.SinceBoot().Milliseconds(),
			Runs: []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, Need: work.Resources{MilliCPU: 500}}}}
		_ = rpcnet.NewClient(r.Address()).CallWithTimeout(context.Background(), 10*time.Second, wire.ServiceRunner+".Run", &req, &wire.RunReply{})
	})
	if strings.Contains(output, availabilityChanged) {
		t.Errorf("the machine's actions were carried out after the panic:\n%s", output)
	}
	crashtest.Run(t, "timer", message, func() {
		r, _ := newCrashingRunner(t)
		r.mu.Lock()
		r.machine = nil
		r.mu.Unlock()
		r.tickTimer = time.AfterFunc(0, r.onTimer)
	})
}
