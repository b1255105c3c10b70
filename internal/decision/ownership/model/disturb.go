package model

import (
	"time"
)

// isolate cuts an entry instance off from everything for a time.
func (w *world) isolate(e *entryProcess, d time.Duration) {
	others := []string{"caller"}
	for _, s := range w.sidecars {
		others = append(others, s.id.Instance)
	}
	name := e.id.Instance
	w.note("%v isolated for %v", e.id, d)
	for _, o := range others {
		w.setCut(name, o, true)
		w.setCut(o, name, true)
	}
	w.after(d, func() {
		for _, o := range others {
			w.setCut(name, o, false)
			w.setCut(o, name, false)
		}
	})
}

// pause pauses a process, and reports whether it was at work.
func (w *world) pause(p *process, d time.Duration) bool {
	if p.dead || p.paused {
		return false
	}
	p.paused = true
	w.note("%v paused for %v", p.id, d)
	w.after(d, p.resume)
	return true
}

// disturb lets one random fault happen.
func (w *world) disturb() {
	e, s := w.rnd.Intn(len(w.entries)), w.rnd.Intn(len(w.sidecars))
	long := w.random(100*ms, 4*time.Second)
	switch w.rnd.Intn(19) {
	case 0:
		w.pause(&w.entries[e].process, long)
	case 1:
		w.pause(&w.sidecars[s].process, long)
	case 2:
		w.isolate(w.entries[e], long)
	case 3:
		w.cutOneWay(w.entries[e].id.Instance, w.sidecars[s].id.Instance, long)
	case 4:
		w.restartSidecar(s)
	case 5:
		w.restartEntry(e)
	case 6: // a herd of kills
		for i := range w.sidecars {
			w.restartSidecar(i)
		}
	case 7:
		w.crashWorker(w.workers[s], long)
	case 8: // a machine loses power
		w.restartSidecar(s)
		w.crashWorker(w.workers[s], long)
	case 9:
		w.note("%s carries out calls late for %v", w.workers[s].name(), long)
		w.workers[s].lateUntil = w.now + long
	case 10:
		w.cutBothWays(w.workers[s].name(), w.sidecars[s].id.Instance, long)
	case 11:
		w.workers[s].stall(long)
	case 12:
		w.note("%s is slow for %v", w.workers[s].name(), long)
		w.workers[s].slowUntil = w.now + long
	case 13:
		w.clockStep += w.random(-2*time.Hour, 2*time.Hour)
		w.note("time of day steps to %v", w.clockStep)
	case 14:
		w.note("%s turns calls away for %v", w.workers[s].name(), long)
		w.workers[s].busyUntil = w.now + long
	case 15:
		w.breakOffAny()
	case 16:
		w.note("%s refuses connections for %v", w.workers[s].name(), long)
		w.workers[s].closedUntil = w.now + long
	case 17:
		w.sidecars[s].closePort(long)
	case 18:
		w.entries[e].closePort(long)
	}
}

// cutOneWay cuts one of the two directions between two processes.
func (w *world) cutOneWay(from, to string, d time.Duration) {
	if w.rnd.Intn(2) == 0 {
		from, to = to, from
	}
	w.cutLink(from, to, d)
}

func (w *world) cutLink(from, to string, d time.Duration) {
	w.note("cut from %s to %s for %v", from, to, d)
	w.setCut(from, to, true)
	w.after(d, func() { w.setCut(from, to, false) })
}

func (w *world) cutBothWays(a, b string, d time.Duration) {
	w.note("cut between %s and %s for %v", a, b, d)
	w.setCut(a, b, true)
	w.setCut(b, a, true)
	w.after(d, func() {
		w.setCut(a, b, false)
		w.setCut(b, a, false)
	})
}

// crashWorker lets a worker crash and come back, at once or later, under its identifier
// or another one, in contact with its sidecar or behind a cut.
func (w *world) crashWorker(k *worker, long time.Duration) {
	delay := w.random(0, 30*ms)
	if w.rnd.Intn(2) == 0 {
		delay = w.random(50*ms, 3*time.Second)
	}
	if w.rnd.Intn(4) == 0 {
		w.cutBothWays(k.name(), w.sidecars[k.index].id.Instance, long)
	}
	k.crash(delay, w.rnd.Intn(4) > 0)
}

func (w *world) restartSidecar(i int) { w.restartSidecarAfter(i, w.random(50*ms, 600*ms)) }

// restartSidecarAfter kills a sidecar, which starts again after a delay, and reports
// whether it was alive.
func (w *world) restartSidecarAfter(i int, delay time.Duration) bool {
	old := w.sidecars[i]
	alive := !old.dead
	w.note("%v killed", old.id)
	old.dead = true
	w.after(delay, func() {
		if w.sidecars[i] == old {
			w.sidecars[i] = w.newSidecar(old.worker, old.id.Incarnation+1)
		}
	})
	return alive
}

func (w *world) restartEntry(i int) { w.restartEntryAfter(i, w.random(50*ms, 600*ms)) }

// restartEntryAfter does the same to an entry instance.
func (w *world) restartEntryAfter(i int, delay time.Duration) bool {
	old := w.entries[i]
	alive := !old.dead
	w.note("%v killed", old.id)
	old.dead = true
	w.after(delay, func() {
		if w.entries[i] == old {
			w.entries[i] = w.newEntry(old.id.Instance, old.id.Incarnation+1)
		}
	})
	return alive
}

// pauseAfterDrop pauses a sidecar within 1 ms after it has dropped an owner with runs.
func (w *world) pauseAfterDrop(s *sidecarProcess) {
	for _, o := range s.owners {
		if !o.Live() && s.m.HasRunsOf(o.entry.id) {
			w.after(w.random(0, ms), func() { w.pause(&s.process, 3*time.Second) })
			return
		}
	}
	w.after(100*time.Microsecond, func() { w.pauseAfterDrop(s) })
}

// pauseAfterTakeover pauses the successor of a sidecar within 80 ms after it has found a run of
// its predecessor.
func (w *world) pauseAfterTakeover(old *sidecarProcess) {
	if s := w.sidecars[old.worker.index]; s != old && s.m.NumActive() > 0 {
		w.after(w.random(20*ms, 80*ms), func() { w.pause(&s.process, 3*time.Second) })
		return
	}
	w.after(100*time.Microsecond, func() { w.pauseAfterTakeover(old) })
}
