package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const ms = time.Millisecond

// Guards against an answer before the last task of the job has ended, and against
// placing all tasks on one worker while others are free.
func TestJobCompletes(t *testing.T) {
	h := newHarness(t, 4)
	if _, ok := h.submit(newJobSpec("a", 16, 60*ms)); !ok {
		t.Fatal("refused with free workers")
	}
	runs := h.takeRuns()
	if len(runs) != 4 {
		t.Errorf("16 tasks went to %d of 4 workers", len(runs))
	}
	left := 16
	for p, list := range runs {
		for _, r := range list {
			if len(h.answers) > 0 {
				t.Fatalf("answered while %d tasks have not ended", left)
			}
			h.endRun(p, r, work.Done)
			left--
		}
	}
	if got := h.answers["a"]; got.State != work.Completed {
		t.Errorf("answer %+v", got)
	}
}

// Guards against running a failed task on the same worker again, and against more
// failed runs than MaxFailedRuns.
func TestFailedRuns(t *testing.T) {
	h := newHarness(t, 3)
	h.submit(newJobSpec("a", 1, 60*ms))
	var first ident.Process
	for p, list := range h.takeRuns() {
		first = p
		h.endRun(p, list[0], work.RunFailed)
	}
	for p, list := range h.takeRuns() {
		if p == first {
			t.Error("the second run went to the worker at which the first failed")
		}
		if list[0].Run.Attempt != 2 {
			t.Errorf("second run has attempt %d", list[0].Run.Attempt)
		}
		h.endRun(p, list[0], work.RunFailed)
	}
	if got := h.answers["a"]; got.State != work.Failed {
		t.Errorf("after two failed runs: %+v", got)
	}
	if len(h.takeRuns()) > 0 {
		t.Error("a third run was sent")
	}
}

// Guards against two failures in an overload by long jobs of the least urgent rank:
// queueing them until their callers time out, and refusing urgent jobs.
func TestOverload(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 2 {
		h.heartbeat(i, 0, 0)
	}
	admitted := 0
	for i := range 40 {
		j := newJobSpec(fmt.Sprint("long", i), 4, 900*ms)
		j.Rank = 2
		a, ok := h.submit(j)
		if ok {
			admitted++
			continue
		}
		if a.State != work.Refused || a.Reason != work.ReasonOverload || a.RetryAfter < minRetryAfter {
			t.Fatalf("refusal %+v", a)
		}
	}
	if admitted > 12 {
		t.Errorf("%d long jobs admitted to two full workers", admitted)
	}
	urgent := newJobSpec("urgent", 2, 60*ms)
	if a, ok := h.submit(urgent); !ok {
		t.Errorf("urgent job refused: %+v", a)
	}
}

// Guards against telling all refused callers to submit again at the same time.
func TestRetryAfterSpread(t *testing.T) {
	h := newHarness(t, 1)
	low, high := time.Hour, time.Duration(0)
	for range 200 {
		r := h.m.retryAfter(0)
		low, high = min(low, r), max(high, r)
	}
	if low < minRetryAfter || high-low < retryAfterSpread/2 {
		t.Errorf("Retry-After times between %v and %v", low, high)
	}
}

// Guards against answering that a job has not run while a sidecar has a run of it,
// and against runs that continue after the caller has left.
func TestCallerLeaves(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(newJobSpec("a", 2, 60*ms))
	runs := h.takeRuns()
	h.m.CallerLeft(h.now, "a")
	h.collect()
	if got := h.answers["a"]; got.State != work.Unfinished {
		t.Errorf("answer %+v", got)
	}
	stops := 0
	for _, s := range h.sent {
		stops += len(s.Stops)
	}
	if stops != 2 {
		t.Errorf("%d of 2 runs stopped", stops)
	}
	if _, ok := h.submit(newJobSpec("a", 2, 60*ms)); ok {
		t.Error("the same ID was admitted while runs of the job may be running")
	}
	h.sent = nil
	for p, list := range runs {
		for _, r := range list {
			h.endRun(p, r, work.Lost)
		}
	}
	if _, ok := h.submit(newJobSpec("a", 2, 60*ms)); !ok {
		t.Error("the same ID was refused after the runs of the job had ended")
	}
}

// Guards against a second run while the first may still be running on a worker
// without heartbeats, and against a caller that waits for a job which can't end
// before its deadline.
func TestHeartbeatTimeout(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(newJobSpec("a", 1, 60*ms))
	h.takeRuns()
	for h.now < DefaultHeartbeatTimeout+20*ms {
		h.now += 10 * ms
		h.m.Tick(h.now)
		h.collect()
		if len(h.takeRuns()) > 0 {
			t.Fatalf("second run sent after %v", h.now)
		}
	}
	if got := h.answers["a"]; got.State != work.Unfinished || got.Reason != work.ReasonWorkerLost {
		t.Errorf("answer %+v after %v without a heartbeat", got, h.now)
	}
}

// Guards against tasks that are not run again after their sidecar has dropped the
// runs of the entry instance.
func TestNewSession(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(newJobSpec("a", 1, 60*ms))
	var at ident.Process
	for p := range h.takeRuns() {
		at = p
	}
	for i := range 2 {
		if process(i) == at {
			h.heartbeat(i, 1, 32000)
		}
	}
	again := h.takeRuns()
	if len(again) != 1 || again[at] != nil {
		t.Errorf("runs after the new session: %v", again)
	}
}

// Guards against placing tasks twice after the rejection of a batch, and against
// answering that a job may have run although its only batch was rejected.
func TestBatchRejected(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(newJobSpec("a", 1, 60*ms))
	for _, s := range h.takeBatches() {
		h.m.BatchRejected(h.now, s)
		h.collect()
	}
	h.now += 2 * time.Second
	h.m.Tick(h.now)
	h.collect()
	if got := h.answers["a"]; got.State != work.Refused {
		t.Errorf("answer %+v for a job of which nothing has started", got)
	}
}

// Guards against a task that full workers return without end, against a task that
// waits at its first worker while another one has free capacity, and against
// refusing a job while it has an open run.
func TestNoRoomEnds(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(newJobSpec("a", 2, 60*ms))
	sent := map[work.RunID]bool{}
	waits := 0
	for range 2 * (maxNoRoomEnds + 1) {
		for p, list := range h.takeRuns() {
			for _, r := range list {
				if sent[r.Run] {
					t.Fatalf("run %v was sent twice", r.Run)
				}
				sent[r.Run] = true
				if !r.NoWait {
					waits++
					continue
				}
				h.endRun(p, r, work.NoRoom)
			}
		}
	}
	if waits != 2 || len(sent) != 2*(maxNoRoomEnds+1) {
		t.Errorf("%d runs, %d of them may wait, want %d and 2", len(sent), waits, 2*(maxNoRoomEnds+1))
	}
	if len(h.answers) != 0 {
		t.Errorf("answers while runs are queued: %v", h.answers)
	}
}

// Guards against an entry instance that considers a worker full forever and refuses
// all jobs. The failure occurs if the reservations of a batch stay after the batch
// was rejected or all its callers have left, because no later batch is sent whose
// sequence number would end them.
func TestRejectedBatchReleasesReservations(t *testing.T) {
	for _, rejected := range []bool{true, false} {
		h := newHarness(t, 1)
		for i := range 10 {
			h.submit(newJobSpec(fmt.Sprint("a", i), 1, 60*ms))
		}
		for _, s := range h.takeBatches() {
			if rejected {
				h.m.BatchRejected(h.now, s)
			} else {
				h.m.ReleaseReservations(s)
			}
			h.collect()
		}
		for i := range 10 {
			h.m.CallerLeft(h.now, fmt.Sprint("a", i))
		}
		h.collect()
		h.sent = nil
		h.now += 250 * ms
		h.version++
		capacity := work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}
		h.m.Heartbeat(h.now, info(0), 0, wire.Load{Version: h.version, AcceptsRuns: true, Slowness: 1, Capacity: capacity, Free: capacity}, true)
		if a, ok := h.submit(newJobSpec("b", 10, 60*ms)); !ok {
			t.Errorf("batch rejected %v: an idle worker is considered full: %+v", rejected, a)
		}
	}
}

// Guards against starting a step before the steps on which it depends.
func TestDependentSteps(t *testing.T) {
	h := newHarness(t, 2)
	j := newJobSpec("a", 2, 60*ms)
	j.Steps = append(j.Steps, work.Step{Count: 1, Need: work.Resources{MilliCPU: 1000}, Estimate: 60 * ms, DependsOn: []int{0}})
	h.submit(j)
	var first []wire.RunRequest
	var at []ident.Process
	for p, list := range h.takeRuns() {
		for _, r := range list {
			first, at = append(first, r), append(at, p)
			if r.Run.Task.Step != 0 {
				t.Fatal("the second step started together with the first")
			}
		}
	}
	h.endRun(at[0], first[0], work.Done)
	if len(h.takeRuns()) > 0 {
		t.Fatal("the second step started after half of the tasks of the first")
	}
	h.endRun(at[1], first[1], work.Done)
	for p, list := range h.takeRuns() {
		h.endRun(p, list[0], work.Done)
	}
	if got := h.answers["a"]; got.State != work.Completed {
		t.Errorf("answer %+v", got)
	}
}

// Guards against refusing a job because its declared run time is too long for the
// caller's timeout, although there is free capacity for it.
func TestDeclaredRunTimeTooLong(t *testing.T) {
	h := newHarness(t, 2)
	if a, ok := h.submit(newJobSpec("a", 2, 2500*ms)); !ok {
		t.Errorf("refused with free workers: %+v", a)
	}
}

// Guards against sending runs to a suspect worker because it has the most free
// capacity.
func TestSuspectWorker(t *testing.T) {
	h := newHarness(t, 3)
	h.version++
	h.m.SetLoad(h.now, process(0), wire.Load{Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Suspect: true,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}})
	h.submit(newJobSpec("a", 12, 60*ms))
	if n := len(h.takeRuns()[process(0)]); n > 0 {
		t.Errorf("%d tasks went to a suspect worker", n)
	}
}

// Guards against ending tasks as lost, and so running them twice, because a delayed
// heartbeat of an earlier session is read after a newer one.
func TestDelayedHeartbeat(t *testing.T) {
	h := newHarness(t, 1)
	h.heartbeat(0, 1, 32000)
	h.submit(newJobSpec("a", 1, 60*ms))
	if n := len(h.takeRuns()[process(0)]); n != 1 {
		t.Fatalf("%d runs sent", n)
	}
	for _, session := range []uint64{0, 1} {
		h.m.Heartbeat(h.now, info(0), session, wire.Load{Version: 1, AcceptsRuns: true, Capacity: work.Resources{MilliCPU: 32000}, Free: work.Resources{MilliCPU: 32000}}, true)
		h.collect()
		if n := len(h.takeRuns()); n > 0 {
			t.Errorf("a delayed heartbeat of session %d caused %d runs", session, n)
		}
	}
}

// Guards against a crash when a worker is lost and the end of its first run answers
// the job, which removes the job's other tasks from that worker.
func TestLostWorkerEndsJob(t *testing.T) {
	h := newHarness(t, 1)
	j := newJobSpec("a", 4, 12*time.Second)
	j.Timeout = 10 * time.Second
	if _, ok := h.m.Submit(h.now, j); !ok {
		t.Fatal("refused")
	}
	h.now += 3 * time.Second // the runs are not sent yet
	h.m.Tick(h.now)
	h.collect()
	if _, ok := h.answers["a"]; !ok {
		t.Error("the job was not answered")
	}
}

// Guards against never sending a run to a worker on probation because it was slow:
// only that run can show that the worker has recovered.
func TestProbation(t *testing.T) {
	h := newHarness(t, 2)
	h.heartbeat(1, 0, 16000)
	h.version++
	h.m.SetLoad(h.now, process(0), wire.Load{Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Probe: true, Slowness: 8,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}})
	h.submit(newJobSpec("a", 4, 60*ms))
	if n := len(h.takeRuns()[process(0)]); n != 1 {
		t.Errorf("%d runs went to the worker on probation, want 1", n)
	}
}

// Guards against sending runs whose job was answered while the sidecar was
// unresponsive, and against sending batches of a session that the sidecar has
// ended.
func TestPrune(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(newJobSpec("a", 2, 60*ms))
	batch := Batch{Sidecar: process(0), Runs: h.takeRuns()[process(0)], Stops: []work.RunID{{Attempt: 1}}}
	if n := len(h.m.Prune(batch).Runs); n != 2 {
		t.Errorf("%d of 2 runs remain", n)
	}
	batch.Session = 1
	if s := h.m.Prune(batch); len(s.Runs)+len(s.Stops) != 0 {
		t.Errorf("%d runs and %d stops of another session remain", len(s.Runs), len(s.Stops))
	}
	batch.Session = 0
	h.m.CallerLeft(h.now, "a")
	if s := h.m.Prune(batch); len(s.Runs) != 0 || len(s.Stops) != 1 {
		t.Errorf("%d runs and %d stops of a job without a caller remain", len(s.Runs), len(s.Stops))
	}
}

// Guards against a job that is offered to workers hundreds of times a second because they have
// no room for one of its tasks.
func TestReturnedRunsAreNotRepeatedAtOnce(t *testing.T) {
	const maxRuns = 30
	h := newHarness(t, 3)
	h.submit(newJobSpec("a", 2, 50*ms))
	first := true
	runs := 0
	for h.now < 2*time.Second {
		for sidecar, list := range h.takeRuns() {
			for _, r := range list {
				runs++
				if first {
					first = false
					h.endRun(sidecar, r, work.Done) // so that the job is not refused
					continue
				}
				h.endRun(sidecar, r, work.NotRun)
			}
		}
		h.now += ms
		for i := range 3 {
			if h.now%(100*ms) == 0 {
				h.heartbeat(i, 0, 32000)
			}
		}
		h.m.Tick(h.now)
		h.collect()
	}
	if runs > maxRuns {
		t.Errorf("%d runs, want at most %d", runs, maxRuns)
	}
}

// Guards against a run that is sent to a worker where it would wait for longer than it may.
func TestReturnedRunNeedsRoom(t *testing.T) {
	h := newHarness(t, 1)
	spec := newJobSpec("a", 2, 50*ms)
	h.submit(spec)
	for sidecar, list := range h.takeRuns() {
		h.endRun(sidecar, list[0], work.Done)
		h.version++
		h.m.SetLoad(h.now, sidecar, wire.Load{Version: h.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Slowness: 1,
			Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, QueuedMilliCPU: [wire.NumRanks]int64{20_000}, RemainingWork: 32000 * 400})
		h.endRun(sidecar, list[1], work.NotRun)
	}
	for h.now < 300*ms {
		h.now += 10 * ms
		h.m.Tick(h.now)
		h.collect()
	}
	if runs := h.takeRuns(); len(runs) > 0 {
		t.Errorf("runs %+v although the worker has no room", runs)
	}
	h.heartbeat(0, 0, 32000)
	h.now += maxRetryDelay
	h.m.Tick(h.now)
	h.collect()
	if runs := h.takeRuns(); len(runs) != 1 {
		t.Errorf("runs %+v after room was freed, want one", runs)
	}
}
