package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// worker is a sidecar incarnation with the worker beside it.
type worker struct {
	info wire.WorkerInfo
	pool *pool
	// session changes when the sidecar has dropped what it ran for this owner.
	session uint64
	heard   time.Duration
	// silent is true while no heartbeat comes, and unanswered while the sidecar
	// does not answer batches.
	silent, unanswered bool

	load wire.Load
	// loaded is when the summary came.
	loaded time.Duration
	tasks  map[work.RunID]*task

	pending []reserved
	runs    []wire.RunRequest
	stops   []work.RunID
	// settled is true once the sidecar has seen that its worker runs nothing that
	// an earlier process ordered.
	settled bool
}

// reserved is room that the load summary does not include yet.
type reserved struct {
	sequence   uint64
	need       work.Resources
	rank       int
	estimateMs int64
}

// Heard takes a heartbeat of a sidecar. A higher session says that nothing runs
// there any more of what this owner sent before. Heartbeats that were overtaken
// are ignored: after a pause of this process old ones are read in any order.
func (m *Machine) Heard(now time.Duration, info wire.WorkerInfo, session uint64, load wire.Load) {
	id := info.Sidecar.Process
	w := m.workers[id]
	if w == nil {
		w = &worker{session: session, tasks: map[work.RunID]*task{}}
		m.workers[id] = w
	} else if session < w.session || load.Version <= w.load.Version {
		return
	}
	w.heard = now
	w.silent = false
	if w.session < session {
		w.session = session
		m.lose(now, w, "the sidecar dropped the runs of this owner")
	}
	m.setInfo(w, info)
	m.SetLoad(now, id, load)
	if load.AcceptsRuns && !w.settled {
		w.settled = true
		m.replaced(now, w)
	}
	m.retryWaiting(now)
}

func (m *Machine) setInfo(w *worker, info wire.WorkerInfo) {
	if w.pool != nil && w.info.Service == info.Service {
		w.info = info
		return
	}
	m.leavePool(w)
	w.info = info
	if info.Service == "" {
		return
	}
	p := m.pools[info.Service]
	if p == nil {
		p = &pool{}
		m.pools[info.Service] = p
	}
	p.workers = append(p.workers, w)
	w.pool = p
}

func (m *Machine) leavePool(w *worker) {
	if w.pool == nil {
		return
	}
	for i, o := range w.pool.workers {
		if o == w {
			w.pool.workers = append(w.pool.workers[:i], w.pool.workers[i+1:]...)
			break
		}
	}
	w.pool = nil
}

// SetLoad takes a load summary unless a newer one is known.
func (m *Machine) SetLoad(now time.Duration, sidecar ident.Process, l wire.Load) {
	w := m.workers[sidecar]
	if w == nil || l.Version <= w.load.Version && l.Version != 0 {
		return
	}
	w.load, w.loaded = l, now
	if w.pool != nil {
		w.pool.largest = largest(w.pool.largest, l.Capacity)
	}
	keep := w.pending[:0]
	for _, p := range w.pending {
		if p.sequence > l.AppliedSequence {
			keep = append(keep, p)
			w.reserve(p.need, p.rank, p.estimateMs)
		}
	}
	w.pending = keep
}

func largest(a, b work.Resources) work.Resources {
	return work.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// reserve takes room off the summary for a run that it does not include.
func (w *worker) reserve(need work.Resources, rank int, estimateMs int64) {
	if w.queuedUpTo(wire.NumRanks-1) == 0 && need.FitsIn(w.load.Free) {
		w.load.Free = w.load.Free.Sub(need)
		w.load.RemainingWork += need.MilliCPU * estimateMs
		return
	}
	rank = min(rank, wire.NumRanks-1)
	w.load.QueuedMilliCPU[rank] += need.MilliCPU
}

func (w *worker) queuedUpTo(rank int) int64 {
	sum := int64(0)
	for k := 0; k <= min(rank, wire.NumRanks-1); k++ {
		sum += w.load.QueuedMilliCPU[k]
	}
	return sum
}

// usable reports whether the worker takes work.
func (w *worker) usable() bool {
	return w.load.AcceptsRuns && !w.silent && !w.unanswered && w.pool != nil
}

// live reports whether any worker takes work.
func (p *pool) live() bool {
	for _, w := range p.workers {
		if w.usable() {
			return true
		}
	}
	return false
}

// canHold reports whether each task fits a worker of the pool when it is empty.
func (p *pool) canHold(spec *work.Job) bool {
	for _, s := range spec.Steps {
		if !s.Need.FitsIn(p.largest) {
			return false
		}
	}
	return true
}

// Refused says that a batch was certainly not carried out: the sidecar is
// another incarnation, or does not take this owner for live.
func (m *Machine) Refused(now time.Duration, s Send) {
	m.NotSent(s)
	w := m.workers[s.Sidecar]
	if w == nil {
		return
	}
	w.load.AcceptsRuns = false
	for _, r := range s.Runs {
		if t := w.tasks[r.Run]; t != nil {
			m.ended(now, t, wire.RunEnd{Run: r.Run, Outcome: work.NotRun, Reason: "the sidecar does not know this owner as live"})
		}
	}
}

// NotSent gives back the room that is reserved for a batch which no summary will
// ever include, because the sidecar has not taken it and will not.
func (m *Machine) NotSent(s Send) {
	if w := m.workers[s.Sidecar]; w != nil {
		w.pending = slices.DeleteFunc(w.pending, func(r reserved) bool { return r.sequence == s.Sequence })
	}
}

// Unanswered says whether the sidecar leaves a batch unanswered. It gets no
// further work until it answers.
func (m *Machine) Unanswered(sidecar ident.Process, on bool) {
	if w := m.workers[sidecar]; w != nil {
		w.unanswered = on
	}
}

// Wanted returns what is left to send of a batch: starts whose jobs have no
// answer yet, and stops. Batches may wait long for a sidecar that does not
// answer. Nothing is left of a batch of an earlier session: the sidecar has
// dropped its runs.
func (m *Machine) Wanted(s Send) Send {
	w := m.workers[s.Sidecar]
	if w == nil || w.session != s.Session {
		s.Runs, s.Stops = nil, nil
		return s
	}
	var wanted []wire.RunRequest
	for _, r := range s.Runs {
		if t := w.tasks[r.Run]; t != nil && !t.job.answered {
			wanted = append(wanted, r)
		}
	}
	s.Runs = wanted
	return s
}

// SidecarGone says that a sidecar process has ended. What it ran ends when its
// leases do, or when the next process there has stopped it.
func (m *Machine) SidecarGone(now time.Duration, sidecar ident.Process) {
	if w := m.workers[sidecar]; w != nil && !w.silent {
		m.silence(now, w)
	}
}

func (m *Machine) checkSilence(now time.Duration) {
	for id, w := range m.workers {
		if !w.silent && now-w.heard > m.cfg.Silence {
			m.silence(now, w)
		}
		if w.silent && now-w.heard > m.cfg.Lapse {
			m.lose(now, w, "the worker was silent until its leases ran out")
			m.leavePool(w)
			delete(m.workers, id)
		}
	}
}

// silence stops using a worker. Jobs with tasks there are given up at once if
// their caller does not wait until these have ended for sure.
func (m *Machine) silence(now time.Duration, w *worker) {
	w.silent = true
	lapse := w.heard + m.cfg.Lapse
	for _, t := range tasksOf(w) {
		j := t.job
		if j.answered {
			continue
		}
		if lapse+j.least(t.step) > j.deadline {
			j.touched = true
			j.facts.LastOutcome, j.facts.LastReason, j.facts.LastWorker = work.Lost, "the worker is silent", w.info.Worker
			m.answer(now, j, work.Answer{State: work.Unfinished, Reason: work.ReasonWorkerLost})
		}
	}
}

// replaced ends the tasks of earlier incarnations of a sidecar: the present one
// has seen that nothing of them runs.
func (m *Machine) replaced(now time.Duration, w *worker) {
	for id, o := range m.workers {
		if o == w || id.Instance != w.info.Sidecar.Process.Instance {
			continue
		}
		m.lose(now, o, "the sidecar has started again")
		m.leavePool(o)
		delete(m.workers, id)
	}
}

// lose ends all tasks at a worker.
func (m *Machine) lose(now time.Duration, w *worker, reason string) {
	w.pending = nil
	for _, t := range tasksOf(w) {
		if t.worker != w {
			continue // an earlier end has ended its job
		}
		m.ended(now, t, wire.RunEnd{Run: t.run(), Outcome: work.Lost, Reason: reason})
	}
}

func tasksOf(w *worker) []*task {
	list := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		list = append(list, t)
	}
	sortTasks(list)
	return list
}

// Workers returns the number of known workers and of those that take work.
func (m *Machine) Workers() (known, usable int) {
	for _, w := range m.workers {
		if w.usable() {
			usable++
		}
	}
	return len(m.workers), usable
}

// InContact reports whether heartbeats of a sidecar come.
func (m *Machine) InContact(now time.Duration, sidecar ident.Process) bool {
	w := m.workers[sidecar]
	return w != nil && now-w.heard <= m.cfg.Silence
}
