package replay

import (
	"reflect"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// fifo is a minimal Dispatcher: one queue, any credit.
type fifo struct {
	Dispatcher // panics on calls that the tests don't expect
	credits    []DispatchAction
	waiting    []wire.TaskKey
	open       map[string]int
	sent       map[wire.TaskKey]ident.Process
	failed     map[string]bool
	actions    []DispatchAction
}

func (f *fifo) Submit(_ time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer {
	f.open[id] = len(req.Tasks)
	for i := range req.Tasks {
		f.waiting = append(f.waiting, wire.TaskKey{Submission: id, Index: i})
	}
	f.place()
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobQueued}
}

func (f *fifo) place() {
	for len(f.waiting) > 0 && len(f.credits) > 0 {
		c := f.credits[0]
		f.credits = f.credits[1:]
		f.sent[f.waiting[0]] = c.Sidecar
		f.actions = append(f.actions, DispatchAction{Sidecar: c.Sidecar, Starts: []wire.Start{{Credit: c.Return[0], Task: f.waiting[0]}}})
		f.waiting = f.waiting[1:]
	}
}

func (f *fifo) Grant(_ time.Duration, sidecar ident.Process, grants []wire.Grant) {
	for _, g := range grants {
		f.credits = append(f.credits, DispatchAction{Sidecar: sidecar, Return: []wire.Credit{g.Credit}})
	}
	f.place()
}

func (f *fifo) Results(_ time.Duration, _ ident.Process, results []wire.TaskResult) {
	for _, r := range results {
		f.end(r.Task, r.State)
	}
}

func (f *fifo) end(task wire.TaskKey, state jobapi.TaskState) {
	id := task.Submission
	delete(f.sent, task)
	f.failed[id] = f.failed[id] || state != jobapi.TaskCompleted
	if f.open[id]--; f.open[id] == 0 {
		a := &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobComplete}
		if f.failed[id] {
			a.State = jobapi.JobFailed
		}
		f.actions = append(f.actions, DispatchAction{Answered: a})
	}
}

func (f *fifo) Detach(_ time.Duration, sidecar ident.Process) {
	for task, s := range f.sent {
		if s == sidecar {
			f.end(task, jobapi.TaskMayHaveRun)
		}
	}
}

func (f *fifo) DispatchFailed(_ time.Duration, _ ident.Process, starts []wire.Start, _ bool) {
	for _, s := range starts {
		f.end(s.Task, jobapi.TaskMayHaveRun)
	}
}

func (f *fifo) Actions() []DispatchAction {
	a := f.actions
	f.actions = nil
	return a
}

func (f *fifo) DispatchReply(time.Duration, ident.Process, []wire.Start, []wire.StartCode) {}
func (f *fifo) Attach(time.Duration, wire.Peer, *wire.Backend)                             {}
func (f *fifo) SetDocument(time.Duration, *resource.Document)                              {}
func (f *fifo) SetLoad(time.Duration, ident.Process, int, int, int)                        {}
func (f *fifo) Tick(time.Duration)                                                         {}
func (f *fifo) Demand(time.Duration) []wire.Demand                                         { return nil }

// split is a minimal Slots: it grants its slots in turn to the entry
// instances and a finished slot to the owner of the result.
type split struct {
	Slots
	slots   int
	next    wire.Credit
	grants  map[ident.Process][]wire.Grant
	owners  map[wire.TaskKey]ident.Process
	actions []SlotsAction
}

func (s *split) SetBackend(_ time.Duration, b *wire.Backend) { s.slots = b.Slots }
func (s *split) Attach(_ time.Duration, e wire.Peer, _ uint64, listed int) {
	for range s.slots / listed {
		s.grant(e.Process)
	}
}

func (s *split) grant(e ident.Process) {
	s.next++
	s.grants[e] = append(s.grants[e], wire.Grant{Credit: s.next})
	s.actions = append(s.actions, SlotsAction{Entry: e})
}

func (s *split) Start(_ time.Duration, e ident.Process, st wire.Start) wire.StartCode {
	s.owners[st.Task] = e
	return wire.Accepted
}

func (s *split) Finish(_ time.Duration, r wire.TaskResult) (ident.Process, bool) {
	owner, known := s.owners[r.Task]
	s.grant(owner)
	return owner, known
}

func (s *split) TakeGrants(_ time.Duration, e ident.Process) []wire.Grant {
	g := s.grants[e]
	s.grants[e] = nil
	return g
}

func (s *split) Actions() []SlotsAction {
	a := s.actions
	s.actions = nil
	return a
}

func (s *split) SetDemand(time.Duration, ident.Process, []wire.Demand) {}
func (s *split) CreditCounts(ident.Process) (held, free, foreign int)  { return 0, 0, 0 }
func (s *split) Tick(time.Duration)                                    {}
func (s *split) FenceStarts(time.Duration, ident.Process, []wire.FencedStart) []wire.LedgerEntry {
	return nil
}

func machines() Machines {
	return Machines{
		Dispatcher: func(ident.Process, uint64) Dispatcher {
			return &fifo{open: map[string]int{}, sent: map[wire.TaskKey]ident.Process{}, failed: map[string]bool{}}
		},
		Slots: func(ident.Process, uint64) Slots {
			return &split{grants: map[ident.Process][]wire.Grant{}, owners: map[wire.TaskKey]ident.Process{}}
		},
	}
}

func trace(jobs []load.Arrival) []load.Line {
	lines := []load.Line{{Type: load.LineHeader, Header: &load.Header{Format: load.TraceFormat, Deployment: "torno"}}}
	for _, a := range jobs {
		lines = append(lines, load.ArrivalLine(a))
	}
	last := lines[len(lines)-1].AtUs
	for _, a := range jobs {
		lines = append(lines, load.Line{AtUs: last, Type: load.LineOutcome,
			Outcome: &load.Stated{Request: a.Request, State: jobapi.JobComplete}})
	}
	return lines
}

// TestRun guards against a replay that depends on the order of maps or loses
// messages, and against one that runs tasks faster than their run time.
func TestRun(t *testing.T) {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: 5 * time.Second, Fraction: 0.5}, 7)
	first, err := Run(trace(jobs), 1, machines())
	if err != nil {
		t.Fatal(err)
	}
	second, err := Run(trace(jobs), 1, machines())
	if err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("the second replay differs: %v", err)
	}
	if first.Stated != len(jobs) || len(first.Mismatches) > 0 || len(first.Answers) != len(jobs) {
		t.Fatalf("%d jobs, %d answers, mismatches %v", len(jobs), len(first.Answers), first.Mismatches)
	}
	for _, a := range jobs {
		var longest time.Duration
		for _, r := range a.Runs {
			longest = max(longest, r)
		}
		if got := first.Responses[a.Request]; got < (longest + 2*d.ClientDelay).Truncate(time.Microsecond) {
			t.Fatalf("%s answered after %v, longest task %v", a.Request, got, longest)
		}
	}
	for task, n := range first.Starts {
		if n != 1 {
			t.Fatalf("%v started %d times", task, n)
		}
	}
}

// TestFault guards against faults that the replay ignores silently.
func TestFault(t *testing.T) {
	job := load.Arrival{Request: "r", Team: "quito", Kind: "clay-kit", Runs: make([]time.Duration, 80)}
	for i := range job.Runs {
		job.Runs[i] = time.Second
	}
	lines := trace([]load.Arrival{job})
	fault := func(action, target string) load.Line {
		return load.Line{AtUs: 500_000, Type: load.LineFault, Fault: &load.Fault{Action: action, Target: target}}
	}
	lines = append(lines, fault("kill", "sidecar"), fault("down", "store"))
	res, err := Run(lines, 1, machines())
	if err != nil {
		t.Fatal(err)
	}
	want := []Mismatch{{Request: "r", Stated: jobapi.JobComplete, Replayed: jobapi.JobFailed}}
	if !reflect.DeepEqual(res.Mismatches, want) || res.Unsupported["down store"] != 1 {
		t.Fatalf("%+v, unsupported %v", res.Mismatches, res.Unsupported)
	}
}
