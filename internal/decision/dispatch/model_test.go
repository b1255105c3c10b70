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
	process    ident.Process
	credits    map[wire.Credit]bool // issued and unspent
	lastIssued wire.Credit
	ledger     map[wire.TaskKey]jobapi.TaskState
	// startCredits holds the credit of the last start of each task.
	startCredits map[wire.TaskKey]wire.Credit
	outbox       []wire.TaskResult // results sent; some are delivered again at random
}

// message is a message between the Machine and a sidecar, with its replies.
type message struct {
	to         *sidecar
	starts     []wire.Start
	codes      []wire.StartCode
	fenced     []wire.FencedStart
	fenceReply wire.FenceReply
}

// model drives a Machine and checks the invariants of design section 1.2.
type model struct {
	*rapid.T
	m            *Machine
	now          time.Duration
	live         []*sidecar
	attached     int
	dispatches   []message // not yet delivered
	delayed      []message // failed for the sender, but delivered later
	replies      []message
	fences       []message
	fenceReplies []message
	started      map[wire.TaskKey]int
	deadline     map[string]time.Duration
	answers      map[string]jobapi.JobAnswer
	refused      map[string]bool
	jobs         int
}

func newModel(t *rapid.T) *model {
	return &model{T: t, m: newMachine(nil), started: map[wire.TaskKey]int{}, deadline: map[string]time.Duration{},
		answers: map[string]jobapi.JobAnswer{}, refused: map[string]bool{}}
}

func takeMessage[E any](t *rapid.T, list *[]E) E {
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
	o.attached++
	s := &sidecar{process: process(o.attached), credits: map[wire.Credit]bool{}, ledger: map[wire.TaskKey]jobapi.TaskState{}, startCredits: map[wire.TaskKey]wire.Credit{}}
	o.live = append(o.live, s)
	attach(o.m, o.now, s.process, 4)
}

// detach ends a sidecar incarnation. Its undelivered dispatches are lost or fail
// before they are sent, except for the delayed ones, which may still be delivered.
func (o *model) detach(*rapid.T) {
	s := o.sidecar()
	for i, l := range o.live {
		if l == s {
			o.live = append(o.live[:i], o.live[i+1:]...)
		}
	}
	o.m.Detach(o.now, s.process)
}

func (o *model) grant(*rapid.T) {
	s := o.sidecar()
	var g []wire.Grant
	for range rapid.IntRange(1, 3).Draw(o.T, "credits") {
		s.lastIssued++
		s.credits[s.lastIssued] = true
		g = append(g, wire.Grant{Credit: s.lastIssued})
		if rapid.Bool().Draw(o.T, "assigned") {
			g[len(g)-1].Class = wire.Class{Team: "a", Kind: "quick"}
		}
	}
	o.m.Grant(o.now, s.process, g)
	o.m.SetLoad(o.now, s.process, len(s.credits), 1, 0)
}

// dropCredits makes a sidecar drop its unspent credits, as their expiry does.
func (o *model) dropCredits(*rapid.T) { clear(o.sidecar().credits) }

func (o *model) recall(*rapid.T) {
	s := o.sidecar()
	for _, c := range o.m.Recall(o.now, s.process, 2) {
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

// deliver delivers a dispatch, loses it, or lets it fail before it is sent.
func (o *model) deliver(*rapid.T) {
	if len(o.dispatches) == 0 {
		o.Skip("no dispatch")
	}
	d := takeMessage(o.T, &o.dispatches)
	switch outcome := rapid.IntRange(0, 9).Draw(o.T, "outcome"); {
	case outcome == 0:
		o.m.DispatchFailed(o.now, d.to.process, d.starts, false)
	case outcome == 1 || !o.isLive(d.to):
		o.m.DispatchFailed(o.now, d.to.process, d.starts, true)
	case outcome == 2: // fails for the sender, but is delivered
		o.m.DispatchFailed(o.now, d.to.process, d.starts, true)
		o.start(&d)
	case outcome == 3: // fails for the sender, but is delivered later
		o.m.DispatchFailed(o.now, d.to.process, d.starts, true)
		o.delayed = append(o.delayed, d)
	default:
		o.start(&d)
		o.replies = append(o.replies, d)
	}
}

func (o *model) deliverDelayed(*rapid.T) {
	if len(o.delayed) == 0 {
		o.Skip("nothing delayed")
	}
	d := takeMessage(o.T, &o.delayed)
	o.start(&d)
}

func (o *model) start(d *message) {
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
			d.to.startCredits[s.Task] = s.Credit
			o.runTask(d.to, s.Task)
		}
		d.codes = append(d.codes, code)
	}
}

// runTask starts the task on the backend server, which may report that the task
// has not run.
func (o *model) runTask(s *sidecar, key wire.TaskKey) {
	if rapid.IntRange(0, 9).Draw(o.T, "backend") == 0 {
		s.finish(key, jobapi.TaskNotRun)
		return
	}
	o.started[key]++
	if o.started[key] > 1 {
		o.Fatalf("task %v starts twice", key)
	}
	if o.refused[key.Submission] {
		o.Fatalf("task %v starts after its job was refused as not run", key)
	}
	if a, ok := o.answers[key.Submission]; ok && a.Tasks[key.Index].State == jobapi.TaskNotRun {
		o.Fatalf("task %v starts after the answer %+v", key, a)
	}
}

func (s *sidecar) finish(key wire.TaskKey, state jobapi.TaskState) {
	s.ledger[key] = state
	s.outbox = append(s.outbox, wire.TaskResult{Task: key, Credit: s.startCredits[key], State: state, RunMs: 10})
}

func (o *model) reply(*rapid.T) {
	if len(o.replies) == 0 {
		o.Skip("no reply")
	}
	d := takeMessage(o.T, &o.replies)
	if rapid.IntRange(0, 4).Draw(o.T, "lost") == 0 {
		o.m.DispatchFailed(o.now, d.to.process, d.starts, true)
		return
	}
	o.m.DispatchReply(o.now, d.to.process, d.starts, d.codes)
}

// finish ends some running tasks of a sidecar.
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

// results delivers some results for the first time or again, sometimes as results
// of another sidecar.
func (o *model) results(*rapid.T) {
	s := o.sidecar()
	if len(s.outbox) == 0 {
		o.Skip("no result")
	}
	from := s.process
	if rapid.IntRange(0, 9).Draw(o.T, "other sidecar") == 0 {
		from = process(1000)
	}
	i := rapid.IntRange(0, len(s.outbox)-1).Draw(o.T, "first")
	o.m.Results(o.now, from, s.outbox[i:])
}

func (o *model) fence(*rapid.T) {
	if len(o.fences) == 0 {
		o.Skip("no fence")
	}
	f := takeMessage(o.T, &o.fences)
	f.fenceReply.WrongIncarnation = !o.isLive(f.to)
	for _, s := range f.fenced {
		delete(f.to.credits, s.Credit)
		e := wire.LedgerEntry{Task: s.Task, State: jobapi.TaskNotRun}
		if state, ok := f.to.ledger[s.Task]; ok {
			e.State = state
		}
		f.fenceReply.Outcomes = append(f.fenceReply.Outcomes, e)
	}
	if rapid.IntRange(0, 3).Draw(o.T, "lost") > 0 {
		o.fenceReplies = append(o.fenceReplies, f)
	}
}

func (o *model) fenceReply(*rapid.T) {
	if len(o.fenceReplies) == 0 {
		o.Skip("no fence reply")
	}
	f := takeMessage(o.T, &o.fenceReplies)
	o.m.FenceReply(o.now, f.to.process, f.fenced, f.fenceReply)
}

func (o *model) tick(*rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 400).Draw(o.T, "ms")) * time.Millisecond
	o.m.Tick(o.now)
}
