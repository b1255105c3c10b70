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

const ms = time.Millisecond

// bench drives a Machine with workers whose answers the test decides.
type bench struct {
	t       *testing.T
	now     time.Duration
	m       *Machine
	version uint64
	sent    []Send
	answers map[string]work.Answer
}

func newBench(t *testing.T, workers int) *bench {
	b := &bench{t: t, m: New(Config{}, rand.New(rand.NewSource(1))), answers: map[string]work.Answer{}}
	for i := range workers {
		b.hear(i, 0, 32000)
	}
	return b
}

func process(i int) ident.Process {
	return ident.Process{Instance: fmt.Sprint("side-", i), Incarnation: 1}
}

func info(i int) wire.WorkerInfo {
	return wire.WorkerInfo{Sidecar: wire.Peer{Process: process(i)}, Worker: fmt.Sprint("w", i), Service: "svc"}
}

func (b *bench) hear(i int, session uint64, free int64) {
	b.version++
	b.m.Heard(b.now, info(i), session, wire.Load{
		Version: b.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Slowness: 1,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: free, MemoryMB: 1 << 16},
		RemainingWork: (32000 - free) * 400,
	})
	b.collect()
}

func (b *bench) collect() {
	for _, a := range b.m.Actions() {
		switch a := a.(type) {
		case Send:
			b.sent = append(b.sent, a)
		case Answered:
			if _, twice := b.answers[a.ID]; twice {
				b.t.Fatalf("job %s is answered twice", a.ID)
			}
			b.answers[a.ID] = a.Answer
		}
	}
}

func newSpec(id string, tasks int, estimate time.Duration) *work.Job {
	return &work.Job{
		ID: id, Queue: "q", Service: "svc", MaxFailedRuns: 2, Objective: 60 * ms, ObjectiveFactor: 1.6, Timeout: 2 * time.Second,
		Steps: []work.Step{{Count: tasks, Need: work.Resources{MilliCPU: 3000, MemoryMB: 64}, Estimate: estimate}},
	}
}

func (b *bench) submit(j *work.Job) (work.Answer, bool) {
	a, ok := b.m.Submit(b.now, j)
	b.collect()
	return a, ok
}

// runs drains the runs sent so far, by sidecar.
func (b *bench) runs() map[ident.Process][]wire.RunRequest {
	all := map[ident.Process][]wire.RunRequest{}
	for _, s := range b.sent {
		if len(s.Runs) > 0 {
			all[s.Sidecar] = append(all[s.Sidecar], s.Runs...)
		}
	}
	b.sent = nil
	return all
}

// drain returns the batches sent so far.
func (b *bench) drain() []Send {
	list := b.sent
	b.sent = nil
	return list
}

func (b *bench) end(sidecar ident.Process, r wire.RunRequest, o work.Outcome) {
	b.m.Ends(b.now, sidecar, []wire.RunEnd{{Run: r.Run, Outcome: o, RunMs: 50}})
	b.collect()
}

// Guards against a job that is answered before its last task has ended, or
// whose tasks all go to one worker while others are free.
func TestJobCompletes(t *testing.T) {
	b := newBench(t, 4)
	if _, ok := b.submit(newSpec("a", 16, 60*ms)); !ok {
		t.Fatal("refused with free workers")
	}
	runs := b.runs()
	if len(runs) != 4 {
		t.Errorf("16 tasks went to %d of 4 workers", len(runs))
	}
	left := 16
	for p, list := range runs {
		for _, r := range list {
			if len(b.answers) > 0 {
				t.Fatalf("answered with %d tasks left", left)
			}
			b.end(p, r, work.Done)
			left--
		}
	}
	if got := b.answers["a"]; got.State != work.Completed {
		t.Errorf("answer %+v", got)
	}
}

// Guards against a failed task that goes to the same worker again, and against
// more runs than the attempts allow.
func TestAttempts(t *testing.T) {
	b := newBench(t, 3)
	b.submit(newSpec("a", 1, 60*ms))
	var first ident.Process
	for p, list := range b.runs() {
		first = p
		b.end(p, list[0], work.RunFailed)
	}
	for p, list := range b.runs() {
		if p == first {
			t.Error("the second run went to the worker at which the first failed")
		}
		if list[0].Run.Attempt != 2 {
			t.Errorf("second run has attempt %d", list[0].Run.Attempt)
		}
		b.end(p, list[0], work.RunFailed)
	}
	if got := b.answers["a"]; got.State != work.Failed {
		t.Errorf("after two failed runs: %+v", got)
	}
	if len(b.runs()) > 0 {
		t.Error("a third run was sent")
	}
}

// Guards against an overload by long, least urgent jobs that are queued until
// their callers give up, and against urgent jobs that are refused because of it.
func TestOverload(t *testing.T) {
	b := newBench(t, 2)
	for i := range 2 {
		b.hear(i, 0, 0)
	}
	admitted := 0
	for i := range 40 {
		j := newSpec(fmt.Sprint("long", i), 4, 900*ms)
		j.Rank = 2
		a, ok := b.submit(j)
		if ok {
			admitted++
			continue
		}
		if a.State != work.Refused || a.Reason != work.ReasonOverload || a.RetryAfter < minRetry {
			t.Fatalf("refusal %+v", a)
		}
	}
	if admitted > 12 {
		t.Errorf("%d long jobs admitted to two full workers", admitted)
	}
	urgent := newSpec("urgent", 2, 60*ms)
	if a, ok := b.submit(urgent); !ok {
		t.Errorf("urgent job refused: %+v", a)
	}
}

// Guards against returns of refused callers at one moment.
func TestRetryAfterSpread(t *testing.T) {
	b := newBench(t, 1)
	low, high := time.Hour, time.Duration(0)
	for range 200 {
		r := b.m.retryAfter(0)
		low, high = min(low, r), max(high, r)
	}
	if low < minRetry || high-low < retrySpread/2 {
		t.Errorf("returns between %v and %v", low, high)
	}
}

// Guards against a job that is said not to have run while a run of it is at a
// sidecar, and against work that goes on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	b := newBench(t, 2)
	b.submit(newSpec("a", 2, 60*ms))
	runs := b.runs()
	b.m.CallerLeft(b.now, "a")
	b.collect()
	if got := b.answers["a"]; got.State != work.Unfinished {
		t.Errorf("answer %+v", got)
	}
	stops := 0
	for _, s := range b.sent {
		stops += len(s.Stops)
	}
	if stops != 2 {
		t.Errorf("%d of 2 runs stopped", stops)
	}
	if _, ok := b.submit(newSpec("a", 2, 60*ms)); ok {
		t.Error("the same ID was admitted while runs of it may be at work")
	}
	b.sent = nil
	for p, list := range runs {
		for _, r := range list {
			b.end(p, r, work.Lost)
		}
	}
	if _, ok := b.submit(newSpec("a", 2, 60*ms)); !ok {
		t.Error("the ID is not admitted again after its runs have ended")
	}
}

// Guards against a second run while the first may still be at work at a sidecar
// that is silent, and against callers that wait for a job that can't end.
func TestSilentWorker(t *testing.T) {
	b := newBench(t, 1)
	b.submit(newSpec("a", 1, 60*ms))
	b.runs()
	for b.now < DefaultSilence+20*ms {
		b.now += 10 * ms
		b.m.Tick(b.now)
		b.collect()
		if len(b.runs()) > 0 {
			t.Fatalf("second run after %v", b.now)
		}
	}
	if got := b.answers["a"]; got.State != work.Unfinished || got.Reason != work.ReasonWorkerLost {
		t.Errorf("answer %+v after %v of silence", got, b.now)
	}
}

// Guards against tasks that nobody runs any more after a sidecar has dropped
// its owner's runs.
func TestNewSession(t *testing.T) {
	b := newBench(t, 2)
	b.submit(newSpec("a", 1, 60*ms))
	var at ident.Process
	for p := range b.runs() {
		at = p
	}
	for i := range 2 {
		if process(i) == at {
			b.hear(i, 1, 32000)
		}
	}
	again := b.runs()
	if len(again) != 1 || again[at] != nil {
		t.Errorf("runs after the new session: %v", again)
	}
}

// Guards against tasks placed twice when a batch was refused, and against a
// truthful refusal that is told as unknown.
func TestBatchRefused(t *testing.T) {
	b := newBench(t, 1)
	b.submit(newSpec("a", 1, 60*ms))
	for _, s := range b.drain() {
		b.m.Refused(b.now, s)
		b.collect()
	}
	b.now += 2 * time.Second
	b.m.Tick(b.now)
	b.collect()
	if got := b.answers["a"]; got.State != work.Refused {
		t.Errorf("answer %+v for a job of which nothing has started", got)
	}
}

// Guards against a task that comes back from full workers without end, that waits
// while another worker has room, and against a refusal while a task of the job is
// under way.
func TestReturns(t *testing.T) {
	b := newBench(t, 2)
	b.submit(newSpec("a", 2, 60*ms))
	sent := map[work.RunID]bool{}
	waits := 0
	for range 2 * (maxReturns + 1) {
		for p, list := range b.runs() {
			for _, r := range list {
				if sent[r.Run] {
					t.Fatalf("run %v was sent twice", r.Run)
				}
				sent[r.Run] = true
				if !r.NoWait {
					waits++
					continue
				}
				b.end(p, r, work.NoRoom)
			}
		}
	}
	if waits != 2 || len(sent) != 2*(maxReturns+1) {
		t.Errorf("%d runs, %d of them wait, want %d and 2", len(sent), waits, 2*(maxReturns+1))
	}
	if len(b.answers) != 0 {
		t.Errorf("answers while runs wait: %v", b.answers)
	}
}

// Guards against an entry instance that takes a worker for full for ever, and
// refuses all jobs, because the reservations of refused batches or of batches
// that nobody waits for outlive them: no later batch is sent whose sequence would
// end them.
func TestRefusedBatchReservesNothing(t *testing.T) {
	for _, refuse := range []bool{true, false} {
		b := newBench(t, 1)
		for i := range 10 {
			b.submit(newSpec(fmt.Sprint("a", i), 1, 60*ms))
		}
		for _, s := range b.drain() {
			if refuse {
				b.m.Refused(b.now, s)
			} else {
				b.m.NotSent(s)
			}
			b.collect()
		}
		for i := range 10 {
			b.m.CallerLeft(b.now, fmt.Sprint("a", i))
		}
		b.collect()
		b.sent = nil
		b.now += 250 * ms
		b.version++
		room := work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}
		b.m.Heard(b.now, info(0), 0, wire.Load{Version: b.version, AcceptsRuns: true, Slowness: 1, Capacity: room, Free: room})
		if a, ok := b.submit(newSpec("b", 10, 60*ms)); !ok {
			t.Errorf("refused %v: an empty worker is taken for full: %+v", refuse, a)
		}
	}
}

// Guards against steps that start before those they come after.
func TestSteps(t *testing.T) {
	b := newBench(t, 2)
	j := newSpec("a", 2, 60*ms)
	j.Steps = append(j.Steps, work.Step{Count: 1, Need: work.Resources{MilliCPU: 1000}, Estimate: 60 * ms, DependsOn: []int{0}})
	b.submit(j)
	var first []wire.RunRequest
	var at []ident.Process
	for p, list := range b.runs() {
		for _, r := range list {
			first, at = append(first, r), append(at, p)
			if r.Run.Task.Step != 0 {
				t.Fatal("the second step started with the first")
			}
		}
	}
	b.end(at[0], first[0], work.Done)
	if len(b.runs()) > 0 {
		t.Fatal("the second step started after half of the first")
	}
	b.end(at[1], first[1], work.Done)
	for p, list := range b.runs() {
		b.end(p, list[0], work.Done)
	}
	if got := b.answers["a"]; got.State != work.Completed {
		t.Errorf("answer %+v", got)
	}
}

// Guards against a job that is refused because its declared run time is too
// long, although there is room for it at once.
func TestDeclaredTooLong(t *testing.T) {
	b := newBench(t, 2)
	if a, ok := b.submit(newSpec("a", 2, 2500*ms)); !ok {
		t.Errorf("refused with free workers: %+v", a)
	}
}

// Guards against suspect workers that draw work because they look free.
func TestSuspect(t *testing.T) {
	b := newBench(t, 3)
	b.version++
	b.m.SetLoad(b.now, process(0), wire.Load{Version: b.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Suspect: true,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}})
	b.submit(newSpec("a", 12, 60*ms))
	if n := len(b.runs()[process(0)]); n > 0 {
		t.Errorf("%d tasks went to a suspect worker", n)
	}
}

// Guards against tasks taken for lost because a heartbeat of an earlier session
// is read after a newer one: they would run twice.
func TestOvertakenHeartbeat(t *testing.T) {
	b := newBench(t, 1)
	b.hear(0, 1, 32000)
	b.submit(newSpec("a", 1, 60*ms))
	if n := len(b.runs()[process(0)]); n != 1 {
		t.Fatalf("%d runs sent", n)
	}
	for _, session := range []uint64{0, 1} {
		b.m.Heard(b.now, info(0), session, wire.Load{Version: 1, AcceptsRuns: true, Capacity: work.Resources{MilliCPU: 32000}, Free: work.Resources{MilliCPU: 32000}})
		b.collect()
		if n := len(b.runs()); n > 0 {
			t.Errorf("a heartbeat of session %d that was overtaken moved %d runs", session, n)
		}
	}
}

// Guards against a crash when a lost worker's first task ends its job, whose
// other tasks are then no longer at that worker.
func TestLostWorkerEndsJob(t *testing.T) {
	b := newBench(t, 1)
	j := newSpec("a", 4, 12*time.Second)
	j.Timeout = 10 * time.Second
	if _, ok := b.m.Submit(b.now, j); !ok {
		t.Fatal("refused")
	}
	b.now += 3 * time.Second // the runs are not sent yet
	b.m.Tick(b.now)
	b.collect()
	if _, ok := b.answers["a"]; !ok {
		t.Error("the job has no answer")
	}
}

// Guards against a worker on probation that never gets the run that could show
// that it has recovered, because it was slow.
func TestProbe(t *testing.T) {
	b := newBench(t, 2)
	b.hear(1, 0, 16000)
	b.version++
	b.m.SetLoad(b.now, process(0), wire.Load{Version: b.version, AppliedSequence: 1 << 30, AcceptsRuns: true, Probe: true, Slowness: 8,
		Capacity: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}, Free: work.Resources{MilliCPU: 32000, MemoryMB: 1 << 16}})
	b.submit(newSpec("a", 4, 60*ms))
	if n := len(b.runs()[process(0)]); n != 1 {
		t.Errorf("%d runs went to the worker on probation, want 1", n)
	}
}

// Guards against runs that are sent after their job was given up, because the
// sidecar did not answer for a while, and against batches of a session that the
// sidecar has ended.
func TestWanted(t *testing.T) {
	b := newBench(t, 1)
	b.submit(newSpec("a", 2, 60*ms))
	batch := Send{Sidecar: process(0), Runs: b.runs()[process(0)], Stops: []work.RunID{{Attempt: 1}}}
	if n := len(b.m.Wanted(batch).Runs); n != 2 {
		t.Errorf("%d of 2 runs are wanted", n)
	}
	batch.Session = 1
	if s := b.m.Wanted(batch); len(s.Runs)+len(s.Stops) != 0 {
		t.Errorf("of another session %d runs and %d stops are wanted", len(s.Runs), len(s.Stops))
	}
	batch.Session = 0
	b.m.CallerLeft(b.now, "a")
	if s := b.m.Wanted(batch); len(s.Runs) != 0 || len(s.Stops) != 1 {
		t.Errorf("of a job without a caller %d runs and %d stops are wanted", len(s.Runs), len(s.Stops))
	}
}
