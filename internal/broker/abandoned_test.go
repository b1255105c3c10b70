package broker

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/clock"
)

// TestStartAbandonedAtTimeout guards against a job that waits until its deadline for a run that
// never reached its sidecar, because the batch was abandoned before the sidecar was heard again.
func TestStartAbandonedAtTimeout(t *testing.T) {
	f := newFixture(t, &fakeSidecar{})
	f.sendHeartbeat(1)
	b := f.broker
	c := b.sidecars[f.peer.Process]
	c.sending = true // keeps the batches in the queue
	caller := fakeCaller{make(chan struct{})}
	job := testJob("a")
	job.Timeout = time.Minute // beyond the leases, so that the loss of contact doesn't end the job
	done := make(chan struct{})
	go func() { b.Submit(job, waitingCaller{caller}); close(done) }()
	eventually(t, "the job is admitted", func() (admitted bool) {
		b.withLock(func() { admitted = len(c.queue) == 1 })
		return admitted
	})
	const beforeContactCheck = time.Second // later than the timeout of the sidecar
	b.withLock(func() {
		start := c.queue[0].Batch
		c.queue = nil
		if !c.handleFailure(clock.SinceBoot()+beforeContactCheck, start, errors.New("no reply"), true) {
			t.Fatal("the batch is not abandoned")
		}
	})
	f.sendHeartbeat(1) // the same session: the sidecar has carried out no batch and dropped nothing
	b.withLock(func() {
		if len(c.queue) != 1 || len(c.queue[0].Stops) != 1 {
			t.Errorf("queue %+v after the next heartbeat, want a stop of the run that never arrived", c.queue)
		}
	})
	close(caller.left)
	<-done
}
