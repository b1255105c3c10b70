package broker

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/crashtest"
	"github.com/cardamomturn/cardamomturn/internal/queues"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// newCrashingBroker returns a serving broker whose machine panics at each call.
func newCrashingBroker() *Broker {
	b, err := New(Config{Instance: "entry", InternalAddress: "127.0.0.1:0", Seed: 1}, queues.NewController(noStore{}), nil)
	if err != nil {
		panic(err)
	}
	go b.Run()
	b.mu.Lock()
	b.tickTimer.Stop()
	b.machine = nil
	b.mu.Unlock()
	return b
}

// Guards against an entry instance that lives on with a locked mutex after a panic.
func TestPanicEndsProcess(t *testing.T) {
	const message = "nil pointer dereference"
	crashtest.Run(t, "call of a sidecar", message, func() {
		b := newCrashingBroker()
		req := wire.RunnerHeartbeat{Info: wire.WorkerInfo{Sidecar: replyPeer}}
		_ = rpcnet.NewClient(b.Address()).CallWithTimeout(context.Background(), 10*time.Second, wire.ServiceBroker+".Beat", &req, &wire.RunnerHeartbeatReply{})
	})
	crashtest.Run(t, "timer", message, func() { newCrashingBroker().tickTimer.Reset(0) })
	crashtest.Run(t, "submission", message, func() { go newCrashingBroker().Submit(&work.Job{ID: "a"}, nil) })
	crashtest.Run(t, "batch", message, func() {
		b := newCrashingBroker()
		client := &sidecarClient{broker: b, sidecar: replyPeer.Process, queue: []queuedBatch{{}}}
		go client.sendBatches()
	})
	crashtest.Run(t, "call of a batch", message, func() {
		b := newReplyBroker(t)
		b.mu.Lock()
		b.reset(t)
		b.client.rpcClient = nil
		b.mu.Unlock()
		go b.client.sendBatches()
	})
	crashtest.Run(t, "exchange", message, func() {
		b := newCrashingBroker()
		go b.exchange(&peer{})
	})
	crashtest.Run(t, "drain", message, func() {
		b := newCrashingBroker()
		defer b.Close() // as in the role's main function
		b.Drain(context.Background())
	})
	crashtest.Run(t, "frame", "injected", func() {
		b := newCrashingBroker()
		b.rpcServer.OnBadFrame = func(string, error) { panic("injected") }
		conn, err := net.Dial("tcp", b.Address())
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	})
}
