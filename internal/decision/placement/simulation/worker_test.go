package simulation

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/occupancy"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// worker is a simulated worker together with its sidecar.
type worker struct {
	sim              *simulator
	id               ident.Process
	capacity         int64
	speed            float64
	m                *occupancy.Machine
	appliedSequences map[ident.Process]uint64
	running          map[work.RunID]*activeRun
	unreportedEnds   []occupancy.EndedRun
	unsentEnds       map[*entry][]wire.RunEnd
	sending          map[*entry]bool
	timer            timer
	// rack is the name of the worker's rack, and lost is true once that has been lost.
	rack string
	lost bool
}

type activeRun struct{ start, end time.Duration }

func newWorker(sim *simulator, i int) *worker {
	w := &worker{sim: sim, id: ident.Process{Instance: fmt.Sprint("side-", i), Incarnation: 1}, capacity: sim.workload.MilliCPU, speed: 1,
		m: occupancy.New(occupancy.Config{}), appliedSequences: map[ident.Process]uint64{}, running: map[work.RunID]*activeRun{},
		unsentEnds: map[*entry][]wire.RunEnd{}, sending: map[*entry]bool{}}
	if sim.workload.Racks > 0 {
		w.rack = fmt.Sprint("rack-", i*sim.workload.Racks/sim.workload.Workers)
	}
	if i%3 == 2 {
		w.speed = 1 / sim.workload.SlowFactor
	}
	if speeds := sim.workload.Speeds; len(speeds) > 0 {
		w.speed = speeds[i%len(speeds)]
	}
	if i/3%3 == 2 {
		w.capacity = w.capacity * 3 / 2
	}
	return w
}

func (sim *simulator) worker(id ident.Process) *worker {
	for _, w := range sim.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// open makes the worker accept runs, and starts the heartbeats of its sidecar and
// the polls of the worker by the sidecar.
func (w *worker) open() {
	w.m.SetWorker(0, occupancy.Worker{ID: w.id.Instance, Incarnation: 1, Capacity: work.Resources{MilliCPU: w.capacity, MemoryMB: 1 << 20}})
	w.m.ApplyStatus(0, occupancy.WorkerStatus{})
	w.m.SetWorkerAvailable(0, true)
	info := wire.WorkerInfo{Sidecar: wire.Peer{Process: w.id, Zone: "z"}, Worker: w.id.Instance, Service: service, Rack: w.rack}
	for _, e := range w.sim.entries {
		var sendHeartbeat func()
		sendHeartbeat = func() {
			if w.lost {
				return
			}
			load := w.loadSummary(e)
			w.sim.afterNetworkDelay(func() {
				e.m.Heartbeat(w.sim.now, info, 0, load, true)
				e.step()
			})
			w.sim.scheduleAfter(w.sim.workload.HeartbeatInterval, sendHeartbeat)
		}
		w.sim.schedule(time.Duration(w.sim.networkRandom.Int63n(int64(w.sim.workload.HeartbeatInterval))), sendHeartbeat)
	}
	const pollInterval = 40 * time.Millisecond
	var poll func()
	poll = func() {
		if w.lost {
			return
		}
		w.pollWorker()
		w.sim.scheduleAfter(pollInterval, poll)
	}
	w.sim.scheduleAfter(time.Duration(w.sim.networkRandom.Int63n(int64(pollInterval))), poll)
}

// loadSummary returns the load summary for an entry instance.
func (w *worker) loadSummary(e *entry) wire.Load {
	l := w.m.Load(w.sim.now)
	l.AppliedSequence = w.appliedSequences[e.id]
	return l
}

// pollWorker reports the running and the newly ended runs to the sidecar's machine.
func (w *worker) pollWorker() {
	status := occupancy.WorkerStatus{RequestedAt: w.sim.now, Ended: w.unreportedEnds}
	for id, a := range w.running {
		status.Running = append(status.Running, occupancy.Progress{Run: id, Percent: int(100 * (w.sim.now - a.start) / (a.end - a.start))})
	}
	w.unreportedEnds = nil
	w.m.ApplyStatus(w.sim.now, status)
	w.step()
}

// step carries out the actions of the sidecar's machine.
func (w *worker) step() {
	if w.lost {
		return
	}
	const workerDelay = 500 * time.Microsecond
	next := w.m.Tick(w.sim.now)
	for actions := w.m.Actions(); len(actions) > 0; actions = w.m.Actions() {
		for _, a := range actions {
			switch a := a.(type) {
			case occupancy.StartRun:
				w.sim.scheduleAfter(workerDelay, func() { w.startRun(a.Run) })
			case occupancy.StopRun:
				w.sim.scheduleAfter(workerDelay, func() { w.stopRun(a.Run) })
			case occupancy.ReportEnd:
				w.reportEnd(w.sim.entry(a.Owner), a.End)
			}
		}
	}
	w.timer.set(w.sim, next, w.step)
}

func (sim *simulator) entry(id ident.Process) *entry {
	for _, e := range sim.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *worker) startRun(id work.RunID) {
	runTime := w.sim.workload.NetworkDelay // for a job that has been answered already
	if j := w.sim.jobs[id.Task.Job]; j != nil {
		runTime = time.Duration(float64(j.runTimes[id.Task.Index]) / w.speed)
		if j.rack != "" && j.rack != w.rack {
			runTime = time.Duration(float64(runTime) * w.sim.workload.RemoteFactor)
		}
	}
	a := &activeRun{w.sim.now, w.sim.now + runTime + 1}
	w.running[id] = a
	w.m.StartAnswered(w.sim.now, id, occupancy.Accepted, "")
	w.sim.schedule(a.end, func() {
		if w.running[id] == a {
			delete(w.running, id)
			w.unreportedEnds = append(w.unreportedEnds, occupancy.EndedRun{Run: id, Outcome: work.Done})
			w.pollWorker()
		}
	})
	w.step()
}

func (w *worker) stopRun(id work.RunID) {
	if w.running[id] != nil {
		delete(w.running, id)
		w.unreportedEnds = append(w.unreportedEnds, occupancy.EndedRun{Run: id, Outcome: work.Lost, Reason: "stopped"})
	}
	w.m.StopConfirmed(w.sim.now, id)
	w.sim.scheduleAfter(time.Millisecond, w.pollWorker)
}

// reportEnd queues the end of a run for its owner. Ends that are queued during a
// transmission are sent together in the next one.
func (w *worker) reportEnd(e *entry, end wire.RunEnd) {
	w.unsentEnds[e] = append(w.unsentEnds[e], end)
	w.sendEnds(e)
}

func (w *worker) sendEnds(e *entry) {
	if w.lost || w.sending[e] || len(w.unsentEnds[e]) == 0 {
		return
	}
	w.sending[e] = true
	ends := w.unsentEnds[e]
	w.unsentEnds[e] = nil
	load := w.loadSummary(e)
	w.sim.afterNetworkDelay(func() {
		e.m.SetLoad(w.sim.now, w.id, load)
		e.m.RunsEnded(w.sim.now, &wire.EndBatch{Sidecar: w.id, Ends: ends})
		e.step()
		w.sim.afterNetworkDelay(func() {
			w.sending[e] = false
			w.sendEnds(e)
		})
	})
}
