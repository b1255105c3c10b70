package history

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// MaxStartAfterLeave is the time after a backend server's leave announcement in
// which tasks may still start on the server. The checker adds Bounds.OneWay to it.
const MaxStartAfterLeave = time.Second

// DefaultInForceBound is the value of Bounds.InForce that P8 demands at the scale of
// the design.
const DefaultInForceBound = 11 * time.Second

// Bounds holds the maximum delays that the checker allows.
type Bounds struct {
	// OneWay is the maximum one-way delay of a message.
	OneWay time.Duration
	// InForce is the maximum time from the response to an accepted edit until
	// every live process uses the edit.
	InForce time.Duration
}

// Violation describes one violation of an invariant.
type Violation struct {
	// Invariant is "P1" to "P8".
	Invariant string `json:"invariant"`
	Detail    string `json:"detail"`
}

// checker holds a history with its indexes and the violations found so far.
type checker struct {
	history    *History
	bounds     Bounds
	calls      map[uint64]Event // Submit, Query and Cancel events by call number
	submits    map[string]Event // first Submit event of each submission ID
	starts     map[taskKey][]Event
	ends       map[taskKey]bool
	violations []Violation
}

// taskKey identifies a task by its submission ID and its index.
type taskKey struct {
	submission string
	index      int
}

// Check returns the violations of the invariants in a history.
func Check(h *History, b Bounds) []Violation {
	c := &checker{
		history: h, bounds: b,
		calls: map[uint64]Event{}, submits: map[string]Event{},
		starts: map[taskKey][]Event{}, ends: map[taskKey]bool{},
	}
	c.index()
	c.checkSingleStarts()
	c.checkNonIdempotentRequests()
	c.checkResponses()
	c.checkLeaving()
	c.checkShutdowns()
	c.checkAnswersAgree()
	c.checkConfiguration()
	return c.violations
}

// fail records a violation.
func (c *checker) fail(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

// index fills the indexes from the events.
func (c *checker) index() {
	for _, e := range c.history.Events {
		key := taskKey{e.Submission, e.Task}
		switch e.Type {
		case Submit:
			c.calls[e.Call] = e
			if _, ok := c.submits[e.Submission]; !ok {
				c.submits[e.Submission] = e
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

// checkSingleStarts checks P1: a task starts at most once under a submission ID.
func (c *checker) checkSingleStarts() {
	firstStarts := map[taskKey]Event{}
	for _, e := range c.history.Events {
		if e.Type != Start {
			continue
		}
		key := taskKey{e.Submission, e.Task}
		if first, ok := firstStarts[key]; ok {
			c.fail("P1", "task %d of %s started at %s (%v) and at %s (%v)",
				e.Task, e.Submission, first.Process, first.At, e.Process, e.At)
			continue
		}
		firstStarts[key] = e
	}
}

// checkNonIdempotentRequests checks P5: each task of a request that is not
// idempotent runs at most once, even if the request was submitted again under
// another ID.
func (c *checker) checkNonIdempotentRequests() {
	// submissions holds the submission ID under which each task ran. The field
	// submission of its keys holds the request token.
	submissions := map[taskKey]string{}
	for _, e := range c.history.Events {
		submit, known := c.submits[e.Submission]
		if e.Type != Start || !known || submit.Idempotent {
			continue
		}
		key := taskKey{submit.Request, e.Task}
		other, ok := submissions[key]
		switch {
		case !ok:
			submissions[key] = e.Submission
		case other != e.Submission:
			c.fail("P5", "task %d of request %s ran under %s and %s", e.Task, submit.Request, other, e.Submission)
		default:
			c.fail("P5", "task %d of request %s ran twice under %s", e.Task, submit.Request, other)
		}
	}
}

// checkResponses checks P2, P3 and P4 for each answer on its own.
func (c *checker) checkResponses() {
	for _, e := range c.history.Events {
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
		submit, ok := c.submits[call.Submission]
		if !ok {
			continue
		}
		c.checkNotRunTasks(call.Submission, submit, e.At, e.Answer)
		c.checkTaskAnswers(call.Submission, submit, e.Answer)
	}
}

// checkNotRunTasks checks P4: a task that was reported as not run has not started
// and doesn't start later.
func (c *checker) checkNotRunTasks(id string, submit Event, at time.Duration, a *jobapi.JobAnswer) {
	for i := 0; i < submit.TaskCount; i++ {
		starts := c.starts[taskKey{id, i}]
		if len(starts) == 0 {
			continue
		}
		if a.NotRun {
			c.fail("P4", "%s was reported as not run at %v (%s: %s), but its task %d started at %v", id, at, a.Reason, a.Message, i, starts[0].At)
		} else if i < len(a.Tasks) && a.Tasks[i].State == jobapi.TaskNotRun {
			c.fail("P4", "task %d of %s was reported as not run, but started at %v", i, id, starts[0].At)
		}
	}
}

// checkTaskAnswers checks P2 and P3 for the tasks of an answer: the states of the
// tasks agree with the state of the job, and each result belongs to its task.
func (c *checker) checkTaskAnswers(id string, submit Event, a *jobapi.JobAnswer) {
	if a.State == jobapi.JobComplete && len(a.Tasks) != submit.TaskCount {
		c.fail("P2", "%s is complete with %d of %d tasks", id, len(a.Tasks), submit.TaskCount)
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
		if !c.ends[taskKey{id, i}] {
			c.fail("P2", "task %d of %s was reported as completed, but no backend server recorded its end", i, id)
		}
		var echo Echo
		if err := json.Unmarshal(t.Result, &echo); err != nil || echo.Request != submit.Request || echo.Task != i {
			c.fail("P3", "task %d of %s (request %s) got the result %.100q", i, id, submit.Request, t.Result)
		}
	}
}

// checkLeaving checks P6: no task starts on a backend server later than
// MaxStartAfterLeave after the server announced that it leaves.
func (c *checker) checkLeaving() {
	leftAt := map[string]time.Duration{}
	for _, e := range c.history.Events {
		switch e.Type {
		case Leave:
			if _, ok := leftAt[e.Process]; !ok {
				leftAt[e.Process] = e.At
			}
		case Announce:
			delete(leftAt, e.Process)
		case Start:
			at, ok := leftAt[e.Process]
			if delay := e.At - at; ok && delay > MaxStartAfterLeave+c.bounds.OneWay {
				c.fail("P6", "%s got task %d of %s %v after its leave announcement", e.Process, e.Task, e.Submission, delay)
			}
		}
	}
}

// checkShutdowns checks P7: a call or task that was in progress when a graceful
// shutdown of its process began ends with its answer or result, unless a fault was
// injected into the process during the call or task. The processes of a task are
// its backend server and the sidecar.
func (c *checker) checkShutdowns() {
	shutdowns := map[string][]time.Duration{}
	faults := map[string][]time.Duration{}
	interruptedByShutdown := func(process string, from, to time.Duration) bool {
		return anyWithin(shutdowns[process], from+c.bounds.OneWay, to) && !anyWithin(faults[process], from, to)
	}
	for _, e := range c.history.Events {
		switch e.Type {
		case Shutdown:
			shutdowns[e.Process] = append(shutdowns[e.Process], e.At)
		case Fault:
			faults[e.Process] = append(faults[e.Process], e.At)
		case Lost:
			if call := c.calls[e.Call]; interruptedByShutdown(call.Process, call.At, e.At) {
				c.fail("P7", "call %d about %s was interrupted by the shutdown of %s", e.Call, call.Submission, call.Process)
			}
		case Abort:
			starts := c.starts[taskKey{e.Submission, e.Task}]
			if len(starts) == 0 || anyWithin(faults[e.Process], starts[0].At, e.At) || anyWithin(faults[e.Sidecar], starts[0].At, e.At) {
				continue
			}
			if interruptedByShutdown(e.Process, starts[0].At, e.At) || interruptedByShutdown(e.Sidecar, starts[0].At, e.At) {
				c.fail("P7", "task %d of %s on %s was interrupted by a shutdown", e.Task, e.Submission, e.Process)
			}
		}
	}
}
