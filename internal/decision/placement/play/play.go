// Package play plays a load in virtual time against the decisions of several
// entry instances and sidecars, with the delays of a network between them, and
// tells what callers got. It is for tests of queueing, refusing and placing.
package play

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Class is a kind of job of one step.
type Class struct {
	Name string
	Rank int
	// PerSecond is the usual rate of jobs, and Worth what one in time is worth.
	PerSecond, Worth float64
	// Width is the mean number of tasks, and MaxWidth bounds it.
	Width, MaxWidth int
	// Run is the mean run time, and MilliCPU the mean need of a task.
	Run      time.Duration
	MilliCPU int64
}

// Burst raises the rate of one class for a while.
type Burst struct {
	Class    string
	From, To time.Duration
	Factor   float64
}

// Load is what is played.
type Load struct {
	Classes []Class
	Bursts  []Burst
	// Entries is the number of entry instances, which get uneven shares.
	Entries, Workers int
	// MilliCPU is the usual capacity of a worker; each third one has half as much
	// again. Another third, some of them large, takes SlowBy times as long.
	MilliCPU int64
	SlowBy   float64
	// Delay is the time on the way between two processes, and Beat the time
	// between two heartbeats of a sidecar.
	Delay, Beat time.Duration
	Length      time.Duration
	Seed        int64
}

// Distributions of the load.
const (
	runSpread, taskSpread, needSpread, widthSpread = 0.4, 0.15, 0.2, 0.4
	// declaredFault is how far declared run times are off.
	declaredFault   = 0.4
	objective       = 60 * time.Millisecond
	objectiveFactor = 1.6
	lateFactor      = 3
	// lateWorth is the worth of a late answer.
	lateWorth = 0.2
)

// Result is what the callers of a class got.
type Result struct {
	Asked, InTime, Late, Refused, Failed int
	// Starts counts the runs that were sent to sidecars.
	Starts int
	owed   float64
	earned float64
}

// Worth returns what was earned of what was owed, 0 to 1.
func (r *Result) Worth() float64 { return r.earned / max(r.owed, 1e-9) }

// String is a row of figures.
func (r *Result) String() string {
	return fmt.Sprintf("asked %6d in time %.3f late %.3f refused %.3f failed %.3f worth %.3f starts %d", r.Asked,
		r.part(r.InTime), r.part(r.Late), r.part(r.Refused), r.part(r.Failed), r.Worth(), r.Starts)
}

func (r *Result) part(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }

// Outcome is what callers got, by class and in all.
type Outcome struct {
	Classes map[string]*Result
	All     Result
	// Batches counts the messages to sidecars.
	Batches int
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// player is one play.
type player struct {
	load Load
	// net draws what happens on the way, so that the draws of the load do not
	// depend on the decisions.
	net     *rand.Rand
	now     time.Duration
	seq     int
	events  events
	entries []*entry
	workers []*worker
	jobs    map[string]*job
	out     Outcome
}

type job struct {
	id        string
	result    *Result
	worth     float64
	begun     time.Duration
	objective time.Duration
	runs      []time.Duration // by task
}

// Play plays a load to its end.
func Play(l Load) Outcome {
	p := &player{load: l, net: rand.New(rand.NewSource(l.Seed)), jobs: map[string]*job{}}
	p.out.Classes = map[string]*Result{}
	for i := range l.Workers {
		p.workers = append(p.workers, newWorker(p, i))
	}
	for i := range l.Entries {
		p.entries = append(p.entries, newEntry(p, i))
	}
	for _, w := range p.workers {
		w.begin()
	}
	for i := range l.Classes {
		c := &l.Classes[i]
		p.out.Classes[c.Name] = &Result{}
		p.arrive(&source{c, rand.New(rand.NewSource(l.Seed + int64(i)<<32))}, time.Second)
	}
	for p.events.Len() > 0 && p.now < l.Length+10*time.Second {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	for _, r := range p.out.Classes {
		p.out.All.Asked += r.Asked
		p.out.All.InTime += r.InTime
		p.out.All.Late += r.Late
		p.out.All.Refused += r.Refused
		p.out.All.Failed += r.Failed
		p.out.All.owed += r.owed
		p.out.All.earned += r.earned
		p.out.All.Starts += r.Starts
	}
	return p.out
}

func (p *player) at(t time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, event{max(t, p.now), p.seq, do})
}

func (p *player) after(d time.Duration, do func()) { p.at(p.now+d, do) }

// travel runs do after the way between two processes.
func (p *player) travel(do func()) {
	p.after(p.load.Delay/2+time.Duration(p.net.Int63n(int64(p.load.Delay)+1)), do)
}

// source draws the jobs of a class.
type source struct {
	*Class
	rnd *rand.Rand
}

// spread draws a value with a logarithmic normal distribution.
func (s *source) spread(mean, spread float64) float64 {
	return mean * math.Exp(spread*s.rnd.NormFloat64()-spread*spread/2)
}

// arrive plans the next job of a class after a time.
func (p *player) arrive(c *source, after time.Duration) {
	rate := c.PerSecond
	for _, b := range p.load.Bursts {
		if b.Class == c.Name && after >= b.From && after < b.To {
			rate *= b.Factor
		}
	}
	at := after + time.Duration(c.rnd.ExpFloat64()/rate*float64(time.Second))
	if at > p.load.Length {
		return
	}
	p.at(at, func() {
		p.submit(c)
		p.arrive(c, at)
	})
}

func (p *player) submit(c *source) {
	r := p.out.Classes[c.Name]
	r.Asked++
	width := min(max(int(c.spread(float64(c.Width), widthSpread)+0.5), 1), c.MaxWidth)
	mean := c.spread(c.Run.Seconds(), runSpread)
	j := &job{id: fmt.Sprintf("%s-%d", c.Name, r.Asked), result: r, begun: p.now}
	longest := time.Duration(0)
	for range width {
		run := time.Duration(c.spread(mean, taskSpread) * float64(time.Second))
		j.runs = append(j.runs, run)
		longest = max(longest, run)
	}
	need := int64(c.spread(float64(c.MilliCPU), needSpread))
	j.objective = objective + time.Duration(objectiveFactor*float64(longest))
	const base = 0.3
	size := float64(width) * mean * float64(need) / (float64(c.Width) * c.Run.Seconds() * float64(c.MilliCPU))
	j.worth = min(base+(1-base)*size, 4) * c.Worth
	r.owed += j.worth
	p.jobs[j.id] = j
	declared := time.Duration(mean * math.Exp(declaredFault*c.rnd.NormFloat64()) * float64(time.Second))
	// The square makes the shares of entry instances uneven.
	u := c.rnd.Float64()
	e := p.entries[int((0.5*u+0.5*u*u)*float64(len(p.entries)))]
	e.submit(j, &work.Job{
		ID: j.id, Queue: c.Name, Service: service, Rank: c.Rank, Attempts: 3, Objective: objective, ObjectiveFactor: objectiveFactor,
		Patience: 4 * j.objective,
		Steps:    []work.Step{{Count: width, Need: work.Amount{MilliCPU: need, MemoryMB: 64}, Estimate: declared}},
	})
}

const service = "svc"

// entry is an entry instance.
type entry struct {
	p     *player
	id    ident.Process
	m     *placement.Machine
	links map[ident.Process]*link
	due   time.Duration
}

// link sends batches to one sidecar, one at a time.
type link struct {
	queue []placement.Send
	busy  bool
}

func newEntry(p *player, i int) *entry {
	e := &entry{p: p, id: ident.Process{Instance: fmt.Sprint("entry-", i), Incarnation: 1}, links: map[ident.Process]*link{}}
	e.m = placement.New(placement.Config{Zone: "z"}, rand.New(rand.NewSource(p.load.Seed+int64(i)+1)))
	for _, w := range p.workers {
		e.links[w.id] = &link{}
	}
	return e
}

func (e *entry) submit(j *job, spec *work.Job) {
	if refused, ok := e.m.Submit(e.p.now, spec); !ok {
		e.answered(placement.Answered{ID: j.id, Answer: refused})
	}
	e.step()
}

func (e *entry) step() {
	next := e.m.Tick(e.p.now)
	for actions := e.m.Actions(); len(actions) > 0; actions = e.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case placement.Send:
				l := e.links[a.Sidecar]
				l.queue = append(l.queue, a)
				e.send(l)
			case placement.Answered:
				e.answered(a)
			}
		}
	}
	if next > e.p.now && (e.due <= e.p.now || next < e.due) {
		e.due = next
		e.p.at(next, func() {
			if e.due == next {
				e.due = 0
				e.step()
			}
		})
	}
}

func (e *entry) send(l *link) {
	if l.busy || len(l.queue) == 0 {
		return
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	l.busy = true
	e.p.out.Batches++
	w := e.p.worker(s.Sidecar)
	e.p.travel(func() {
		w.m.Submit(e.p.now, e.id, s.Runs)
		for _, r := range s.Stops {
			if !w.m.Stop(e.p.now, r) {
				w.report(e, wire.RunEnd{Run: r, Outcome: work.NotRun})
			}
		}
		w.applied[e.id] = s.Sequence
		w.step()
		load := w.summary(e)
		e.p.travel(func() {
			l.busy = false
			e.m.SetLoad(e.p.now, w.id, load)
			e.send(l)
			e.step()
		})
	})
}

func (e *entry) answered(a placement.Answered) {
	j := e.p.jobs[a.ID]
	if j == nil {
		return
	}
	delete(e.p.jobs, a.ID)
	j.result.Starts += a.Facts.Starts
	took := e.p.now - j.begun
	switch {
	case a.Answer.State == work.Refused:
		j.result.Refused++
	case a.Answer.State != work.Completed:
		j.result.Failed++
	case took <= j.objective:
		j.result.InTime++
		j.result.earned += j.worth
	default:
		j.result.Late++
		if took <= lateFactor*j.objective {
			j.result.earned += lateWorth * j.worth
		}
	}
}

// worker is a worker with the sidecar beside it.
type worker struct {
	p        *player
	id       ident.Process
	capacity int64
	speed    float64
	m        *occupancy.Machine
	applied  map[ident.Process]uint64
	running  map[work.RunID]*active
	ended    []occupancy.Ended
	ends     map[*entry][]wire.RunEnd
	sending  map[*entry]bool
	due      time.Duration
}

type active struct{ from, to time.Duration }

func newWorker(p *player, i int) *worker {
	w := &worker{p: p, id: ident.Process{Instance: fmt.Sprint("side-", i), Incarnation: 1}, capacity: p.load.MilliCPU, speed: 1,
		m: occupancy.New(occupancy.Config{}), applied: map[ident.Process]uint64{}, running: map[work.RunID]*active{},
		ends: map[*entry][]wire.RunEnd{}, sending: map[*entry]bool{}}
	if i%3 == 2 {
		w.speed = 1 / p.load.SlowBy
	}
	if i/3%3 == 2 {
		w.capacity = w.capacity * 3 / 2
	}
	return w
}

func (p *player) worker(id ident.Process) *worker {
	for _, w := range p.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// begin opens the worker and begins its heartbeats and looks.
func (w *worker) begin() {
	w.m.SetWorker(0, occupancy.Worker{ID: w.id.Instance, Born: 1, Capacity: work.Amount{MilliCPU: w.capacity, MemoryMB: 1 << 20}})
	w.m.Looked(0, occupancy.Look{})
	w.m.SetOpen(0, true)
	info := wire.WorkerInfo{Sidecar: wire.Peer{Process: w.id, Zone: "z"}, Worker: w.id.Instance, Service: service}
	for _, e := range w.p.entries {
		var beat func()
		beat = func() {
			load := w.summary(e)
			w.p.travel(func() {
				e.m.Heard(w.p.now, info, 0, load)
				e.step()
			})
			w.p.after(w.p.load.Beat, beat)
		}
		w.p.at(time.Duration(w.p.net.Int63n(int64(w.p.load.Beat))), beat)
	}
	const look = 40 * time.Millisecond
	var again func()
	again = func() {
		w.look()
		w.p.after(look, again)
	}
	w.p.after(time.Duration(w.p.net.Int63n(int64(look))), again)
}

func (w *worker) summary(e *entry) wire.Load {
	l := w.m.Load(w.p.now)
	l.Applied = w.applied[e.id]
	return l
}

// look tells the machine what runs and what has ended.
func (w *worker) look() {
	l := occupancy.Look{Asked: w.p.now, Ended: w.ended}
	for id, a := range w.running {
		l.Running = append(l.Running, occupancy.Progress{Run: id, Percent: int(100 * (w.p.now - a.from) / (a.to - a.from))})
	}
	w.ended = nil
	w.m.Looked(w.p.now, l)
	w.step()
}

// step carries out what the sidecar decided.
func (w *worker) step() {
	const toWorker = 500 * time.Microsecond
	next := w.m.Tick(w.p.now)
	for actions := w.m.Actions(); len(actions) > 0; actions = w.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case occupancy.Order:
				w.p.after(toWorker, func() { w.start(a.Run) })
			case occupancy.Stop:
				w.p.after(toWorker, func() { w.stop(a.Run) })
			case occupancy.Report:
				w.report(w.p.entry(a.Owner), a.End)
			}
		}
	}
	if next > w.p.now && (w.due <= w.p.now || next < w.due) {
		w.due = next
		w.p.at(next, func() {
			if w.due == next {
				w.due = 0
				w.step()
			}
		})
	}
}

func (p *player) entry(id ident.Process) *entry {
	for _, e := range p.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *worker) start(id work.RunID) {
	run := w.p.load.Delay // of a job that has its answer
	if j := w.p.jobs[id.Task.Job]; j != nil {
		run = time.Duration(float64(j.runs[id.Task.Index]) / w.speed)
	}
	a := &active{w.p.now, w.p.now + run + 1}
	w.running[id] = a
	w.m.Ordered(w.p.now, id, occupancy.Accepted, "")
	w.p.at(a.to, func() {
		if w.running[id] == a {
			delete(w.running, id)
			w.ended = append(w.ended, occupancy.Ended{Run: id, Outcome: work.Done})
			w.look()
		}
	})
	w.step()
}

func (w *worker) stop(id work.RunID) {
	if w.running[id] != nil {
		delete(w.running, id)
		w.ended = append(w.ended, occupancy.Ended{Run: id, Outcome: work.Lost, Reason: "stopped"})
	}
	w.m.StopConfirmed(w.p.now, id)
	w.p.after(time.Millisecond, w.look)
}

// report hands an end to its owner; ends that wait go together.
func (w *worker) report(e *entry, end wire.RunEnd) {
	w.ends[e] = append(w.ends[e], end)
	w.deliver(e)
}

func (w *worker) deliver(e *entry) {
	if w.sending[e] || len(w.ends[e]) == 0 {
		return
	}
	w.sending[e] = true
	ends := w.ends[e]
	w.ends[e] = nil
	load := w.summary(e)
	w.p.travel(func() {
		e.m.SetLoad(w.p.now, w.id, load)
		e.m.Ends(w.p.now, w.id, ends)
		e.step()
		w.p.travel(func() {
			w.sending[e] = false
			w.deliver(e)
		})
	})
}
