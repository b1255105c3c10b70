package runner

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// fakeEntries are entry instances that list each other and record heartbeats.
type fakeEntries struct {
	t       *testing.T
	members []wire.Peer
	servers []*rpcnet.Server

	mu sync.Mutex // guards the fields below
	// last is the newest heartbeat, and crashes are those in all heartbeats, by the index of
	// the receiver.
	last    map[int]wire.RunnerHeartbeat
	crashes map[int][]wire.CrashRecord
	// restarts counts the restarts of each entry instance.
	restarts map[int]uint64
}

// fakeBroker is the RPC service of one entry instance.
type fakeBroker struct {
	entries *fakeEntries
	index   int
}

func (b *fakeBroker) Beat(req *wire.RunnerHeartbeat, reply *wire.RunnerHeartbeatReply) error {
	e := b.entries
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last[b.index] = *req
	e.crashes[b.index] = append(e.crashes[b.index], req.Crashes...)
	reply.Entry = ident.Process{Instance: e.members[b.index].Process.Instance, Incarnation: 1 + e.restarts[b.index]}
	const hash = 5
	if reply.MembersHash = hash; req.MembersHash != hash {
		reply.Members = e.members
	}
	return nil
}

func newFakeEntries(t *testing.T, n int) *fakeEntries {
	e := &fakeEntries{t: t, last: map[int]wire.RunnerHeartbeat{}, crashes: map[int][]wire.CrashRecord{}, restarts: map[int]uint64{}}
	listeners := make([]net.Listener, n)
	for i := range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = lis
		e.members = append(e.members, wire.Peer{Process: ident.Process{Instance: fmt.Sprint("entry-", i)}, Address: lis.Addr().String(), Zone: fmt.Sprint("z", i%3)})
	}
	for i, lis := range listeners {
		e.servers = append(e.servers, e.serve(i, lis))
	}
	return e
}

func (e *fakeEntries) serve(i int, lis net.Listener) *rpcnet.Server {
	s := rpcnet.NewServer()
	if err := s.Register(wire.ServiceBroker, &fakeBroker{e, i}); err != nil {
		e.t.Fatal(err)
	}
	go s.Serve(lis)
	e.t.Cleanup(func() { s.Close() })
	return s
}

// attached returns the entry instances that have an attachment of r.
func (e *fakeEntries) attached(r *Runner) map[int]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	set := map[int]bool{}
	for i, member := range e.members {
		if c := r.entries[member.Address]; c != nil && c.owner != nil && c.failingSince == 0 && !c.unwanted {
			set[i] = true
		}
	}
	return set
}

func (e *fakeEntries) waitFor(what string, holds func() bool) {
	e.t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			e.t.Fatal("not reached: " + what)
		}
	}
}

// TestAttachments guards against a sidecar whose heartbeats grow with the number of entry
// instances, against one that is left with fewer when some of them end, and against one
// that stays attached to substitutes when they return.
func TestAttachments(t *testing.T) {
	e := newFakeEntries(t, 30)
	r, err := New(Config{Instance: "side", Zone: "z1", InternalAddress: "127.0.0.1:0", EntryAddresses: []string{e.members[0].Address}, MaxLease: time.Second}, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, time.Second) }()
	defer func() {
		stop()
		<-done
	}()
	e.waitFor("12 attachments", func() bool { return len(e.attached(r)) == maxAttachments })
	first := e.attached(r)
	zone, ended := 0, -1
	for i := range first {
		if e.members[i].Zone == "z1" {
			zone++
		}
		ended = i
	}
	if zone < ownZoneAttachments {
		t.Errorf("%d attachments in the sidecar's own zone, want at least %d", zone, ownZoneAttachments)
	}
	e.waitFor("no attachment beyond the chosen ones", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.entries) == maxAttachments
	})
	for i, heartbeat := range e.heartbeats() {
		if !first[i] && heartbeat.Load.AcceptsRuns {
			t.Errorf("entry-%d, which was not chosen, was told that the worker accepts runs", i)
		}
	}

	e.servers[ended].Close()
	e.waitFor("a substitute", func() bool { now := e.attached(r); return len(now) == maxAttachments && !now[ended] })
	for i := range first {
		if i != ended && !e.attached(r)[i] {
			t.Errorf("detached from entry-%d although only entry-%d ended", i, ended)
		}
	}
	lis, err := net.Listen("tcp", e.members[ended].Address)
	if err != nil {
		t.Fatal(err)
	}
	e.serve(ended, lis)
	e.waitFor("the first choice again", func() bool {
		r.mu.Lock()
		n := len(r.entries)
		r.mu.Unlock()
		now := e.attached(r)
		for i := range first {
			if !now[i] {
				return false
			}
		}
		return n == maxAttachments
	})
}

// heartbeats returns the newest heartbeat of each entry instance that got one.
func (e *fakeEntries) heartbeats() map[int]wire.RunnerHeartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := map[int]wire.RunnerHeartbeat{}
	for i, heartbeat := range e.last {
		last[i] = heartbeat
	}
	return last
}
