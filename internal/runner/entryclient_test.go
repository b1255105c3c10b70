package runner

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// newTestRunner returns a sidecar without entry instances, whose machine accepts runs.
func newTestRunner(t testing.TB, now time.Duration) *Runner {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	disableTicks(r)
	t.Cleanup(func() { r.cancel(); r.listener.Close(); r.wg.Wait() })
	r.machine.SetWorker(now, occupancy.Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: 1000}})
	r.machine.SetWorkerAvailable(now, true)
	r.machine.ApplyStatus(now, occupancy.WorkerStatus{})
	return r
}

// newTestClient returns a client whose owner is live.
func newTestClient(r *Runner, now time.Duration) *entryClient {
	const session = 4
	c := &entryClient{runner: r, rpcClient: rpcnet.NewClient(r.Address()), wakeCh: make(chan struct{}, 1)}
	c.owner = &owner{Owner: ownership.New(session), runner: r, process: ident.Process{Instance: "entry", Incarnation: 1}, client: c}
	c.owner.HeartbeatAnswered(now, now, session)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[c.owner.process] = c.owner
	return c
}

// Guards against a sidecar that checks without any delay whether the runs of an owner that does not answer have ended.
func TestDelayWhileRunsOfSilentOwnerEnd(t *testing.T) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	c := newTestClient(r, now)
	r.mu.Lock()
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, Need: work.Resources{MilliCPU: 500}}})
	r.machine.Actions() // the start call is in flight
	c.handleFailure(now-maxRetryDelay, errors.New("no answer"))
	r.dropOwner(now, c.owner, "no answer to heartbeats", 0)
	r.mu.Unlock()
	for range 3 {
		c.sendHeartbeat()
		r.mu.Lock()
		hasRuns, delay := r.machine.HasRunsOf(c.owner.process), c.dueAt(c.lastSentAt)-c.lastSentAt
		r.mu.Unlock()
		if !hasRuns {
			t.Fatal("the run has ended")
		}
		if delay < heartbeatInterval {
			t.Fatalf("the next check follows after %v, want at least %v", delay, heartbeatInterval)
		}
	}
}

// Guards against a state of the owner in which the next heartbeat is due at a time that has passed.
func TestHeartbeatDelay(t *testing.T) {
	now := clock.SinceBoot()
	for _, failing := range []bool{false, true} {
		for _, state := range []string{"unknown", "live", "busy", "dropped"} {
			r := newTestRunner(t, now)
			c := newTestClient(r, now-time.Minute)
			r.mu.Lock()
			switch state {
			case "unknown":
				c.owner = nil
			case "busy":
				c.owner.pendingEnds = []wire.RunEnd{{}}
			case "dropped":
				c.owner.Drop()
			}
			if failing {
				c.handleFailure(now-time.Minute, errors.New("no answer"))
			}
			c.lastSentAt = now
			if delay := c.dueAt(now) - now; delay < heartbeatInterval {
				t.Errorf("owner %s, failing %v: heartbeat due after %v, want at least %v", state, failing, delay, heartbeatInterval)
			}
			r.mu.Unlock()
		}
	}
}

// Guards against a restarted sidecar that an entry instance does not use for a second, because
// the heartbeat that names the entry instance, by which it is told from its predecessor, is not due before.
func TestHeartbeatAfterFirstReply(t *testing.T) {
	now := clock.SinceBoot()
	r := newTestRunner(t, now)
	c := newTestClient(r, now)
	reply := &wire.RunnerHeartbeatReply{Entry: ident.Process{Instance: "entry", Incarnation: 2}}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.owner, c.lastSentAt = nil, now
	for _, want := range []time.Duration{0, idleHeartbeatInterval} {
		if err := c.handleReply(now, now, 4, reply); err != nil {
			t.Fatal(err)
		}
		if delay := c.dueAt(now) - now; delay != want {
			t.Errorf("the next heartbeat is due after %v, want %v", delay, want)
		}
		c.sendNow = false
	}
}
