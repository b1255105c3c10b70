package entry

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// idleCore returns the core of an instance that has not started, with a dead
// holder that listed the sidecars.
func idleCore(t *testing.T, holder ident.Process, listed ...wire.SidecarRef) *core {
	t.Helper()
	e, err := New(Config{Instance: "a", Zone: "z1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		InternalAddress: "127.0.0.1:0"}, Deps{Configuration: fixedConfig{testDocument()}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx, e.beats = ctx, newBeats(ctx, e.core)
	t.Cleanup(func() { cancel(); close(e.core.done); e.wg.Wait() })
	e.core.noteSidecars(holder, listed)
	return e.core
}

func ref(instance string, incarnation uint64) wire.SidecarRef {
	return wire.SidecarRef{Peer: wire.Peer{Process: ident.Process{Instance: instance, Incarnation: incarnation}, Address: "127.0.0.1:1"}}
}

// TestAccounted guards against a dead holder's share coming back while a
// sidecar that it could use may run one of its tasks: one that has tasks, is
// unreachable, has restarted, is silent, or joined late.
func TestAccounted(t *testing.T) {
	holder := ident.Process{Instance: "h", Incarnation: 1}
	s1, s2 := ref("s1", 1), ref("s2", 1)
	p1, p2 := s1.Peer.Process, s2.Peer.Process
	const dead = time.Second
	early := dead + DefaultSelfLease + recoverMargin
	answer := func(c *core, s wire.SidecarRef, reply wire.FenceOwnerReply) {
		c.fencedAt(early, c.reclaimOf(holder), holder, s.Peer.Process, &reply)
	}
	for _, x := range []struct {
		name string
		do   func(c *core)
		want bool
	}{
		{"both fenced and idle", func(c *core) {}, true},
		{"one still runs a task", func(c *core) {
			delete(c.reclaimOf(holder).clear, p2)
			answer(c, s2, wire.FenceOwnerReply{Sidecar: p2, StillRunning: []ident.Process{holder}})
		}, false},
		{"one is unreachable", func(c *core) { delete(c.reclaimOf(holder).clear, p2) }, false},
		{"one has restarted", func(c *core) {
			delete(c.reclaimOf(holder).clear, p2)
			answer(c, s2, wire.FenceOwnerReply{Sidecar: ident.Process{Instance: "s2", Incarnation: 2}})
		}, false},
		{"one is gone", func(c *core) { c.gone[p2] = dead }, false},
		{"one that only a peer knew is gone", func(c *core) { c.gone[ref("s3", 1).Peer.Process] = dead }, false},
		{"one joined late", func(c *core) {
			s3 := ref("s3", 1)
			c.links[s3.Peer.Process] = &attached{peer: s3.Peer}
		}, false},
		{"one went silent at a peer", func(c *core) { c.unlist(dead, []wire.SidecarRef{ref("s3", 1)}) }, false},
		{"the holder never told its sidecars", func(c *core) { c.reclaimOf(holder).told = false }, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := idleCore(t, holder, s1, s2)
			answer(c, s1, wire.FenceOwnerReply{Sidecar: p1})
			answer(c, s2, wire.FenceOwnerReply{Sidecar: p2})
			x.do(c)
			if got := c.ended(early, holder, dead); got != x.want {
				t.Errorf("%v after the self-lease, want %v", got, x.want)
			}
			if c.ended(early-time.Millisecond, holder, dead) {
				t.Error("ended before the self-lease of the holder")
			}
			if !c.ended(dead+c.endBound()+1, holder, dead) {
				t.Error("not ended after the longest deadline")
			}
		})
	}
}

// TestReclaimReceived guards against the loss of the share of a dead incarnation
// that has no base share but had received from others.
func TestReclaimReceived(t *testing.T) {
	holder := ident.Process{Instance: "h", Incarnation: 1}
	c := idleCore(t, holder)
	four := int64(4)
	doc := testDocument()
	doc.Teams["studio"].Spec.Quota.Concurrency = &four
	c.document = doc
	c.ledger.SetDocument(doc)
	first := c.planAllocation(0, nil)
	c.ledger.Apply(first)
	c.allocation = first
	c.peerBeat(0, &wire.PeerHeartbeat{Entry: wire.Peer{Process: holder, Address: "127.0.0.1:1"}, Window: 1,
		ShareDemands: []wire.ShareDemand{{Limit: "team/studio/concurrency", Epoch: 1, Want: 3}}})
	if own := c.ledger.Statuses(0)[0].Share; own != 1 {
		t.Fatalf("share %d after giving 3 of 4", own)
	}
	now := time.Minute
	c.killEntry(now, holder)
	c.planAllocation(now, first)
	now += c.endBound() + 1
	next := c.planAllocation(now, first)
	if next == nil {
		t.Fatal("the share of the dead incarnation is not reclaimed")
	}
	c.ledger.Apply(next)
	if own := c.ledger.Statuses(now)[0].Share; own != 4 {
		t.Fatalf("share %d of 4 after the reclaim", own)
	}
	c.allocation = next
	if again := c.planAllocation(now, next); again != nil {
		t.Fatal("the same incarnation is reclaimed twice")
	}
}

// TestFencedOwnerBusy guards against a sidecar that reports no running task of
// a fenced owner while one runs, or still reports it after its end.
func TestFencedOwnerBusy(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	done := make(chan int, 1)
	go func() {
		status, _ := post(t, a, "", 1, 400)
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
