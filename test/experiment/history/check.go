package history

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// LeaveBound is the time after a leave announcement in which starts are
// allowed, without the delay of the network.
const LeaveBound = time.Second

// DefaultInForce is the bound of P8 at the design scale.
const DefaultInForce = 11 * time.Second

// Bounds are the times that the checker allows.
type Bounds struct {
	// OneWay is the longest one way delay of a message.
	OneWay time.Duration
	// InForce is the longest time from an accepted edit until every live
	// process uses it.
	InForce time.Duration
}

// Violation is a broken invariant.
type Violation struct {
	// Invariant is "P1" to "P8".
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// checker holds the indexes of a history.
type checker struct {
	h      *History
	bounds Bounds
	calls  map[uint64]Event // requests by call number
	subs   map[string]Event // first submit of each ID
	starts map[task][]Event
	ends   map[task]bool
	found  []Violation
}

// task names one task of a submission.
type task struct {
	submission string
	index      int
}

// Check returns the violations in a history, none if it is clean.
func Check(h *History, b Bounds) []Violation {
	c := &checker{
		h: h, bounds: b,
		calls: map[uint64]Event{}, subs: map[string]Event{},
		starts: map[task][]Event{}, ends: map[task]bool{},
	}
	c.index()
	c.checkStarts()
	c.checkRequests()
	c.checkResponses()
	c.checkLeaving()
	c.checkShutdowns()
	c.checkSubmissionModel()
	c.checkConfiguration()
	return c.found
}

func (c *checker) fail(invariant, format string, args ...any) {
	c.found = append(c.found, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) index() {
	for _, e := range c.h.Events {
		key := task{e.Submission, e.Task}
		switch e.Type {
		case Submit:
			c.calls[e.Call] = e
			if _, ok := c.subs[e.Submission]; !ok {
				c.subs[e.Submission] = e
			}
		case Query, Cancel:
			c.calls[e.Call] = e
		case Start:
			c.starts[key] = append(c.starts[key], e)
		case End:
			c.ends[key] = true
		}
	}
}

// checkStarts checks P1.
func (c *checker) checkStarts() {
	seen := map[task]Event{}
	for _, e := range c.h.Events {
		if e.Type != Start {
			continue
		}
		key := task{e.Submission, e.Task}
		if first, ok := seen[key]; ok {
			c.fail("P1", "task %d of %s started at %s (%v) and at %s (%v)",
				e.Task, e.Submission, first.Process, first.At, e.Process, e.At)
			continue
		}
		seen[key] = e
	}
}

// checkRequests checks P5: a request that is not idempotent runs once, even
// if it was submitted again under another ID.
func (c *checker) checkRequests() {
	first := map[task]string{}
	for _, e := range c.h.Events {
		sub, known := c.subs[e.Submission]
		if e.Type != Start || !known || sub.Idempotent {
			continue
		}
		key := task{sub.Request, e.Task}
		other, ok := first[key]
		switch {
		case !ok:
			first[key] = e.Submission
		case other != e.Submission:
			c.fail("P5", "task %d of request %s ran under %s and %s", e.Task, sub.Request, other, e.Submission)
		default:
			c.fail("P5", "task %d of request %s ran twice under %s", e.Task, sub.Request, other)
		}
	}
}

// checkResponses checks P2, P3 and P4 for each answer.
func (c *checker) checkResponses() {
	for _, e := range c.h.Events {
		if e.Type != Response || e.Answer == nil {
			continue
		}
		call, ok := c.calls[e.Call]
		if !ok {
			c.fail("P3", "answer to unknown call %d", e.Call)
			continue
		}
		if e.Answer.SubmissionID != call.Submission && e.Answer.SubmissionID != "" {
			c.fail("P3", "call %d about %s got the answer of %s", e.Call, call.Submission, e.Answer.SubmissionID)
			continue
		}
		sub, ok := c.subs[call.Submission]
		if !ok {
			continue
		}
		c.checkNotRun(call.Submission, sub, e.At, e.Answer)
		c.checkWhole(call.Submission, sub, e.Answer)
	}
}

// checkNotRun checks P4. A task that was reported as not run may not start
// later either.
func (c *checker) checkNotRun(id string, sub Event, at time.Duration, a *jobapi.JobAnswer) {
	for i := 0; i < sub.Tasks; i++ {
		starts := c.starts[task{id, i}]
		if len(starts) == 0 {
			continue
		}
		if a.NotRun {
			c.fail("P4", "%s was reported as not run at %v (%s: %s), task %d started at %v", id, at, a.Reason, a.Message, i, starts[0].At)
		} else if i < len(a.Tasks) && a.Tasks[i].State == jobapi.TaskNotRun {
			c.fail("P4", "task %d of %s was reported as not run and started at %v", i, id, starts[0].At)
		}
	}
}

// checkWhole checks P2 and the results of P3.
func (c *checker) checkWhole(id string, sub Event, a *jobapi.JobAnswer) {
	if a.State == jobapi.JobComplete && len(a.Tasks) != sub.Tasks {
		c.fail("P2", "%s is complete with %d of %d tasks", id, len(a.Tasks), sub.Tasks)
	}
	for i, t := range a.Tasks {
		if a.State.Final() && !t.State.Final() {
			c.fail("P2", "%s is %s with task %d %s", id, a.State, i, t.State)
		}
		if a.State == jobapi.JobComplete && t.State != jobapi.TaskCompleted {
			c.fail("P2", "%s is complete with task %d %s", id, i, t.State)
		}
		if t.State != jobapi.TaskCompleted {
			continue
		}
		if !c.ends[task{id, i}] {
			c.fail("P2", "task %d of %s is reported as completed and never ended", i, id)
		}
		var echo Echo
		if err := json.Unmarshal(t.Result, &echo); err != nil || echo.Request != sub.Request || echo.Task != i {
			c.fail("P3", "task %d of %s (request %s) got the result %.100q", i, id, sub.Request, t.Result)
		}
	}
}

// checkLeaving checks P6.
func (c *checker) checkLeaving() {
	left := map[string]time.Duration{}
	for _, e := range c.h.Events {
		switch e.Type {
		case Leave:
			if _, ok := left[e.Process]; !ok {
				left[e.Process] = e.At
			}
		case Announce:
			delete(left, e.Process)
		case Start:
			at, ok := left[e.Process]
			if late := e.At - at; ok && late > LeaveBound+c.bounds.OneWay {
				c.fail("P6", "%s got task %d of %s %v after it announced to leave", e.Process, e.Task, e.Submission, late)
			}
		}
	}
}

// checkShutdowns checks P7. What was in flight when a graceful shutdown began
// must end with its answer, unless a fault hit the process meanwhile.
func (c *checker) checkShutdowns() {
	shutdowns := map[string][]time.Duration{}
	faults := map[string][]time.Duration{}
	cut := func(process string, from, to time.Duration) bool {
		return within(shutdowns[process], from+c.bounds.OneWay, to) && !within(faults[process], from, to)
	}
	for _, e := range c.h.Events {
		switch e.Type {
		case Shutdown:
			shutdowns[e.Process] = append(shutdowns[e.Process], e.At)
		case Fault:
			faults[e.Process] = append(faults[e.Process], e.At)
		case Lost:
			if call := c.calls[e.Call]; cut(call.Process, call.At, e.At) {
				c.fail("P7", "call %d of %s was cut by the shutdown of %s", e.Call, call.Submission, call.Process)
			}
		case Abort:
			starts := c.starts[task{e.Submission, e.Task}]
			if len(starts) == 0 || within(faults[e.Process], starts[0].At, e.At) || within(faults[e.Peer], starts[0].At, e.At) {
				continue
			}
			if cut(e.Process, starts[0].At, e.At) || cut(e.Peer, starts[0].At, e.At) {
				c.fail("P7", "task %d of %s on %s was cut by a shutdown", e.Task, e.Submission, e.Process)
			}
		}
	}
}
