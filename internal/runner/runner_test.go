package runner

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Guards against a batch that the network held up until its jobs were given up
// and handed in again elsewhere: its runs would be second runs. Also against
// batches of an earlier session or for another process.
func TestStaleBatch(t *testing.T) {
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.lis.Close()
	defer r.cancel()
	entry := ident.Process{Instance: "entry", Incarnation: 1}
	now := clock.SinceBoot()
	r.owners[entry] = &owner{r: r, process: entry, live: true, contact: now, session: 4,
		link: &link{r: r, client: rpcnet.NewClient(r.Address())}}
	batch := wire.RunBatch{Entry: entry, Sidecar: r.self.Process, Session: 4, SidecarClockMs: now.Milliseconds(), Sequence: 7,
		Runs: []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, MaxWaitMs: 1000}}}
	for _, c := range []struct {
		name        string
		change      func(b *wire.RunBatch)
		gone, stale bool
	}{
		{"held up", func(b *wire.RunBatch) { b.SidecarClockMs -= maxBatchAge.Milliseconds() + 1 }, false, true},
		{"of an earlier session", func(b *wire.RunBatch) { b.Session = 3 }, true, false},
		{"for another process", func(b *wire.RunBatch) { b.Sidecar.Incarnation++ }, true, false},
		{"of another owner", func(b *wire.RunBatch) { b.Entry.Incarnation++ }, true, false},
		{"in time", func(*wire.RunBatch) {}, false, false},
	} {
		b := batch
		c.change(&b)
		var reply wire.RunReply
		if err := (&service{r}).Run(&b, &reply); err != nil || reply.Rejected != c.gone || reply.Stale != c.stale {
			t.Errorf("a batch %s: %+v, %v", c.name, reply, err)
		}
		if carriedOut := r.owners[entry].applied == batch.Sequence; carriedOut != (c.name == "in time") {
			t.Errorf("a batch %s: carried out %v", c.name, carriedOut)
		}
	}
}

// newborn is a worker in the first millisecond of its life: its clock shows zero.
type newborn struct{ born int64 }

func (w newborn) Start(context.Context, StartOrder) StartAnswer { return StartAnswer{} }
func (w newborn) Stop(context.Context, work.RunID, int64) error { return nil }
func (w newborn) Look(context.Context, LookOrder) (LookAnswer, error) {
	return LookAnswer{Born: w.born}, nil
}
func (w newborn) Close() {}

// Guards against a worker that stays closed for ever because its first looks were
// answered in the first millisecond of its clock.
func TestNewbornWorker(t *testing.T) {
	w := newborn{born: 1700000000000}
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second, ReportInterval: time.Minute},
		func(string) Worker { return w }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.wg.Wait()
	defer r.cancel()
	defer r.lis.Close()
	r.Reported(Report{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Born: w.born, Sequence: 1, Capacity: work.Resources{MilliCPU: 1}})
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ready := r.m.AcceptsRuns()
		r.mu.Unlock()
		if ready {
			return
		}
	}
	t.Error("the worker stays closed")
}
