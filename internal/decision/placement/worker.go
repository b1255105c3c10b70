package placement

import (
	"slices"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// worker holds the state of one sidecar incarnation and of its worker.
type worker struct {
	info wire.WorkerInfo
	pool *pool
	// heartbeatVersion is the version of the load summary in the newest heartbeat. It orders the
	// heartbeats, and with them the descriptions of the worker, which nothing else carries.
	heartbeatVersion uint64
	// description is the number of the description in info, as load summaries name it.
	description uint64
	// session increases when the sidecar has dropped all runs of this entry instance.
	session uint64
	// lastContact is the time of the last message from the sidecar. lastRunAt is the
	// time at which the newest run for it was created, and activeSince the time since
	// which tasks is not empty. Since activeSince the sidecar sends frequent heartbeats.
	lastContact, lastRunAt, activeSince time.Duration
	// unreachable is true from the end of the sidecar process, or from the timeout
	// after the last message, until the next heartbeat. unresponsive is true while the
	// sidecar does not answer a batch.
	unreachable, unresponsive bool
	// evacuated is true while the sidecar's zone is evacuated.
	evacuated bool

	load wire.Load
	// loadReceived is the time at which load was received.
	loadReceived time.Duration
	// tasks holds the tasks whose newest run is at the worker or in unsentRuns.
	tasks map[work.RunID]*task

	reservations []reservation
	// unsentRuns and unsentStops are the content of the next batch.
	unsentRuns  []wire.RunRequest
	unsentStops []work.RunID
	// abandoned holds the batches with runs that were abandoned while the sidecar was out
	// of contact.
	abandoned []Batch
	// acceptedRuns is true once a heartbeat has reported that the worker accepts
	// runs. Before that, the sidecar verifies that the worker runs nothing that an
	// earlier sidecar process started.
	acceptedRuns bool
	// predecessors holds the earlier incarnations of the sidecar, once acceptedRuns is true.
	predecessors map[uint64]bool
}

// reservation is the capacity for a sent run that the load summary does not include
// yet.
type reservation struct {
	sequence   uint64
	need       work.Resources
	rank       int
	estimateMs int64
	// sentAt is the time of the newest run for the worker when the batch was built.
	sentAt time.Duration
}

// Heartbeat records a heartbeat of a sidecar. A higher session means that none of
// the runs sent in earlier sessions is still running. Heartbeat ignores a heartbeat
// older than one already recorded, because after a pause of this process it may
// read delayed heartbeats in any order, and one of a process that a later one of the
// same sidecar has replaced. Reports and replies to batches overtake heartbeats all the
// time; only the load summary of such a heartbeat is ignored.
//
// confirmed is true if the sidecar was alive after an earlier heartbeat of it had arrived.
// Heartbeat returns the reason if it ignored the heartbeat for its process or session.
func (m *Machine) Heartbeat(now time.Duration, info wire.WorkerInfo, session uint64, load wire.Load, confirmed bool) (ignored string) {
	m.checkContacts(now)
	m.recordMessage(now)
	id := info.Sidecar.Process
	if m.replaced(info) {
		return "a later process of the sidecar is known"
	}
	m.recordIncarnation(now, info)
	w := m.workers[id]
	if w == nil && !confirmed && len(m.incarnations[id.Instance]) > 1 {
		return "the process may have ended before another one of the sidecar"
	}
	if w == nil {
		w = &worker{session: session, tasks: map[work.RunID]*task{}}
		m.workers[id] = w
	} else if session < w.session {
		return "a later session of the sidecar is known"
	} else if session > w.session && !confirmed {
		return "the sidecar does not know yet whether it has a session here"
	} else if load.Version <= w.heartbeatVersion {
		return "" // a later heartbeat is known
	}
	w.heartbeatVersion = load.Version
	w.lastContact = now
	returned := w.unreachable
	w.unreachable = false
	if w.session < session {
		w.session = session
		m.removeFromPool(w) // the lost tasks are not placed here again by the earlier description
		m.loseTasks(now, w, "the sidecar dropped all runs of this entry instance")
	} else if returned {
		m.stopAnsweredTasks(w)
	}
	m.setInfo(w, info)
	w.description = load.Description
	m.SetLoad(now, id, load)
	w.noteCapacity() // a newer load summary may have come before the worker's service was known
	m.stopAbandonedRuns(w)
	if load.AcceptsRuns && !w.acceptedRuns {
		w.acceptedRuns = true
		m.startup.workerAdded(now)
		m.endPredecessors(now, w)
	}
	m.settleSilentWorkers(now, info)
	m.retryWaiting(now)
	return ""
}

// WorkerDescribed tells the caller of the Machine that a sidecar has described another worker
// than before, or the first one.
type WorkerDescribed struct{ Info wire.WorkerInfo }

func (WorkerDescribed) action() {}

// setInfo updates the description of a worker and moves it to the pool of its
// service.
func (m *Machine) setInfo(w *worker, info wire.WorkerInfo) {
	if !info.SameWorker(&w.info) {
		m.actions = append(m.actions, WorkerDescribed{info})
	}
	w.evacuated = !m.evacuation.Allows(info.Sidecar.Zone)
	if w.pool != nil && w.info.Service == info.Service {
		w.info = info
		return
	}
	m.removeFromPool(w)
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

func (m *Machine) removeFromPool(w *worker) {
	if w.pool == nil {
		return
	}
	for i, other := range w.pool.workers {
		if other == w {
			w.pool.workers = append(w.pool.workers[:i], w.pool.workers[i+1:]...)
			break
		}
	}
	w.pool = nil
}

// SetLoad records a load summary unless a newer one is known.
func (m *Machine) SetLoad(now time.Duration, sidecar ident.Process, l wire.Load) {
	m.checkContacts(now)
	m.recordMessage(now)
	w := m.workers[sidecar]
	if w == nil {
		return
	}
	if !w.unreachable {
		w.lastContact = now
	}
	if l.Version <= w.load.Version && l.Version != 0 {
		return
	}
	w.load, w.loadReceived = l, now
	m.noteRackLoad(w)
	w.noteCapacity()
	kept := w.reservations[:0]
	for _, r := range w.reservations {
		if r.sequence > l.AppliedSequence {
			kept = append(kept, r)
			w.reserve(r.need, r.rank, r.estimateMs)
		} else {
			m.delay.observe(now - r.sentAt)
		}
	}
	w.reservations = kept
}

// noteCapacity includes the worker's capacity in that of its pool.
func (w *worker) noteCapacity() {
	if w.pool != nil {
		w.pool.maxCapacity = maxResources(w.pool.maxCapacity, w.load.Capacity)
	}
}

// maxResources returns the maximum of a and b in each dimension.
func maxResources(a, b work.Resources) work.Resources {
	return work.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// reserve updates the load summary for a run that it does not include yet.
func (w *worker) reserve(need work.Resources, rank int, estimateMs int64) {
	if w.queuedUpTo(wire.NumRanks-1) == 0 && need.FitsIn(w.load.Free) {
		w.load.Free = w.load.Free.Sub(need)
		w.load.RemainingWork += need.MilliCPU * estimateMs
		return
	}
	rank = min(rank, wire.NumRanks-1)
	w.load.QueuedMilliCPU[rank] += need.MilliCPU
}

// queuedUpTo returns the processor need of the queued runs of a rank and all more
// urgent ones, in thousandths of a core.
func (w *worker) queuedUpTo(rank int) int64 {
	sum := int64(0)
	for k := 0; k <= min(rank, wire.NumRanks-1); k++ {
		sum += w.load.QueuedMilliCPU[k]
	}
	return sum
}

// BatchRejected records that a sidecar has certainly not carried out a batch, for
// example because it is another incarnation or does not consider this entry
// instance live.
func (m *Machine) BatchRejected(now time.Duration, batch Batch) {
	if w := m.workers[batch.Sidecar]; w != nil {
		w.load.AcceptsRuns = false
	}
	m.BatchNotStarted(now, batch)
}

// BatchNotStarted records that a sidecar has started none of the runs of a batch and
// never will.
func (m *Machine) BatchNotStarted(now time.Duration, batch Batch) {
	m.ReleaseReservations(batch)
	w := m.workers[batch.Sidecar]
	if w == nil {
		return
	}
	for _, r := range batch.Runs {
		if t := w.tasks[r.Run]; t != nil {
			m.endRun(now, t, wire.RunEnd{Run: r.Run, Outcome: work.NotRun, Reason: "the sidecar did not accept the batch"})
		}
	}
}

// ReleaseReservations releases the capacity reserved for a batch that the sidecar
// has not carried out and never will, so that no load summary will include it.
func (m *Machine) ReleaseReservations(batch Batch) {
	if w := m.workers[batch.Sidecar]; w != nil {
		w.reservations = slices.DeleteFunc(w.reservations, func(r reservation) bool { return r.sequence == batch.Sequence })
	}
}

// SetUnresponsive records whether a sidecar currently fails to answer a batch. Its
// worker gets no further runs until it answers.
func (m *Machine) SetUnresponsive(sidecar ident.Process, unresponsive bool) {
	if w := m.workers[sidecar]; w != nil {
		w.unresponsive = unresponsive
	}
}

// Prune removes the runs from a batch that need not be sent any more, because their
// jobs have been answered or the runs have ended. A batch may be queued for long if
// the sidecar does not answer. Prune empties a batch of an earlier session, because
// the sidecar has dropped the runs of that session.
func (m *Machine) Prune(batch Batch) Batch {
	w := m.workers[batch.Sidecar]
	if w == nil || w.session != batch.Session {
		batch.Runs, batch.Stops = nil, nil
		return batch
	}
	var runs []wire.RunRequest
	for _, r := range batch.Runs {
		if t := w.tasks[r.Run]; t != nil && !t.job.answered {
			runs = append(runs, r)
		}
	}
	batch.Runs = runs
	return batch
}
