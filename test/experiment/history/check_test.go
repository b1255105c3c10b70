package history

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

var testBounds = Bounds{OneWay: time.Millisecond, InForce: 2 * time.Second}

// answer returns a final answer with the given states of the tasks.
func answer(id, request string, states ...jobapi.TaskState) *jobapi.JobAnswer {
	a := &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobComplete}
	for i, s := range states {
		body, _ := json.Marshal(Echo{Request: request, Task: i})
		a.Tasks = append(a.Tasks, jobapi.TaskAnswer{State: s, Result: body})
		if s != jobapi.TaskCompleted {
			a.State = jobapi.JobFailed
		}
	}
	return a
}

func int64Ptr(v int64) *int64 { return &v }

// validHistory returns a history without violations: two complete jobs, a graceful
// shutdown, a backend server that leaves, two accepted edits and a conflict.
func validHistory() *History {
	s := time.Second
	done := jobapi.TaskCompleted
	return &History{
		EndedAt: 30 * s,
		Events: []Event{
			{At: 0, Type: Up, Process: "entry-0#1"},
			{At: 0, Type: Observe, Process: "entry-0#1", Revision: 1},
			{At: 1 * s, Type: Submit, Call: 1, Process: "entry-0#1", Submission: "a", Request: "ra", TaskCount: 2},
			{At: 1 * s, Type: Submit, Call: 2, Process: "entry-0#1", Submission: "b", Request: "rb", TaskCount: 1},
			{At: 2 * s, Type: Start, Process: "backend-0", Sidecar: "sidecar-0", Submission: "a", Task: 0},
			{At: 2 * s, Type: Start, Process: "backend-1", Sidecar: "sidecar-1", Submission: "a", Task: 1},
			{At: 2 * s, Type: Start, Process: "backend-1", Sidecar: "sidecar-1", Submission: "b", Task: 0},
			{At: 3 * s, Type: Leave, Process: "backend-0"},
			{At: 3 * s, Type: Shutdown, Process: "entry-0#1"},
			{At: 4 * s, Type: End, Process: "backend-0", Submission: "a", Task: 0},
			{At: 4 * s, Type: End, Process: "backend-1", Submission: "a", Task: 1},
			{At: 4 * s, Type: End, Process: "backend-1", Submission: "b", Task: 0},
			{At: 5 * s, Type: Response, Call: 1, Answer: answer("a", "ra", done, done)},
			{At: 5 * s, Type: Response, Call: 2, Answer: answer("b", "rb", done)},
			{At: 6 * s, Type: Observe, Process: "entry-0#1", Revision: 3},
		},
		Edits: []Edit{
			{Call: 4 * s, Return: 5 * s, Resource: "limits/x", Revision: 2, Version: 2, Outcome: Accepted, Limit: int64Ptr(5)},
			{Call: 5 * s, Return: 6 * s, Resource: "limits/x", ExpectedVersion: 2, Revision: 3, Version: 3, Outcome: Accepted, Limit: int64Ptr(9)},
			{Call: 5 * s, Return: 7 * s, Resource: "limits/x", ExpectedVersion: 2, Revision: 3, Outcome: Conflict},
		},
	}
}

// TestCheck guards against a checker that misses a violation or that reports one
// in a history that the invariants allow. Each case changes a valid history.
func TestCheck(t *testing.T) {
	s := time.Second
	add := func(e ...Event) func(*History) {
		return func(h *History) { h.Events = append(h.Events, e...) }
	}
	addAccepted := func(e Edit) func(*History) {
		e.Outcome = Accepted
		return func(h *History) { h.Edits = append(h.Edits, e) }
	}
	setAnswer := func(i int, a *jobapi.JobAnswer) func(*History) {
		return func(h *History) { h.Events[i].Answer = a }
	}
	done := jobapi.TaskCompleted
	notRun := &jobapi.JobAnswer{SubmissionID: "b", State: jobapi.JobRefused, NotRun: true}
	tests := []struct {
		name, want string
		change     func(*History)
	}{
		{"valid history", "", func(*History) {}},
		{"double start", "P1", add(Event{At: 5 * s, Type: Start, Process: "backend-2", Submission: "a", Task: 1})},
		{"partial answer", "P2", setAnswer(12, answer("a", "ra", done))},
		{"failed answer with a running task", "P2", setAnswer(12, answer("a", "ra", done, jobapi.TaskRunning))},
		{"completed without an end", "P2", func(h *History) { h.Events[11].Submission = "c" }},
		{"running after the final answer", "P2", add(
			Event{At: 7 * s, Type: Query, Call: 3, Submission: "a"},
			Event{At: 8 * s, Type: Response, Call: 3, Answer: &jobapi.JobAnswer{SubmissionID: "a", State: jobapi.JobRunning}})},
		{"answer of another submission", "P3", setAnswer(13, answer("a", "ra", done))},
		{"result of another request", "P3", setAnswer(13, answer("b", "ra", done))},
		{"job reported as not run but started", "P4", setAnswer(13, notRun)},
		{"task reported as not run but started", "P4", setAnswer(12, answer("a", "ra", done, jobapi.TaskNotRun))},
		{"run under a second ID", "P5", add(
			Event{At: 6 * s, Type: Submit, Call: 3, Submission: "c", Request: "rb", TaskCount: 1},
			Event{At: 7 * s, Type: Start, Process: "backend-1", Submission: "c"})},
		{"late dispatch to a leaving server", "P6", add(
			Event{At: 4*s + 2*time.Millisecond, Type: Start, Process: "backend-0", Submission: "c"})},
		{"dispatch in time to a leaving server", "", add(
			Event{At: 4*s + time.Millisecond, Type: Start, Process: "backend-0", Submission: "c"})},
		{"call interrupted by a shutdown", "P7", func(h *History) { h.Events[13].Type = Lost }},
		{"task interrupted by a shutdown", "P7", func(h *History) {
			h.Events[8].Process = "sidecar-1"
			h.Events = append(h.Events, Event{At: 4 * s, Type: Abort, Process: "backend-1", Sidecar: "sidecar-1", Submission: "a", Task: 1})
		}},
		{"call interrupted by a fault", "", func(h *History) {
			h.Events[13].Type = Lost
			h.Events[9] = Event{At: 4 * s, Type: Fault, Process: "entry-0#1"}
			h.Events[12].Type = Lost
		}},
		{"return to an older revision", "P8", add(Event{At: 7 * s, Type: Observe, Process: "entry-0#1", Revision: 2})},
		{"edit accepted on an old version", "P8", addAccepted(Edit{Call: 7 * s, Return: 8 * s, Resource: "limits/x", ExpectedVersion: 2, Revision: 4, Limit: int64Ptr(9)})},
		{"revision used twice", "P8", addAccepted(Edit{Call: 7 * s, Return: 8 * s, Resource: "teams/y", Revision: 3})},
		{"edit never in force", "P8", addAccepted(Edit{Call: 7 * s, Return: 8 * s, Resource: "teams/y", Revision: 4})},
		{"version that decreases", "P8", addAccepted(Edit{Call: 7 * s, Return: 8 * s, Resource: "limits/x", Revision: 4, Version: 2, Limit: int64Ptr(9)})},
		{"response with the version of a later edit", "P8", func(h *History) { h.Edits[0].Version = 3 }},
		{"response without a revision", "P8", func(h *History) { h.Edits[0].Malformed = "{}" }},
		{"conflict with the expected version", "P8", func(h *History) { h.Edits[2].Revision = 2 }},
		{"conflict that names an old version", "P8", func(h *History) {
			h.Edits = append(h.Edits, Edit{Call: 8 * s, Return: 9 * s, Resource: "limits/x", ExpectedVersion: 1, Revision: 2, Outcome: Conflict})
		}},
		{"edit that changes nothing", "", func(h *History) {
			h.Edits = append(h.Edits, Edit{Call: 7 * s, Return: 8 * s, Resource: "limits/x", Revision: 4, Version: 3, Outcome: Accepted, Limit: int64Ptr(9)})
			h.Events = append(h.Events, Event{At: 9 * s, Type: Observe, Process: "entry-0#1", Revision: 4})
		}},
		{"lowered limit", "P8", func(h *History) { h.Edits[1].Limit = int64Ptr(4) }},
		{"allowed decrease", "", func(h *History) { h.Edits[1].Limit, h.Edits[1].AllowDecrease = int64Ptr(4), true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := validHistory()
			tt.change(h)
			violations := Check(h, testBounds)
			if tt.want == "" && len(violations) > 0 {
				t.Fatalf("violations in a valid history: %v", violations)
			}
			for _, v := range violations {
				if v.Invariant == tt.want {
					return
				}
			}
			if tt.want != "" {
				t.Fatalf("no violation of %s, got %v", tt.want, violations)
			}
		})
	}
}

// TestExistingResource guards against a checker that reports the first edit of a
// resource that is older than the recording.
func TestExistingResource(t *testing.T) {
	h := validHistory()
	h.Edits[0].ExpectedVersion = 1
	if violations := Check(h, testBounds); len(violations) > 0 {
		t.Fatalf("violations: %v", violations)
	}
}

// TestUnknownEdit guards against a checker that reports a history in which an edit
// of unknown outcome took effect later.
func TestUnknownEdit(t *testing.T) {
	h := validHistory()
	h.Edits[0].Outcome = Unknown
	if violations := Check(h, testBounds); len(violations) > 0 {
		t.Fatalf("violations: %v", violations)
	}
}
