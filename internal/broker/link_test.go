package broker

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// sidecar answers batches as a test says.
type sidecar struct {
	mu     sync.Mutex
	answer func(n int, b *wire.RunBatch, r *wire.RunReply)
	calls  int
}

// Run is called by the broker.
func (s *sidecar) Run(b *wire.RunBatch, r *wire.RunReply) error {
	s.mu.Lock()
	s.calls++
	n, answer := s.calls, s.answer
	s.mu.Unlock()
	answer(n, b, r)
	return nil
}

// fixture is a broker with one sidecar that is heard of when the test says so.
type fixture struct {
	t       *testing.T
	b       *Broker
	peer    wire.Peer
	version uint64
}

func newFixture(t *testing.T, s *sidecar) *fixture {
	t.Helper()
	b, err := New(Config{Instance: "entry", InternalAddress: "127.0.0.1:0", Zone: "z", Seed: 1}, queues.NewController(nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.lis.Close()
		b.Close()
	})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rpc := rpcnet.NewServer()
	if err := rpc.Register(wire.ServiceRunner, s); err != nil {
		t.Fatal(err)
	}
	go rpc.Serve(lis)
	t.Cleanup(func() { rpc.Close() })
	return &fixture{t: t, b: b, peer: wire.Peer{Process: ident.Process{Instance: "side", Incarnation: 1}, Address: lis.Addr().String(), Zone: "z"}}
}

// beat hands the broker a heartbeat of the sidecar.
func (f *fixture) beat(session uint64) {
	f.t.Helper()
	f.version++
	room := work.Resources{MilliCPU: 8000, MemoryMB: 1000}
	err := (&service{f.b}).Beat(&wire.RunnerHeartbeat{
		Info:    wire.WorkerInfo{Sidecar: f.peer, Worker: "w", Service: "svc"},
		Load:    wire.Load{Version: f.version, AcceptsRuns: true, Capacity: room, Free: room},
		Session: session,
	}, &wire.RunnerHeartbeatReply{})
	if err != nil {
		f.t.Fatal(err)
	}
}

// submit hands a job in and returns its answer; heartbeats come meanwhile.
func (f *fixture) submit(id string, session func() uint64) work.Answer {
	f.t.Helper()
	answered := make(chan work.Answer, 1)
	go func() {
		answered <- f.b.Submit(&work.Job{ID: id, Queue: "q", Service: "svc", MaxFailedRuns: 3, Timeout: 1500 * time.Millisecond,
			Objective: time.Second, ObjectiveFactor: 2,
			Steps: []work.Step{{Count: 1, Need: work.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: 50 * time.Millisecond}}}, nil)
	}()
	const limit = 20 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end); {
		select {
		case a := <-answered:
			return a
		case <-time.After(100 * time.Millisecond):
			f.beat(session())
		}
	}
	f.t.Fatalf("no answer to job %s", id)
	return work.Answer{}
}

// end reports a run as done.
func (f *fixture) end(run work.RunID) {
	go func() {
		_ = (&service{f.b}).Ends(&wire.EndBatch{Entry: f.b.self.Process, Sidecar: f.peer.Process,
			Ends: []wire.RunEnd{{Run: run}}}, &wire.EndReply{}) // always nil
	}()
}

// Guards against a sidecar that is never used again: its batch was not answered,
// and was dropped before it could be because nobody waits for its runs.
func TestUnansweredBatchDropped(t *testing.T) {
	s := &sidecar{}
	f := newFixture(t, s)
	hold := make(chan struct{})
	defer close(hold)
	s.answer = func(_ int, _ *wire.RunBatch, _ *wire.RunReply) { <-hold }
	f.beat(1)
	calls := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.calls
	}
	// The sidecar drops the session while its answers are lost, and is well then.
	f.submit("a", func() uint64 {
		if calls() < 2 {
			return 1
		}
		s.mu.Lock()
		s.answer = func(_ int, b *wire.RunBatch, r *wire.RunReply) {
			for _, run := range b.Runs {
				f.end(run.Run)
			}
		}
		s.mu.Unlock()
		return 2
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		f.beat(2)
		if a := f.submit("b", func() uint64 { return 2 }); a.State == work.Completed {
			return
		} else if time.Now().After(end) {
			t.Fatalf("a job at a sidecar that answers again: %+v", a)
		}
	}
}

// Guards against a job ID that is answered as under way for ever: its batch was
// refused after an attempt without an answer, in a session that does not end.
func TestBatchRefusedInDoubt(t *testing.T) {
	s := &sidecar{}
	f := newFixture(t, s)
	hold := make(chan struct{})
	s.answer = func(n int, b *wire.RunBatch, r *wire.RunReply) {
		switch {
		case n == 1:
			<-hold // not answered in time
		case n < 40:
			r.Rejected = true // the sidecar waits for an answer to its heartbeat
		default:
			for _, run := range b.Runs {
				f.end(run.Run)
			}
		}
	}
	defer close(hold)
	f.beat(1)
	f.submit("a", func() uint64 { return 1 })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		f.beat(1)
		if a := f.submit("a", func() uint64 { return 1 }); a.State == work.Completed {
			return
		} else if time.Now().After(end) {
			t.Fatalf("the same ID once the sidecar takes batches: %+v", a)
		}
	}
}
