package runner

import (
	"context"
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

// Guards against the execution of a batch that the network delayed until its jobs
// were abandoned and submitted again elsewhere: its tasks would run twice. The test
// also covers batches of an earlier session, for another process and of another
// owner.
func TestStaleBatch(t *testing.T) {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	defer r.cancel()
	entry := ident.Process{Instance: "entry", Incarnation: 1}
	now := clock.SinceBoot()
	r.owners[entry] = &owner{Owner: ownership.New(4), runner: r, process: entry,
		client: &entryClient{runner: r, rpcClient: rpcnet.NewClient(r.Address()), wakeCh: make(chan struct{}, 1)}}
	r.owners[entry].HeartbeatAnswered(now, now, 4)
	batch := wire.RunBatch{Entry: entry, Sidecar: r.self.Process, Session: 4, SidecarClockMs: now.Milliseconds(), Sequence: 7,
		Runs: []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, MaxWaitMs: 1000}}}
	for _, c := range []struct {
		name            string
		change          func(b *wire.RunBatch)
		rejected, stale bool
	}{
		{"delayed", func(b *wire.RunBatch) { b.SidecarClockMs -= ownership.Timeout.Milliseconds() + 1 }, false, true},
		{"of an earlier session", func(b *wire.RunBatch) { b.Session = 3 }, true, false},
		{"for another process", func(b *wire.RunBatch) { b.Sidecar.Incarnation++ }, true, false},
		{"of another owner", func(b *wire.RunBatch) { b.Entry.Incarnation++ }, true, false},
		{"in time", func(*wire.RunBatch) {}, false, false},
	} {
		b := batch
		c.change(&b)
		var reply wire.RunReply
		if err := (&rpcService{r}).Run(&b, &reply); err != nil || reply.Rejected != c.rejected || reply.Stale != c.stale {
			t.Errorf("batch %s: reply %+v, error %v", c.name, reply, err)
		}
		if applied := r.owners[entry].AppliedSequence() == batch.Sequence; applied != (c.name == "in time") {
			t.Errorf("batch %s: applied %v", c.name, applied)
		}
	}
}

// TestBatchWithImpossibleClock guards against a batch whose age is not known, since its clock
// overflows a duration, and that starts its runs.
func TestBatchWithImpossibleClock(t *testing.T) {
	for _, ms := range []int64{1 << 62, -1 << 63, 1<<63 - 1} {
		b := wire.RunBatch{SidecarClockMs: ms, Sequence: 1}
		if err := b.Validate(); !errors.Is(err, errors.NotValid) {
			t.Errorf("clock %d ms: error %v, want not valid", ms, err)
		}
	}
}

// freshWorker is a worker in the first millisecond of its incarnation: its clock is
// zero.
type freshWorker struct{ incarnation int64 }

func (w freshWorker) StartRun(context.Context, StartRequest) StartReply { return StartReply{} }
func (w freshWorker) StopRun(context.Context, work.RunID, int64) error  { return nil }
func (w freshWorker) PollStatus(context.Context, StatusRequest) (StatusReply, error) {
	return StatusReply{Incarnation: w.incarnation}, nil
}
func (w freshWorker) Close() {}

// Guards against a worker that never becomes available because it replied to the
// first status requests while its clock was zero, which was taken for an unknown
// clock.
func TestWorkerWithClockZero(t *testing.T) {
	w := freshWorker{incarnation: 1700000000000}
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second, ReportInterval: time.Minute},
		func(string) WorkerClient { return w }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.wg.Wait()
	defer r.cancel()
	defer r.listener.Close()
	r.HandleReport(Report{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Incarnation: w.incarnation, Sequence: 1, Capacity: work.Resources{MilliCPU: 1}})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ready := r.machine.AcceptsRuns()
		r.mu.Unlock()
		if ready {
			return
		}
	}
	t.Error("the worker did not become available")
}

// Guards against a lease that is extended for the runs of an owner that has just been
// dropped: they would outlast the time after which a caller submits its job again.
func TestLeaseLimitOfDroppedOwner(t *testing.T) {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	defer r.cancel()
	now := clock.SinceBoot()
	o := &owner{Owner: ownership.New(1), runner: r, process: ident.Process{Instance: "entry", Incarnation: 1}}
	r.owners[o.process] = o
	o.HeartbeatAnswered(now, now, 1)
	r.machine.SetWorker(now, occupancy.Worker{ID: "w", Incarnation: 1, Capacity: work.Resources{MilliCPU: 1}})
	r.machine.ApplyStatus(now, occupancy.WorkerStatus{})
	r.machine.SetWorkerAvailable(now, true)
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	r.machine.Submit(now, o.process, []wire.RunRequest{{Run: run, MaxWaitMs: 1000}})
	r.machine.StartAnswered(now, run, occupancy.Accepted, "")
	r.dropOwner(now+ownership.Timeout, o, "", 0)
	if limit, limited := r.leaseLimit(); !limited || limit != now+ownership.LeaseAfterContact {
		t.Errorf("limit %v, %v while a run of the dropped owner is active, want %v", limit, limited, now+ownership.LeaseAfterContact)
	}
}
