package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/evacuation"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
	"github.com/cardamomturn/cardamomturn/internal/zones"
)

// newEvacuableClient returns a client whose owner is live, of a sidecar in zone a with evacuations.
func newEvacuableClient(t *testing.T, now time.Duration) *entryClient {
	r := newTestRunner(t, now)
	r.cfg.Zone, r.cfg.EvacuateWithin, r.evacuation = "a", 2*time.Second, zones.NewHolder(true, nil)
	return newTestClient(r, now)
}

// Guards against queued runs that a sidecar keeps although an entry instance has told it of an
// evacuation, and against one that forgets it when another entry process answers, when an older
// reply arrives late, or when an entry instance that does not know sends runs.
func TestEvacuationInReplies(t *testing.T) {
	now := clock.SinceBoot()
	c := newEvacuableClient(t, now)
	r, request := c.runner, wire.RunRequest{Need: work.Resources{MilliCPU: 1000}, MaxWaitMs: 5000}
	r.mu.Lock()
	defer r.mu.Unlock()
	request.Run = work.RunID{Task: work.TaskID{Job: "running"}, Attempt: 1}
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{request})
	r.machine.Actions() // the start call is in flight
	request.Run.Task.Job = "queued"
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{request})
	for i, state := range []evacuation.State{{Revision: 8, Zones: []string{"a"}}, {Revision: 7}, {Revision: 8}, {}} {
		reply := wire.RunnerHeartbeatReply{Entry: ident.Process{Instance: "entry", Incarnation: uint64(i/2 + 1)}, Evacuation: &state}
		err := c.handleReply(now, now, c.owner.Session(), &reply)
		c.owner.sending = true // the ends stay pending
		r.runMachine(now)
		if n := r.machine.NumActive(); err != nil || n != 1 || r.load(now, nil).AcceptsRuns || i == 0 && len(c.owner.pendingEnds) != 1 {
			t.Errorf("%v after the state %+v: %d runs active, ends %+v", err, state, n, c.owner.pendingEnds)
		}
		request.Run.Task.Job = fmt.Sprint("late", i)
		r.machine.Submit(now, c.owner.process, []wire.RunRequest{request})
	}
	for _, a := range r.machine.Actions() {
		if end, ok := a.(occupancy.ReportEnd); !ok || end.End.Outcome != work.NotRun || end.End.Reason != occupancy.ReasonEvacuated {
			t.Errorf("action %+v", a)
		}
	}
	if r.applyEvacuation(now, &evacuation.State{Revision: 9}, "test"); !r.load(now, nil).AcceptsRuns {
		t.Error("the sidecar accepts no runs after the request is taken back")
	}
}

// Guards against a busy sidecar that does not hear of an evacuation, because its reports and batches
// put off the heartbeats.
func TestHeartbeatDespiteReports(t *testing.T) {
	now := clock.SinceBoot()
	c := newEvacuableClient(t, now)
	c.owner.pendingEnds, c.lastSentAt = []wire.RunEnd{{}}, now
	for c.dueAt(now) > now && now < c.lastSentAt+time.Minute {
		now += heartbeatInterval / 2
		c.owner.ReportAnswered(now, c.owner.Session())
	}
	if waited := now - c.lastSentAt; waited > c.runner.cfg.EvacuateWithin/2 || waited < heartbeatInterval {
		t.Errorf("the heartbeat is due after %v", waited)
	}
}

// Guards against a sidecar that has just started and accepts runs of an entry instance that does not
// know of an evacuation, before one that knows has answered, and against one that stays closed because
// no entry instance has a state or one never answers.
func TestRunsAfterStateIsHeard(t *testing.T) {
	for _, c := range []struct {
		name                string
		known, tried, later bool
		want                bool
	}{
		{"no state", false, true, false, false},
		{"a state, another entry instance has not answered", true, false, false, false},
		{"a state, no other answer is awaited", true, true, false, true},
		{"no state in time", false, false, true, true},
	} {
		r, now := newRunnerWithDroppedOwner(t, work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1})
		r.mu.Lock()
		r.cfg.EvacuateWithin, r.evacuation = 2*time.Second, zones.NewHolder(true, nil)
		r.stateWaitEnds = now + 10*time.Millisecond
		client := &entryClient{runner: r, wakeCh: make(chan struct{}, 1), tried: c.tried}
		r.entries["first"], r.entries["second"] = &entryClient{runner: r, tried: true, wakeCh: make(chan struct{}, 1)}, client
		if c.known {
			r.applyEvacuation(now, &evacuation.State{Revision: 1}, "test")
		}
		if c.later {
			now = r.stateWaitEnds
		}
		if r.updateAvailability(now); r.machine.AcceptsRuns() != c.want {
			t.Errorf("%s: accepts runs %v, want %v", c.name, !c.want, c.want)
		}
		delete(r.entries, "first")
		delete(r.entries, "second")
		r.mu.Unlock()
	}
}

// Guards against a sidecar that stays closed after a loss of power while connections to machines that
// have not started yet time out, although another entry instance has told it the state.
func TestStateWaitAfterFirstState(t *testing.T) {
	r, now := newRunnerWithDroppedOwner(t, work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.EvacuateWithin, r.evacuation = 2*time.Second, zones.NewHolder(true, nil)
	r.stateWaitEnds = now + time.Minute
	silent := &entryClient{runner: r, wakeCh: make(chan struct{}, 1)}
	r.entries["silent"] = silent
	defer delete(r.entries, "silent")
	r.applyEvacuation(now, &evacuation.State{Revision: 1}, "test")
	if !r.awaitsState(now) || r.awaitsState(now+stateSettle) {
		t.Errorf("waits until %v after the first state, want %v", r.stateWaitEnds-now, stateSettle)
	}
}

// Guards against a sidecar that opens a second late, because the entry instance had no state yet when
// it answered the first heartbeats.
func TestHeartbeatsWithoutState(t *testing.T) {
	now := clock.SinceBoot()
	c := newEvacuableClient(t, now)
	r := c.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateWaitEnds, c.lastSentAt = now+time.Minute, now
	if due := c.dueAt(now) - now; due != earlyHeartbeatInterval {
		t.Errorf("a heartbeat is due after %v without a state, want %v", due, earlyHeartbeatInterval)
	}
	if r.applyEvacuation(now, &evacuation.State{Revision: 1}, "test"); c.dueAt(now)-now < heartbeatInterval {
		t.Errorf("a heartbeat is due after %v with a state", c.dueAt(now)-now)
	}
	r.evacuation = zones.NewHolder(true, nil)
	if now = r.stateWaitEnds; c.dueAt(now)-c.lastSentAt < heartbeatInterval {
		t.Errorf("a heartbeat is due after %v after the wait", c.dueAt(now)-c.lastSentAt)
	}
}

// Guards against a sidecar that does not wait for the state after its start, and against one that waits
// for an entry instance whose machine refuses connections.
func TestFirstHeartbeatFails(t *testing.T) {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second, EvacuateWithin: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	disableTicks(r)
	r.listener.Close()
	c := &entryClient{runner: r, rpcClient: rpcnet.NewClient(r.Address()), wakeCh: make(chan struct{}, 1)}
	defer c.rpcClient.Close()
	r.entries["a"] = c
	if waits := r.awaitsState(clock.SinceBoot()); !waits || r.allTried() {
		t.Errorf("waits %v, all tried %v", waits, r.allTried())
	}
	c.sendHeartbeat()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel(); !r.allTried() {
		t.Error("waits for an entry instance that refuses connections")
	}
}

// Guards against a start call that waits for its turn while a zone is put under evacuation, and is
// made afterwards.
func TestStartCallDuringEvacuation(t *testing.T) {
	now := clock.SinceBoot()
	c := newEvacuableClient(t, now)
	r, w, run := c.runner, &countingWorker{}, work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	s := newSupervisor(r, w)
	r.mu.Lock()
	c.owner.sending = true // the ends stay pending
	r.machine.Submit(now, c.owner.process, []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 1}, MaxWaitMs: 1000}})
	r.machine.Actions()
	r.applyEvacuation(now, &evacuation.State{Revision: 1, Zones: []string{"a"}}, "test")
	r.mu.Unlock()
	req := StartRequest{Run: run}
	s.handleStartReply(req, s.callStart(req, now))
	r.mu.Lock()
	defer r.mu.Unlock()
	if ends := c.owner.pendingEnds; w.starts != 0 || len(ends) != 1 || ends[0].Outcome != work.NotRun || ends[0].Reason != occupancy.ReasonEvacuated || r.machine.NumActive() != 0 {
		t.Errorf("%d start calls, ends %+v, %d runs active", w.starts, ends, r.machine.NumActive())
	}
}
