package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// check takes the queued actions and checks the answers.
func (o *model) check(*rapid.T) {
	for _, a := range o.m.Actions() {
		switch a := a.(type) {
		case Dispatch:
			o.dispatches = append(o.dispatches, message{to: o.liveSidecar(a.Sidecar), starts: a.Starts})
		case Fence:
			o.fences = append(o.fences, message{to: o.liveSidecar(a.Sidecar), fenced: a.Starts})
		case Answered:
			o.checkAnswered(a)
		}
	}
	for id, at := range o.deadline {
		if _, ok := o.answers[id]; !ok && o.now >= at+400*time.Millisecond {
			o.Fatalf("job %s has no answer at %v, deadline %v", id, o.now, at)
		}
	}
}

func (o *model) liveSidecar(p ident.Process) *sidecar {
	for _, s := range o.live {
		if s.process == p {
			return s
		}
	}
	o.Fatalf("message to the detached sidecar %v", p)
	return nil
}

func (o *model) checkAnswered(a Answered) {
	if _, again := o.answers[a.ID]; again || !a.Answer.State.Final() {
		o.Fatalf("second or unfinished answer %+v", a)
	}
	if o.now > o.deadline[a.ID] && a.Answer.State == jobapi.JobComplete {
		o.Fatalf("complete after the deadline: %+v", a)
	}
	o.answers[a.ID] = a.Answer
	complete, none := true, true
	for i, t := range a.Answer.Tasks {
		ran := o.started[wire.TaskKey{Submission: a.ID, Index: i}] > 0
		complete = complete && t.State == jobapi.TaskCompleted
		none = none && t.State == jobapi.TaskNotRun
		if !t.State.Final() || t.State == jobapi.TaskNotRun && ran || t.State == jobapi.TaskCompleted && !ran {
			o.Fatalf("task %d: state %s, started %v in %+v", i, t.State, ran, a)
		}
	}
	if complete != (a.Answer.State == jobapi.JobComplete) || none != a.Answer.NotRun {
		o.Fatalf("answer does not match its tasks: %+v", a)
	}
}

// TestInterleavings guards against tasks that start twice, partial answers, tasks
// that are answered as not run but have run, and jobs without an answer at their
// deadline. Messages are reordered, lost and repeated at random.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newModel(t)
		o.m.rnd = rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		o.attach(t)
		t.Repeat(map[string]func(*rapid.T){
			"": o.check, "attach": o.attach, "detach": o.detach, "grant": o.grant, "grant2": o.grant,
			"void": o.dropCredits, "recall": o.recall, "submit": o.submit, "submit2": o.submit, "cancel": o.cancel,
			"deliver": o.deliver, "deliver2": o.deliver, "late": o.deliverDelayed, "reply": o.reply, "finish": o.finish,
			"results": o.results, "results2": o.results, "fence": o.fence, "fenceReply": o.fenceReply, "tick": o.tick,
		})
		o.checkEnd()
	})
}

// checkEnd checks that every job has an answer once the last deadline has passed,
// and that no task is still counted as waiting or running.
func (o *model) checkEnd() {
	o.now += time.Minute
	o.m.Tick(o.now)
	o.check(o.T)
	for id := range o.deadline {
		if a, known := o.m.Answer(o.now, id); !known || !a.State.Final() {
			o.Fatalf("job %s has no answer: %+v", id, a)
		}
	}
	for _, s := range o.m.Stats() {
		if s.Queued != 0 || s.Running != 0 {
			o.Fatalf("tasks still counted after all jobs have ended: %s", fmt.Sprintf("%+v", s))
		}
	}
}
