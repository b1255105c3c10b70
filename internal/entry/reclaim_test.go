package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// newTestCore returns the core of an instance on which Run was not called. It has
// recorded the sidecars of a dead holder.
func newTestCore(t *testing.T, holder ident.Process, listed ...wire.SidecarRef) *core {
	t.Helper()
	e, err := New(Config{Instance: "a", Zone: "z1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		InternalAddress: "127.0.0.1:0"}, Deps{ConfigSource: staticConfig{testDocument()}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx, e.heartbeater = ctx, newHeartbeater(ctx, e.core)
	t.Cleanup(func() { cancel(); close(e.core.done); e.wg.Wait() })
	e.core.recordHolderSidecars(holder, listed)
	return e.core
}

func sidecarRef(instance string, incarnation uint64) wire.SidecarRef {
	return wire.SidecarRef{Peer: wire.Peer{Process: ident.Process{Instance: instance, Incarnation: incarnation}, Address: "127.0.0.1:1"}}
}

// TestTasksEnded guards against reclaiming the share of a dead holder while a
// sidecar that the holder could have used may still run one of its tasks: the
// sidecar runs tasks, is unreachable, has restarted, is silent, or attached late.
func TestTasksEnded(t *testing.T) {
	holder := ident.Process{Instance: "h", Incarnation: 1}
	s1, s2 := sidecarRef("s1", 1), sidecarRef("s2", 1)
	p1, p2 := s1.Peer.Process, s2.Peer.Process
	const deadSince = time.Second
	leaseEnd := deadSince + DefaultSelfLease + selfLeaseMargin
	answer := func(c *core, s wire.SidecarRef, reply wire.FenceOwnerReply) {
		c.applyFenceOwnerReply(leaseEnd, c.deadHolderState(holder), holder, s.Peer.Process, &reply)
	}
	for _, x := range []struct {
		name   string
		change func(c *core)
		want   bool
	}{
		{"both fenced and idle", func(c *core) {}, true},
		{"one still runs a task", func(c *core) {
			delete(c.deadHolderState(holder).tasksEnded, p2)
			answer(c, s2, wire.FenceOwnerReply{Sidecar: p2, StillRunning: []ident.Process{holder}})
		}, false},
		{"one is unreachable", func(c *core) { delete(c.deadHolderState(holder).tasksEnded, p2) }, false},
		{"one has restarted", func(c *core) {
			delete(c.deadHolderState(holder).tasksEnded, p2)
			answer(c, s2, wire.FenceOwnerReply{Sidecar: ident.Process{Instance: "s2", Incarnation: 2}})
		}, false},
		{"one has ended", func(c *core) { c.goneSidecars[p2] = deadSince }, false},
		{"one that only a peer knew has ended", func(c *core) { c.goneSidecars[sidecarRef("s3", 1).Peer.Process] = deadSince }, false},
		{"one attached late", func(c *core) {
			s3 := sidecarRef("s3", 1)
			c.attachedSidecars[s3.Peer.Process] = &attachedSidecar{peer: s3.Peer}
		}, false},
		{"one went silent at a peer", func(c *core) { c.recordFormerSidecars(deadSince, []wire.SidecarRef{sidecarRef("s3", 1)}) }, false},
		{"the holder never reported its sidecars", func(c *core) { c.deadHolderState(holder).sidecarsKnown = false }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTestCore(t, holder, s1, s2)
			answer(c, s1, wire.FenceOwnerReply{Sidecar: p1})
			answer(c, s2, wire.FenceOwnerReply{Sidecar: p2})
			x.change(c)
			if got := c.tasksEnded(leaseEnd, holder, deadSince); got != x.want {
				t.Errorf("tasks ended after the self-lease: %v, want %v", got, x.want)
			}
			if c.tasksEnded(leaseEnd-time.Millisecond, holder, deadSince) {
				t.Error("tasks ended before the end of the holder's self-lease")
			}
			if !c.tasksEnded(deadSince+c.maxTaskLifetime()+1, holder, deadSince) {
				t.Error("tasks not ended after the longest deadline")
			}
		})
	}
}

// TestReclaimReceivedShare guards against losing the share of a dead incarnation
// that has no base share but has received share from others.
func TestReclaimReceivedShare(t *testing.T) {
	holder := ident.Process{Instance: "h", Incarnation: 1}
	c := newTestCore(t, holder)
	four := int64(4)
	doc := testDocument()
	doc.Teams["studio"].Spec.Quota.Concurrency = &four
	c.document = doc
	c.limiter.SetDocument(doc)
	first := c.planAllocation(0, nil)
	c.limiter.Apply(first)
	c.allocation = first
	c.handlePeerHeartbeat(0, &wire.PeerHeartbeat{Entry: wire.Peer{Process: holder, Address: "127.0.0.1:1"}, Window: 1,
		ShareDemands: []wire.ShareDemand{{Limit: "team/studio/concurrency", Epoch: 1, Want: 3}}})
	if own := c.limiter.Statuses(0)[0].Share; own != 1 {
		t.Fatalf("share %d after a transfer of 3 of 4, want 1", own)
	}
	now := time.Minute
	c.markEntryDead(now, holder)
	c.planAllocation(now, first)
	now += c.maxTaskLifetime() + 1
	next := c.planAllocation(now, first)
	if next == nil {
		t.Fatal("the share of the dead incarnation is not reclaimed")
	}
	c.limiter.Apply(next)
	if own := c.limiter.Statuses(now)[0].Share; own != 4 {
		t.Fatalf("share %d after the reclaim, want 4", own)
	}
	c.allocation = next
	if again := c.planAllocation(now, next); again != nil {
		t.Fatal("the same incarnation is reclaimed twice")
	}
}

// TestFenceOwnerReportsRunning guards against a sidecar that reports no running
// task of a fenced owner while one runs, or still reports one after its end.
func TestFenceOwnerReportsRunning(t *testing.T) {
	s := &testCluster{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	done := make(chan int, 1)
	go func() {
		status, _ := submitJob(t, a, "", 1, 400)
		done <- status
	}()
	client := rpcnet.NewClient(s.sidecars[0].InternalAddr())
	defer client.Close()
	busy := func(owner ident.Process) bool {
		var reply wire.FenceOwnerReply
		req := wire.FenceOwnerRequest{Owners: []ident.Process{owner}}
		if err := client.Call(context.Background(), wire.ServiceSidecar+".FenceOwner", &req, &reply); err != nil {
			t.Fatal(err)
		}
		return len(reply.StillRunning) > 0
	}
	owner := *a.core.self.Load()
	waitFor(t, func() bool { started, _ := s.backends[0].Counts(); return started == 1 })
	if !busy(owner) {
		t.Error("the sidecar does not report the running task")
	}
	waitFor(t, func() bool { return !busy(owner) })
	if _, ended := s.backends[0].Counts(); ended != 1 {
		t.Error("the sidecar reports the end before the task has ended")
	}
	<-done
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition is not met within 10 s")
		}
	}
}
