package placement

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// heartbeatOf delivers a heartbeat of one process of sidecar 0. The process has received the
// replies to its earlier heartbeats.
func (h *harness) heartbeatOf(incarnation uint64, fencingToken int64, acceptsRuns bool) {
	i := info(0)
	i.Sidecar.Process.Incarnation, i.FencingToken = incarnation, fencingToken
	h.version++
	room := work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}
	_, confirmed := h.m.incarnations[i.Sidecar.Process.Instance][incarnation]
	h.m.Heartbeat(h.now, i, 0, wire.Load{Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: acceptsRuns, Slowness: 1, Capacity: room, Free: room}, confirmed)
	h.collect()
}

// Guards against runs that count as lost, and so start twice, when a heartbeat of the
// ended process of a sidecar arrives after those of its successor.
func TestHeartbeatOfEndedProcess(t *testing.T) {
	tests := []struct {
		name                 string
		ended, successor     int64
		predecessorForgotten bool
	}{
		{name: "predecessor known", ended: 100, successor: 200},
		{name: "predecessor forgotten", ended: 100, successor: 200, predecessorForgotten: true},
		{name: "time of day set back between the starts", ended: 200, successor: 100, predecessorForgotten: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.heartbeatOf(1, test.ended, true)
			if test.predecessorForgotten {
				for range 300 {
					h.now += 20 * ms
					h.m.Tick(h.now)
				}
			}
			h.heartbeatOf(2, test.successor, false)
			h.heartbeatOf(2, test.successor, true)
			if _, ok := h.submit(newJobSpec("job", 1, 100*ms)); !ok {
				t.Fatal("the job was refused")
			}
			successor := ident.Process{Instance: "side-0", Incarnation: 2}
			if runs := h.takeRuns(); len(runs[successor]) != 1 {
				t.Fatalf("runs %v, want one at the successor", runs)
			}
			h.now += 50 * ms
			h.heartbeatOf(1, test.ended, true)
			if runs := h.takeRuns(); len(runs) != 0 {
				t.Errorf("started again: %v", runs)
			}
		})
	}
}

// Guards against a live process of a sidecar whose heartbeats are ignored for minutes because
// one of its predecessor arrives before its worker accepts runs.
func TestSuccessorWithoutRunsYet(t *testing.T) {
	tests := []struct {
		name                             string
		ended, beforeLateHeartbeat, late int64
	}{
		{name: "time of day set back between the starts", ended: 200, beforeLateHeartbeat: 100, late: 100},
		{name: "worker has left", ended: 100, beforeLateHeartbeat: 0, late: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0)
			h.heartbeatOf(1, test.ended, true)
			wait := func(acceptsRuns bool) {
				for start := h.now; h.now < start+DefaultIdleTimeout+DefaultLeaseTimeout; {
					h.now += 250 * ms
					if acceptsRuns {
						h.heartbeatOf(2, test.late, true)
					} else {
						h.m.Tick(h.now)
					}
				}
			}
			wait(false)
			h.heartbeatOf(2, test.beforeLateHeartbeat, false)
			h.heartbeatOf(1, test.ended, true)
			wait(true)
			if _, ok := h.submit(newJobSpec("job", 1, 100*ms)); !ok {
				t.Fatal("the job was refused")
			}
			if runs := h.takeRuns(); len(runs[ident.Process{Instance: "side-0", Incarnation: 2}]) != 1 {
				t.Errorf("runs %v, want one at the successor", runs)
			}
		})
	}
}

// Guards against runs that count as lost, and so start twice, when heartbeats of a process that
// has ended unheard arrive after those of its successor, with a higher fencing token because the
// time of day was set back.
func TestHeartbeatOfUnheardProcess(t *testing.T) {
	h := newHarness(t, 0)
	h.heartbeatOf(2, 100, false)
	h.heartbeatOf(2, 100, true)
	if _, ok := h.submit(newJobSpec("job", 1, 100*ms)); !ok {
		t.Fatal("the job was refused")
	}
	h.takeRuns()
	for range 2 {
		h.now += 50 * ms
		unheard := info(0)
		unheard.FencingToken = 200
		h.version++
		room := work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}
		h.m.Heartbeat(h.now, unheard, 0, wire.Load{Version: h.version, AcceptsRuns: true, Slowness: 1, Capacity: room, Free: room}, false)
		h.collect()
	}
	if runs := h.takeRuns(); len(runs) != 0 {
		t.Errorf("started again: %v", runs)
	}
	h.heartbeatOf(2, 100, true)
	if _, usable := h.m.Workers(); usable != 1 {
		t.Errorf("%d usable workers, want the successor's", usable)
	}
	h.heartbeatOf(3, 300, true)
	h.heartbeatOf(3, 300, true)
	if runs := h.takeRuns(); len(runs[ident.Process{Instance: "side-0", Incarnation: 3}]) != 1 {
		t.Errorf("runs %v, want the task at the next process", runs)
	}
}

// Guards against a sidecar process that is not told of the fencing token of its predecessor,
// which is higher because the time of day was set back.
func TestFencingTokenOfPredecessor(t *testing.T) {
	h := newHarness(t, 1)
	next := info(0)
	next.Sidecar.Process.Incarnation = 2
	next.FencingToken = 50
	known := info(0)
	known.FencingToken = 70
	h.version++
	h.m.Heartbeat(h.now, known, 0, wire.Load{Version: h.version + 1}, true)
	h.m.Heartbeat(h.now, next, 0, wire.Load{Version: 1}, true)
	if token := h.m.FencingToken("side-0"); token != 70 {
		t.Errorf("token %d, want 70", token)
	}
	if token := h.m.FencingToken("side-1"); token != 0 {
		t.Errorf("token %d of an unknown sidecar", token)
	}
}
