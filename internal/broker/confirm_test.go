package broker

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestConfirmedHeartbeat guards against a sidecar process that is used beside another one
// although it has not received a reply from this entry incarnation.
func TestConfirmedHeartbeat(t *testing.T) {
	f := newFixture(t, &fakeSidecar{})
	f.sendHeartbeat(1)
	next := f.peer
	next.Process.Incarnation++
	self := f.broker.self.Process
	predecessor := ident.Process{Instance: self.Instance, Incarnation: self.Incarnation + 1}
	room := work.Resources{MilliCPU: 8000, MemoryMB: 1000}
	for version, c := range []struct {
		receiver ident.Process
		noReply  bool
		known    int
	}{{noReply: true, known: 1}, {receiver: predecessor, known: 1}, {receiver: self, known: 2}} {
		err := (&rpcService{f.broker}).Beat(&wire.RunnerHeartbeat{
			Info: wire.WorkerInfo{Sidecar: next, Worker: "w", Service: "svc"}, Session: 1, Receiver: c.receiver, NoReply: c.noReply,
			Load: wire.Load{Version: uint64(version + 1), Capacity: room, Free: room},
		}, &wire.RunnerHeartbeatReply{})
		if err != nil {
			t.Fatal(err)
		}
		f.broker.withLock(func() {
			if known, _ := f.broker.machine.Workers(); known != c.known {
				t.Errorf("receiver %v: %d processes in use, want %d", c.receiver, known, c.known)
			}
		})
	}
}
