package simulation

import (
	"container/heap"
	"math/rand"
	"time"
)

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

// alarm runs a step at the earliest time that was set.
type alarm struct{ due time.Duration }

func (a *alarm) set(p *player, at time.Duration, step func()) {
	if at <= p.now || a.due > p.now && a.due <= at {
		return
	}
	a.due = at
	p.at(at, func() {
		if a.due == at {
			a.due = 0
			step()
		}
	})
}
