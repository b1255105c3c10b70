package simulation

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

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
	alarm    alarm
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
	w.m.SetWorker(0, occupancy.Worker{ID: w.id.Instance, Born: 1, Capacity: work.Resources{MilliCPU: w.capacity, MemoryMB: 1 << 20}})
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
	l.AppliedSequence = w.applied[e.id]
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
	w.alarm.set(w.p, next, w.step)
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
