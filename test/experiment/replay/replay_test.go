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

// fifoDispatch is a minimal DispatchMachine: it starts the tasks in order of
// submission, each with the oldest credit.
type fifoDispatch struct {
	DispatchMachine // panics on calls that the tests don't expect
	// credits holds one element for each unspent credit: the credit in ReturnCredits,
	// and the sidecar that granted it in Sidecar.
	credits    []DispatchAction
	waiting    []wire.TaskKey
	unfinished map[string]int
	sent       map[wire.TaskKey]ident.Process
	failed     map[string]bool
	actions    []DispatchAction
}

func (f *fifoDispatch) Submit(_ time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer {
	f.unfinished[id] = len(req.Tasks)
	for i := range req.Tasks {
		f.waiting = append(f.waiting, wire.TaskKey{Submission: id, Index: i})
	}
	f.place()
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobQueued}
}

func (f *fifoDispatch) place() {
	for len(f.waiting) > 0 && len(f.credits) > 0 {
		c := f.credits[0]
		f.credits = f.credits[1:]
		f.sent[f.waiting[0]] = c.Sidecar
		f.actions = append(f.actions, DispatchAction{Sidecar: c.Sidecar, Dispatch: []wire.Start{{Credit: c.ReturnCredits[0], Task: f.waiting[0]}}})
		f.waiting = f.waiting[1:]
	}
}

func (f *fifoDispatch) Grant(_ time.Duration, sidecar ident.Process, grants []wire.Grant) {
	for _, g := range grants {
		f.credits = append(f.credits, DispatchAction{Sidecar: sidecar, ReturnCredits: []wire.Credit{g.Credit}})
	}
	f.place()
}

func (f *fifoDispatch) Results(_ time.Duration, _ ident.Process, results []wire.TaskResult) {
	for _, r := range results {
		f.endTask(r.Task, r.State)
	}
}

func (f *fifoDispatch) endTask(task wire.TaskKey, state jobapi.TaskState) {
	id := task.Submission
	delete(f.sent, task)
	f.failed[id] = f.failed[id] || state != jobapi.TaskCompleted
	if f.unfinished[id]--; f.unfinished[id] == 0 {
		a := &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobComplete}
		if f.failed[id] {
			a.State = jobapi.JobFailed
		}
		f.actions = append(f.actions, DispatchAction{Answered: a})
	}
}

func (f *fifoDispatch) Detach(_ time.Duration, sidecar ident.Process) {
	for task, s := range f.sent {
		if s == sidecar {
			f.endTask(task, jobapi.TaskMayHaveRun)
		}
	}
}

func (f *fifoDispatch) DispatchFailed(_ time.Duration, _ ident.Process, starts []wire.Start, _ bool) {
	for _, s := range starts {
		f.endTask(s.Task, jobapi.TaskMayHaveRun)
	}
}

func (f *fifoDispatch) Actions() []DispatchAction {
	a := f.actions
	f.actions = nil
	return a
}

func (f *fifoDispatch) DispatchReply(time.Duration, ident.Process, []wire.Start, []wire.StartCode) {}
func (f *fifoDispatch) Attach(time.Duration, wire.Peer, *wire.Backend)                             {}
func (f *fifoDispatch) SetDocument(time.Duration, *resource.Document)                              {}
func (f *fifoDispatch) SetLoad(time.Duration, ident.Process, int, int, int)                        {}
func (f *fifoDispatch) Tick(time.Duration)                                                         {}
func (f *fifoDispatch) Demand(time.Duration) []wire.Demand                                         { return nil }

// evenSlots is a minimal SlotsMachine: it grants an equal number of slots to each
// entry instance, and grants the slot of a finished task to the owner of the task.
type evenSlots struct {
	SlotsMachine
	slots      int
	lastCredit wire.Credit
	grants     map[ident.Process][]wire.Grant
	owners     map[wire.TaskKey]ident.Process
	actions    []SlotsAction
}

func (s *evenSlots) SetBackend(_ time.Duration, b *wire.Backend) { s.slots = b.Slots }
func (s *evenSlots) Attach(_ time.Duration, e wire.Peer, _ uint64, liveEntries int) {
	for range s.slots / liveEntries {
		s.grant(e.Process)
	}
}

func (s *evenSlots) grant(e ident.Process) {
	s.lastCredit++
	s.grants[e] = append(s.grants[e], wire.Grant{Credit: s.lastCredit})
	s.actions = append(s.actions, SlotsAction{Entry: e})
}

func (s *evenSlots) Start(_ time.Duration, e ident.Process, st wire.Start) wire.StartCode {
	s.owners[st.Task] = e
	return wire.Accepted
}

func (s *evenSlots) Finish(_ time.Duration, r wire.TaskResult) (ident.Process, bool) {
	owner, known := s.owners[r.Task]
	s.grant(owner)
	return owner, known
}

func (s *evenSlots) TakeGrants(_ time.Duration, e ident.Process) []wire.Grant {
	g := s.grants[e]
	s.grants[e] = nil
	return g
}

func (s *evenSlots) Actions() []SlotsAction {
	a := s.actions
	s.actions = nil
	return a
}

func (s *evenSlots) SetDemand(time.Duration, ident.Process, []wire.Demand)  {}
func (s *evenSlots) CreditCounts(ident.Process) (held, free, elsewhere int) { return 0, 0, 0 }
func (s *evenSlots) Tick(time.Duration)                                     {}
func (s *evenSlots) FenceStarts(time.Duration, ident.Process, []wire.FencedStart) []wire.LedgerEntry {
	return nil
}

// fakeMachines returns factories of the minimal machines.
func fakeMachines() MachineFactories {
	return MachineFactories{
		NewDispatch: func(ident.Process, uint64) DispatchMachine {
			return &fifoDispatch{unfinished: map[string]int{}, sent: map[wire.TaskKey]ident.Process{}, failed: map[string]bool{}}
		},
		NewSlots: func(ident.Process, uint64) SlotsMachine {
			return &evenSlots{grants: map[ident.Process][]wire.Grant{}, owners: map[wire.TaskKey]ident.Process{}}
		},
	}
}

// traceOf returns a trace of the jobs, each with the outcome complete.
func traceOf(jobs []load.Arrival) []load.TraceLine {
	lines := []load.TraceLine{{Type: load.LineHeader, Header: &load.TraceHeader{Format: load.TraceFormat, Deployment: "torno"}}}
	for _, a := range jobs {
		lines = append(lines, load.ArrivalLine(a))
	}
	last := lines[len(lines)-1].AtUs
	for _, a := range jobs {
		lines = append(lines, load.TraceLine{AtUs: last, Type: load.LineOutcome,
			Outcome: &load.TraceOutcome{Request: a.Request, State: jobapi.JobComplete}})
	}
	return lines
}

// TestRun guards against a replay that depends on the iteration order of maps, loses
// messages, starts a task twice, or runs tasks faster than their run times.
func TestRun(t *testing.T) {
	d := load.Torno("low")
	jobs := load.Generate(d, load.Spec{Duration: 5 * time.Second, Utilization: 0.5}, 7)
	first, err := Run(traceOf(jobs), 1, fakeMachines())
	if err != nil {
		t.Fatal(err)
	}
	second, err := Run(traceOf(jobs), 1, fakeMachines())
	if err != nil || !reflect.DeepEqual(first, second) {
		t.Fatalf("the second replay differs: %v", err)
	}
	if first.RecordedOutcomes != len(jobs) || len(first.Mismatches) > 0 || len(first.Answers) != len(jobs) {
		t.Fatalf("%d jobs, %d answers, mismatches %v", len(jobs), len(first.Answers), first.Mismatches)
	}
	for _, a := range jobs {
		var longest time.Duration
		for _, r := range a.RunTimes {
			longest = max(longest, r)
		}
		if got := first.ResponseTimes[a.Request]; got < (longest + 2*d.ClientDelay).Truncate(time.Microsecond) {
			t.Fatalf("%s answered after %v, longest task %v", a.Request, got, longest)
		}
	}
	for task, n := range first.Starts {
		if n != 1 {
			t.Fatalf("%v started %d times", task, n)
		}
	}
}

// TestFaults guards against a replay that ignores a fault without counting it as
// unsupported.
func TestFaults(t *testing.T) {
	job := load.Arrival{Request: "r", Team: "quito", Kind: "clay-kit", RunTimes: make([]time.Duration, 80)}
	for i := range job.RunTimes {
		job.RunTimes[i] = time.Second
	}
	lines := traceOf([]load.Arrival{job})
	fault := func(action, target string) load.TraceLine {
		return load.TraceLine{AtUs: 500_000, Type: load.LineFault, Fault: &load.TraceFault{Action: action, Target: target}}
	}
	lines = append(lines, fault("kill", "sidecar"), fault("down", "store"))
	res, err := Run(lines, 1, fakeMachines())
	if err != nil {
		t.Fatal(err)
	}
	want := []Mismatch{{Request: "r", Recorded: jobapi.JobComplete, Replayed: jobapi.JobFailed}}
	if !reflect.DeepEqual(res.Mismatches, want) || res.UnsupportedFaults["down store"] != 1 {
		t.Fatalf("%+v, unsupported %v", res.Mismatches, res.UnsupportedFaults)
	}
}
