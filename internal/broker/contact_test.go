package broker

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestStopAbandonedAtTimeout guards against a run of an answered job that goes on because the
// batch with its stop was abandoned just before the sidecar was heard again.
func TestStopAbandonedAtTimeout(t *testing.T) {
	f := newFixture(t, &fakeSidecar{})
	f.sendHeartbeat(1)
	b := f.broker
	c := b.sidecars[f.peer.Process]
	c.sending = true // keeps the batches in the queue
	caller := fakeCaller{make(chan struct{})}
	answers := make(chan work.Answer, 1)
	go func() { answers <- b.Submit(testJob("a"), waitingCaller{caller}) }()
	eventually(t, "the job is admitted", func() (admitted bool) {
		b.withLock(func() { admitted = len(c.queue) == 1 })
		return admitted
	})
	close(caller.left)
	<-answers
	const beforeContactCheck = time.Second // later than the timeout of the sidecar
	b.withLock(func() {
		if len(c.queue) != 2 || len(c.queue[1].Stops) != 1 {
			t.Fatalf("queue %+v, want a start and a stop", c.queue)
		}
		stop := c.queue[1].Batch
		c.queue = nil
		if !c.handleFailure(clock.SinceBoot()+beforeContactCheck, stop, errors.New("no reply"), true) {
			t.Fatal("the batch is not abandoned")
		}
	})
	f.sendHeartbeat(1)
	b.withLock(func() {
		if len(c.queue) != 1 || len(c.queue[0].Stops) != 1 {
			t.Errorf("queue %+v after the next heartbeat, want a stop", c.queue)
		}
	})
}

// waitingCaller is a caller that waits until left is closed.
type waitingCaller struct{ fakeCaller }

// HasLeft implements Caller.
func (waitingCaller) HasLeft() bool { return false }

// TestSilentClientThatSends guards against two clients of a sidecar that send at a time, so that
// the batch of one is taken for a repetition after that of the other, and against a batch that is
// sent to a closed client for good.
func TestSilentClientThatSends(t *testing.T) {
	f := newFixture(t, &fakeSidecar{})
	f.sendHeartbeat(1)
	b := f.broker
	b.withLock(func() {
		now := clock.SinceBoot() + 2*sidecarTimeout
		c := b.sidecars[f.peer.Process]
		c.sending = true
		if b.closeSilentClients(now); b.sidecars[f.peer.Process] != c {
			t.Error("the client is closed while it sends")
		}
		c.sending = false
		if b.closeSilentClients(now); b.sidecars[f.peer.Process] != nil {
			t.Error("the silent client is not closed")
		}
	})
}
