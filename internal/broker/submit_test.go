package broker

import (
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// TestCallerOfEarlierSubmission guards against a submission that ends because the caller of an
// earlier, answered submission of the same job has left.
func TestCallerOfEarlierSubmission(t *testing.T) {
	f := newFixture(t, &fakeSidecar{})
	f.sendHeartbeat(1)
	b := f.broker
	b.sidecars[f.peer.Process].sending = true // keeps the batches in the queue
	answers := make(chan work.Answer, 1)
	go func() { answers <- b.Submit(testJob("a"), fakeCaller{}) }()
	unanswered := func() (n int) {
		b.withLock(func() { n = b.machine.UnansweredJobs() })
		return n
	}
	eventually(t, "the job is admitted", func() bool { return unanswered() == 1 })
	b.callerLeft("a", make(chan work.Answer, 1))
	if unanswered() != 1 {
		t.Fatalf("the later submission has the answer %+v", <-answers)
	}
	var current chan work.Answer
	b.withLock(func() { current = b.answerChans["a"] })
	b.callerLeft("a", current)
	if a := <-answers; a.State != work.Unfinished || a.Reason != work.ReasonCallerLeft {
		t.Errorf("answer %+v", a)
	}
}
