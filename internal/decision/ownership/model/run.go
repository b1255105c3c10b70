package model

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
)

// isolated reports whether an entry instance is cut off from everything.
func (w *world) isolated(e *entryProcess) bool {
	return w.cut[[2]string{"caller", e.id.Instance}] > 0
}

// sidecarOf returns the newest process of a sidecar if id is its predecessor, which has
// ended.
func (w *world) sidecarOf(id ident.Process) *sidecarProcess {
	for _, s := range w.sidecars {
		if s.id.Instance == id.Instance && s.id == id {
			return s
		}
	}
	return &sidecarProcess{process: process{world: w, id: id, dead: true}}
}

// newWorld returns two entry instances and two sidecars with workers.
func newWorld(seed int64, g guards) *world {
	return newWorldWith(rand.New(rand.NewSource(seed)), g)
}

// newWorldWith returns such a world that draws what is left open from a chance.
func newWorldWith(c chance, g guards) *world {
	w := &world{guards: g, rnd: c, jobs: map[string]*callerJob{}, cut: map[[2]string]int{}}
	for i := range 2 {
		w.entries = append(w.entries, w.newEntry(fmt.Sprint("entry-", i), 1))
	}
	for i := range 2 {
		k := &worker{world: w, index: i}
		k.begin(k.name())
		w.workers = append(w.workers, k)
		w.sidecars = append(w.sidecars, w.newSidecar(k, 1))
	}
	return w
}

// checkService checks that each entry instance serves a job.
func (w *world) checkService() {
	const timeout = 5 * time.Second
	if len(w.violations) > 0 {
		return
	}
	before, end := w.completed, w.now+timeout
	for _, e := range w.entries {
		w.submitJob(e, 100*ms, timeout)
	}
	for w.now < end && w.completed < before+len(w.entries) {
		w.runUntil(w.now + 100*ms)
	}
	if served := w.completed - before; served < len(w.entries) && len(w.violations) == 0 {
		w.violations = append(w.violations, fmt.Sprintf("%d of %d entry instances serve a job after the faults\n%s", served, len(w.entries), w.traceOf("")))
	}
}

// play plays a world with random jobs and faults, and checks that each entry instance
// serves a job when the faults are over.
func play(seed int64, g guards) *world {
	const (
		duration = 30 * time.Second
		recovery = 5 * time.Second
	)
	w := newWorld(seed, g)
	w.runUntil(time.Second)
	pause := []time.Duration{300 * ms, 300 * ms, time.Second}[w.rnd.Intn(3)]
	for w.now < duration && len(w.violations) == 0 {
		w.submitJob(w.entries[w.rnd.Intn(len(w.entries))], w.random(40*ms, 900*ms), w.random(time.Second, 8*time.Second))
		if w.rnd.Intn(8) == 0 {
			w.disturb()
		}
		w.runUntil(w.now + w.random(20*ms, pause))
	}
	w.runUntil(duration + recovery)
	w.checkService()
	return w
}
