package runner

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/ownership"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// FuzzRunBatch guards against a batch with impossible values that ends the process or
// makes the sidecar start more than fits.
func FuzzRunBatch(f *testing.F) {
	run := work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}
	for _, batch := range []wire.RunBatch{
		{Sequence: 1, Runs: []wire.RunRequest{{Run: run, Need: work.Resources{MilliCPU: 500}, EstimateMs: 60, MaxWaitMs: 100}}, Stops: []work.RunID{run}},
		{Sequence: 2, Runs: []wire.RunRequest{{Run: run, Rank: -1, Need: work.Resources{MilliCPU: -5}, EstimateMs: -1, MaxWaitMs: 1 << 62}}},
		{Sequence: 1 << 63, SidecarClockMs: -1 << 63, Runs: []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Step: -1}}, Need: work.Resources{MemoryMB: 1 << 62}, NoWait: true}}},
	} {
		data, err := msgpack.Marshal(&batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	r, err := New(Config{Instance: "side", InternalAddress: "127.0.0.1:0", MaxLease: time.Second}, nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { r.listener.Close(); r.cancel() })
	entry := ident.Process{Instance: "entry", Incarnation: 1}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch wire.RunBatch
		if msgpack.Unmarshal(data, &batch) != nil {
			return
		}
		now := clock.SinceBoot()
		r.mu.Lock()
		capacity := work.Resources{MilliCPU: 4000, MemoryMB: 1000}
		r.machine = occupancy.New(occupancy.Config{})
		r.machine.SetWorker(now, occupancy.Worker{ID: "w", Incarnation: 1, Capacity: capacity})
		r.machine.SetWorkerAvailable(now, true)
		r.machine.ApplyStatus(now, occupancy.WorkerStatus{})
		o := &owner{Owner: ownership.New(4), runner: r, process: entry, sending: true,
			client: &entryClient{runner: r, rpcClient: rpcnet.NewClient(r.Address()), wakeCh: make(chan struct{}, 1)}}
		o.HeartbeatAnswered(now, now, 4)
		r.owners[entry] = o
		r.mu.Unlock()
		batch.Entry, batch.Sidecar, batch.Session = entry, r.self.Process, 4
		for range 2 {
			var reply wire.RunReply
			if err := (&rpcService{r}).Run(&batch, &reply); err == nil && !reply.Load.Free.FitsIn(capacity) {
				t.Fatalf("free capacity %+v", reply.Load.Free)
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if used := r.machine.Used(); !used.FitsIn(capacity) || !used.Valid() {
			t.Fatalf("%+v used of %+v", used, capacity)
		}
	})
}
