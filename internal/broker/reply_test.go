package broker

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

var (
	replyPeer     = wire.Peer{Process: ident.Process{Instance: "side", Incarnation: 1}, Address: "127.0.0.1:1"}
	replyCapacity = work.Resources{MilliCPU: 8000, MemoryMB: 1000}
)

// replyBroker is a broker whose batch to its only sidecar is under way; it sends nothing.
type replyBroker struct {
	*Broker
	client *sidecarClient
	batch  placement.Batch
}

func newReplyBroker(tb testing.TB) *replyBroker {
	b, err := New(Config{Instance: "entry", InternalAddress: "127.0.0.1:0", Zone: "z", Seed: 1}, queues.NewController(noStore{}), nil)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { b.listener.Close(); b.Close() })
	return &replyBroker{Broker: b}
}

// reset forgets all earlier messages, and places a job on the sidecar; mu is held.
func (b *replyBroker) reset(tb testing.TB) {
	b.machine = placement.New(placement.Config{Zone: "z"}, rand.New(rand.NewSource(1)))
	b.client = &sidecarClient{broker: b.Broker, sidecar: replyPeer.Process, rpcClient: rpcnet.NewClient(replyPeer.Address), sending: true}
	b.sidecars = map[ident.Process]*sidecarClient{replyPeer.Process: b.client}
	b.heartbeat(1)
	if !b.submit("a") || len(b.client.queue) != 1 {
		tb.Fatalf("%d batches", len(b.client.queue))
	}
	b.batch = b.client.queue[0].Batch
}

func (b *replyBroker) heartbeat(version uint64) {
	now := clock.SinceBoot()
	load := wire.Load{Version: version, ClockMs: 1000, AppliedSequence: b.batch.Sequence, AcceptsRuns: true, Capacity: replyCapacity, Free: replyCapacity}
	b.client.lastMessage = now
	b.client.noteClock(now, &load)
	b.machine.Heartbeat(now, wire.WorkerInfo{Sidecar: replyPeer, Worker: "w", Service: "svc"}, 1, load, true)
}

// submit submits a job and reports whether it is admitted.
func (b *replyBroker) submit(id string) bool {
	now := clock.SinceBoot()
	_, ok := b.machine.Submit(now, &work.Job{ID: id, Queue: "q", Service: "svc", MaxFailedRuns: 2, Timeout: time.Second, Objective: time.Second, ObjectiveFactor: 2,
		Steps: []work.Step{{Count: 1, Need: work.Resources{MilliCPU: 10}, Estimate: time.Millisecond}}})
	b.runMachine(now)
	return ok
}

// checkReply handles a reply and fails the test if impossible values in it have an effect.
func (b *replyBroker) checkReply(tb testing.TB, reply *wire.RunReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reset(tb)
	offset := b.client.clockOffset
	b.client.handleReply(clock.SinceBoot(), b.batch, reply)
	b.runMachine(clock.SinceBoot())
	if load := b.machine.ServiceLoad(clock.SinceBoot(), "svc"); load.FreeMilliCPU < 0 || load.QueuedMilliCPU < 0 {
		tb.Fatalf("%+v after %+v", load, reply)
	}
	if reply.Load.Validate() == nil {
		return
	}
	if b.client.clockOffset != offset || b.client.clockVersion != 1 {
		tb.Fatalf("clock offset %v of version %d after %+v", b.client.clockOffset, b.client.clockVersion, reply)
	}
	b.heartbeat(2)
	if !b.submit("b") {
		tb.Fatalf("no worker is usable after %+v", reply)
	}
}

// Guards against a version, session or sequence number that no later one exceeds.
func TestImpossibleCounters(t *testing.T) {
	const counter = 1 << 63
	run := wire.RunRequest{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}}
	for name, err := range map[string]error{
		"heartbeat's session": (&wire.RunnerHeartbeat{Info: wire.WorkerInfo{Sidecar: replyPeer}, Session: counter}).Validate(),
		"heartbeat's version": (&wire.RunnerHeartbeat{Info: wire.WorkerInfo{Sidecar: replyPeer}, Load: wire.Load{Version: counter}}).Validate(),
		"applied batch":       (&wire.Load{AppliedSequence: counter}).Validate(),
		"batch's sequence":    (&wire.RunBatch{Sequence: counter, Runs: []wire.RunRequest{run}}).Validate(),
	} {
		if err == nil {
			t.Errorf("%s %d is valid", name, uint64(counter))
		}
	}
}

// impossibleLoads are load summaries that no sidecar can send.
var impossibleLoads = []wire.Load{
	{Version: 5, ClockMs: -1 << 63, Capacity: replyCapacity},
	{Version: 5, ClockMs: 5000, Capacity: work.Resources{MilliCPU: -1}},
	{Version: 5, AcceptsRuns: true, Capacity: replyCapacity, Free: work.Resources{MilliCPU: 1 << 62}},
	{Version: 5, AcceptsRuns: true, Capacity: replyCapacity, Slowness: math.NaN()},
	{Version: 1 << 63, ClockMs: 5000, Capacity: replyCapacity},
}

// Guards against an impossible load summary in a reply, after which a worker gets no jobs.
func TestImpossibleLoadInReply(t *testing.T) {
	b := newReplyBroker(t)
	for _, load := range impossibleLoads {
		b.checkReply(t, &wire.RunReply{Load: load})
		b.checkReply(t, &wire.RunReply{Load: load, Stale: true})
		if load.Validate() == nil {
			t.Errorf("%+v is valid", load)
		}
	}
}

// FuzzRunReplies guards against a reply to a batch with impossible values that ends the
// process, or after which the worker gets no jobs.
func FuzzRunReplies(f *testing.F) {
	add := func(reply wire.RunReply) {
		data, err := msgpack.Marshal(&reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	add(wire.RunReply{Load: wire.Load{Version: 2, AcceptsRuns: true, Capacity: replyCapacity, Free: replyCapacity}})
	for _, load := range impossibleLoads {
		add(wire.RunReply{Load: load})
		add(wire.RunReply{Load: load, Rejected: true})
	}
	b := newReplyBroker(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply wire.RunReply
		if msgpack.Unmarshal(data, &reply) == nil {
			b.checkReply(t, &reply)
		}
	})
}
