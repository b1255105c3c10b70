package dispatch

import (
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// sidecar models a sidecar incarnation with its backend server.
type sidecar struct {
	proc    ident.Process
	credits map[wire.Credit]bool // issued and unspent
	next    wire.Credit
	ledger  map[wire.TaskKey]jobapi.TaskState
	// on is the credit of the last start of a task.
	on     map[wire.TaskKey]wire.Credit
	outbox []wire.TaskResult // results sent, to be repeated at random
}

// sent is a message between the machine and a sidecar.
type sent struct {
	to     *sidecar
	starts []wire.Start
	codes  []wire.StartCode
	fenced []wire.FencedStart
	fence  wire.FenceReply
}

// model drives a Machine and checks the invariants of design section 1.2.
type model struct {
	*rapid.T
	m        *Machine
	now      time.Duration
	live     []*sidecar
	born     int
	dispatch []sent // not yet delivered
	late     []sent // given up by the sender, but delivered later
	replies  []sent
	fences   []sent
	fenceAns []sent
	started  map[wire.TaskKey]int
	deadline map[string]time.Duration
	answers  map[string]jobapi.JobAnswer
	refused  map[string]bool
	jobs     int
}

func newModel(t *rapid.T) *model {
	return &model{T: t, m: newMachine(nil), started: map[wire.TaskKey]int{}, deadline: map[string]time.Duration{},
		answers: map[string]jobapi.JobAnswer{}, refused: map[string]bool{}}
}

func take[E any](t *rapid.T, list *[]E) E {
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "message")
	e := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return e
}

func (o *model) sidecar() *sidecar {
	if len(o.live) == 0 {
		o.Skip("no sidecar")
	}
	return rapid.SampledFrom(o.live).Draw(o.T, "sidecar")
}

func (o *model) isLive(s *sidecar) bool {
	for _, l := range o.live {
		if l == s {
			return true
		}
	}
	return false
}

func (o *model) attach(*rapid.T) {
	if len(o.live) >= 4 {
		o.Skip("enough sidecars")
	}
	o.born++
	s := &sidecar{proc: process(o.born), credits: map[wire.Credit]bool{}, ledger: map[wire.TaskKey]jobapi.TaskState{}, on: map[wire.TaskKey]wire.Credit{}}
	o.live = append(o.live, s)
	attach(o.m, o.now, s.proc, 4)
}

// detach ends an incarnation; its undelivered messages are lost or not sent.
func (o *model) detach(*rapid.T) {
	s := o.sidecar()
	for i, l := range o.live {
		if l == s {
			o.live = append(o.live[:i], o.live[i+1:]...)
		}
	}
	o.m.Detach(o.now, s.proc)
}

func (o *model) grant(*rapid.T) {
	s := o.sidecar()
	var g []wire.Grant
	for range rapid.IntRange(1, 3).Draw(o.T, "credits") {
		s.next++
		s.credits[s.next] = true
		g = append(g, wire.Grant{Credit: s.next})
		if rapid.Bool().Draw(o.T, "bound") {
			g[len(g)-1].Class = wire.Class{Team: "a", Kind: "quick"}
		}
	}
	o.m.Grant(o.now, s.proc, g)
	o.m.SetLoad(o.now, s.proc, len(s.credits), 1, 0)
}

// void makes the sidecar forget its unspent credits, as expiry does.
func (o *model) void(*rapid.T) { clear(o.sidecar().credits) }

func (o *model) recall(*rapid.T) {
	s := o.sidecar()
	for _, c := range o.m.Recall(o.now, s.proc, 2) {
		delete(s.credits, c)
	}
}

func (o *model) submit(*rapid.T) {
	n := rapid.IntRange(1, o.jobs+1).Draw(o.T, "job")
	o.jobs = max(o.jobs, n)
	req := request([]string{"quick", "long"}[n%2], 1+n%4)
	req.DeadlineMs = int64(500 * (1 + n%5))
	a := o.m.Submit(o.now, id(n), req)
	if !a.State.Final() && o.deadline[id(n)] == 0 {
		o.deadline[id(n)] = o.now + time.Duration(req.DeadlineMs)*time.Millisecond
	}
	o.refused[id(n)] = o.refused[id(n)] || a.State == jobapi.JobRefused && a.NotRun
}

func (o *model) cancel(*rapid.T) {
	n := rapid.IntRange(1, o.jobs+2).Draw(o.T, "job")
	a := o.m.Cancel(o.now, id(n))
	o.refused[id(n)] = o.refused[id(n)] || a.State == jobapi.JobRefused && a.NotRun
}

// deliver lets a dispatch arrive, be lost or fail before it is sent.
func (o *model) deliver(*rapid.T) {
	if len(o.dispatch) == 0 {
		o.Skip("no dispatch")
	}
	d := take(o.T, &o.dispatch)
	switch fate := rapid.IntRange(0, 9).Draw(o.T, "fate"); {
	case fate == 0:
		o.m.DispatchFailed(o.now, d.to.proc, d.starts, false)
	case fate == 1 || !o.isLive(d.to):
		o.m.DispatchFailed(o.now, d.to.proc, d.starts, true)
	case fate == 2: // delivered although the sender gave up
		o.m.DispatchFailed(o.now, d.to.proc, d.starts, true)
		o.start(&d)
	case fate == 3: // the same, but much later
		o.m.DispatchFailed(o.now, d.to.proc, d.starts, true)
		o.late = append(o.late, d)
	default:
		o.start(&d)
		o.replies = append(o.replies, d)
	}
}

func (o *model) deliverLate(*rapid.T) {
	if len(o.late) == 0 {
		o.Skip("nothing delayed")
	}
	d := take(o.T, &o.late)
	o.start(&d)
}

func (o *model) start(d *sent) {
	for _, s := range d.starts {
		code := wire.Accepted
		switch _, known := d.to.ledger[s.Task]; {
		case !d.to.credits[s.Credit]:
			code = wire.RefusedCredit
		case known && d.to.ledger[s.Task] != jobapi.TaskNotRun:
			code = wire.RefusedDuplicate
		default:
			delete(d.to.credits, s.Credit)
			d.to.ledger[s.Task] = jobapi.TaskRunning
			d.to.on[s.Task] = s.Credit
			o.begin(d.to, s.Task)
		}
		d.codes = append(d.codes, code)
	}
}

// begin starts the task on the backend server, which may prove that it did not.
func (o *model) begin(s *sidecar, key wire.TaskKey) {
	if rapid.IntRange(0, 9).Draw(o.T, "backend") == 0 {
		s.finish(key, jobapi.TaskNotRun)
		return
	}
	o.started[key]++
	if o.started[key] > 1 {
		o.Fatalf("task %v starts twice", key)
	}
	if o.refused[key.Submission] {
		o.Fatalf("task %v starts after a refusal as not run", key)
	}
	if a, ok := o.answers[key.Submission]; ok && a.Tasks[key.Index].State == jobapi.TaskNotRun {
		o.Fatalf("task %v starts after the answer %+v", key, a)
	}
}

func (s *sidecar) finish(key wire.TaskKey, state jobapi.TaskState) {
	s.ledger[key] = state
	s.outbox = append(s.outbox, wire.TaskResult{Task: key, Credit: s.on[key], State: state, RunMs: 10})
}

func (o *model) reply(*rapid.T) {
	if len(o.replies) == 0 {
		o.Skip("no reply")
	}
	d := take(o.T, &o.replies)
	if rapid.IntRange(0, 4).Draw(o.T, "lost") == 0 {
		o.m.DispatchFailed(o.now, d.to.proc, d.starts, true)
		return
	}
	o.m.DispatchReply(o.now, d.to.proc, d.starts, d.codes)
}

// finish ends a running task.
func (o *model) finish(*rapid.T) {
	s := o.sidecar()
	states := []jobapi.TaskState{jobapi.TaskCompleted, jobapi.TaskCompleted, jobapi.TaskCompleted, jobapi.TaskFailed, jobapi.TaskMayHaveRun}
	for n := range o.jobs {
		for i := range 4 {
			key := wire.TaskKey{Submission: id(n + 1), Index: i}
			if s.ledger[key] == jobapi.TaskRunning && rapid.Bool().Draw(o.T, "end") {
				s.finish(key, rapid.SampledFrom(states).Draw(o.T, "state"))
			}
		}
	}
}

// results delivers some results, again or for the first time, at times under
// the name of another sidecar.
func (o *model) results(*rapid.T) {
	s := o.sidecar()
	if len(s.outbox) == 0 {
		o.Skip("no result")
	}
	from := s.proc
	if rapid.IntRange(0, 9).Draw(o.T, "crossed") == 0 {
		from = process(1000)
	}
	i := rapid.IntRange(0, len(s.outbox)-1).Draw(o.T, "first")
	o.m.Results(o.now, from, s.outbox[i:])
}

func (o *model) fence(*rapid.T) {
	if len(o.fences) == 0 {
		o.Skip("no fence")
	}
	f := take(o.T, &o.fences)
	f.fence.WrongIncarnation = !o.isLive(f.to)
	for _, s := range f.fenced {
		delete(f.to.credits, s.Credit)
		e := wire.LedgerEntry{Task: s.Task, State: jobapi.TaskNotRun}
		if state, ok := f.to.ledger[s.Task]; ok {
			e.State = state
		}
		f.fence.Outcomes = append(f.fence.Outcomes, e)
	}
	if rapid.IntRange(0, 3).Draw(o.T, "lost") > 0 {
		o.fenceAns = append(o.fenceAns, f)
	}
}

func (o *model) fenceReply(*rapid.T) {
	if len(o.fenceAns) == 0 {
		o.Skip("no fence reply")
	}
	f := take(o.T, &o.fenceAns)
	o.m.FenceReply(o.now, f.to.proc, f.fenced, f.fence)
}

func (o *model) tick(*rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 400).Draw(o.T, "ms")) * time.Millisecond
	o.m.Tick(o.now)
}
