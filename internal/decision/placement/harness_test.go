package placement

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// harness drives a Machine with workers whose replies the test determines.
type harness struct {
	t       *testing.T
	now     time.Duration
	m       *Machine
	version uint64
	sent    []Batch
	answers map[string]work.Answer
	stats   map[string]JobStats
}

func newHarness(t *testing.T, workers int) *harness {
	h := &harness{t: t, m: New(Config{}, rand.New(rand.NewSource(1))), answers: map[string]work.Answer{}, stats: map[string]JobStats{}}
	for i := range workers {
		h.heartbeat(i, 0, 32000)
	}
	return h
}

// process returns the sidecar process of worker i.
func process(i int) ident.Process {
	return ident.Process{Instance: fmt.Sprint("side-", i), Incarnation: 1}
}

// info returns the description of worker i, which has a zone of its own.
func info(i int) wire.WorkerInfo {
	return wire.WorkerInfo{Sidecar: wire.Peer{Process: process(i), Zone: fmt.Sprint("zone-", i)}, Worker: fmt.Sprint("w", i), Service: "svc"}
}

// heartbeat delivers a heartbeat of worker i with a free processor capacity in
// thousandths of a core.
func (h *harness) heartbeat(i int, session uint64, free int64) {
	h.heartbeatSized(i, session, 32000, free)
}

// heartbeatSized is heartbeat for a worker of a capacity in thousandths of a core.
func (h *harness) heartbeatSized(i int, session uint64, capacity, free int64) {
	h.version++
	h.m.Heartbeat(h.now, info(i), session, wire.Load{
		Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Slowness: 1,
		Capacity: work.Resources{MilliCPU: capacity, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: free, MemoryMB: 1 << 16},
		RemainingWork: (capacity - free) * 400,
	}, true)
	h.collect()
}

// collect records the actions of the Machine.
func (h *harness) collect() {
	for _, a := range h.m.Actions() {
		switch a := a.(type) {
		case Batch:
			h.sent = append(h.sent, a)
		case JobAnswer:
			if _, twice := h.answers[a.JobID]; twice {
				h.t.Fatalf("job %s has two answers", a.JobID)
			}
			h.answers[a.JobID], h.stats[a.JobID] = a.Answer, a.Stats
		}
	}
}

func newJobSpec(id string, tasks int, estimate time.Duration) *work.Job {
	return &work.Job{
		ID: id, Queue: "q", Service: "svc", MaxFailedRuns: 2, Objective: 60 * ms, ObjectiveFactor: 1.6, Timeout: 2 * time.Second,
		Steps: []work.Step{{Count: tasks, Need: work.Resources{MilliCPU: 3000, MemoryMB: 64}, Estimate: estimate}},
	}
}

func (h *harness) submit(j *work.Job) (work.Answer, bool) {
	a, ok := h.m.Submit(h.now, j)
	h.collect()
	return a, ok
}

// takeRuns returns, by sidecar, the runs of the batches recorded so far, and drops
// the batches.
func (h *harness) takeRuns() map[ident.Process][]wire.RunRequest {
	all := map[ident.Process][]wire.RunRequest{}
	for _, s := range h.sent {
		if len(s.Runs) > 0 {
			all[s.Sidecar] = append(all[s.Sidecar], s.Runs...)
		}
	}
	h.sent = nil
	return all
}

// takeBatches returns the batches recorded so far and drops them.
func (h *harness) takeBatches() []Batch {
	list := h.sent
	h.sent = nil
	return list
}

// endRun reports the end of a run.
func (h *harness) endRun(sidecar ident.Process, r wire.RunRequest, outcome work.Outcome) {
	h.m.RunsEnded(h.now, &wire.EndBatch{Sidecar: sidecar, Session: h.m.workers[sidecar].session, Ends: []wire.RunEnd{{Run: r.Run, Outcome: outcome, RunMs: 50}}})
	h.collect()
}
