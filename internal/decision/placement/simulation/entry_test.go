package simulation

import (
	"fmt"
	"math/rand"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const service = "svc"

// entry is an entry instance.
type entry struct {
	p     *player
	id    ident.Process
	m     *placement.Machine
	links map[ident.Process]*link
	alarm alarm
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
	e.alarm.set(e.p, next, e.step)
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
