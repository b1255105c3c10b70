package runner

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// checkHeartbeatReply handles a reply to a heartbeat of an owner with a run, and fails the
// test if impossible values in it have an effect.
func checkHeartbeatReply(tb testing.TB, r *Runner, reply wire.RunnerHeartbeatReply) {
	now := clock.SinceBoot()
	r.mu.Lock()
	clear(r.owners)
	clear(r.entries)
	r.mu.Unlock()
	c := newTestClient(r, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	c.address = "127.0.0.1:1"
	r.entries[c.address] = c
	owner := c.owner
	earlier := []wire.Peer{{Process: ident.Process{Instance: "entry"}, Address: c.address}}
	c.members, c.membersHash = earlier, 5
	r.machine.Submit(now, owner.process, []wire.RunRequest{{Run: work.RunID{Task: work.TaskID{Job: "a"}, Attempt: 1}, Need: work.Resources{MilliCPU: 500}}})
	r.machine.Actions()
	if err := c.handleReply(now, now, owner.Session(), &reply); (err != nil) != reply.Entry.IsZero() {
		tb.Fatalf("%v from %+v", err, reply)
	}
	if reply.Entry.IsZero() && (c.owner != owner || !owner.Live() || len(r.owners) != 1) {
		tb.Fatalf("owner %+v after %+v", c.owner, reply)
	}
	for _, member := range c.members {
		if _, err := netip.ParseAddrPort(member.Address); err != nil {
			tb.Fatalf("member %+v after %+v", member, reply)
		}
	}
	if len(c.members) == 0 {
		tb.Fatalf("no members after %+v", reply)
	}
}

// newDetachedRunner returns a sidecar that contacts no entry instance.
func newDetachedRunner(tb testing.TB) *Runner {
	r := newTestRunner(tb, clock.SinceBoot())
	r.cancel()
	return r
}

// impossibleReplies are replies to a heartbeat that no entry instance can send.
func impossibleReplies() []wire.RunnerHeartbeatReply {
	entry := ident.Process{Instance: "entry", Incarnation: 1}
	peer := wire.Peer{Process: entry, Address: "10.0.0.1:7"}
	many := make([]wire.Peer, 20_000)
	for i := range many {
		many[i] = wire.Peer{Address: fmt.Sprintf("10.0.%d.%d:7", i/256, i%256)}
	}
	return []wire.RunnerHeartbeatReply{
		{},
		{Members: []wire.Peer{peer}, MembersHash: 9},
		{Entry: entry, Members: []wire.Peer{peer, {Address: "x"}}, MembersHash: 9},
		{Entry: entry, Members: []wire.Peer{{}}, MembersHash: 9},
		{Entry: entry, Members: many, MembersHash: 9},
	}
}

// Guards against a malformed reply that replaces the owner, or the list of entry instances.
func TestImpossibleHeartbeatReply(t *testing.T) {
	r := newDetachedRunner(t)
	for _, reply := range impossibleReplies() {
		checkHeartbeatReply(t, r, reply)
		for _, c := range r.entries {
			if len(c.members) != 1 || c.membersHash != 5 {
				t.Errorf("%d members, hash %d", len(c.members), c.membersHash)
			}
		}
	}
}

// FuzzHeartbeatReplies guards against a reply of an entry instance that ends the sidecar, or
// makes it drop its owner without naming another one.
func FuzzHeartbeatReplies(f *testing.F) {
	for _, reply := range append(impossibleReplies()[:4], wire.RunnerHeartbeatReply{Entry: ident.Process{Instance: "entry", Incarnation: 2}}) {
		data, err := msgpack.Marshal(&reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	r := newDetachedRunner(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply wire.RunnerHeartbeatReply
		if msgpack.Unmarshal(data, &reply) == nil {
			checkHeartbeatReply(t, r, reply)
		}
	})
}
