// Package health decides which workers get no work because they fail too many
// tasks, which ones rank last because they are slow, and how many tasks that
// did not start may be retried.
package health

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
)

const (
	// window is the number of recent results per worker that count.
	window = 20
	// minResults is the number of results needed to eject a worker, and the
	// number of results of the same kinds on other workers to compare with.
	minResults = 5
	// ejectShare is the share of failures above which a worker is ejected.
	ejectShare = 0.5
	// provenStreak failures in a row make a worker suspect that has completed
	// a task before; one that never has is suspect after one. A worker that
	// fails at once would get a task of many jobs before minResults are known.
	provenStreak = 3
	// streakResults is the number of results of a kind on other workers that
	// are needed to eject a suspect worker, and streakShare the share of
	// failures among them up to which it is ejected.
	streakResults = 5
	streakShare   = 0.05
	// firstBackoff and maxBackoff bound the time between probes.
	firstBackoff = 5 * time.Second
	maxBackoff   = 60 * time.Second
	// DefaultEjectPercent bounds the ejected workers of a service, in percent.
	DefaultEjectPercent = 30
	// stragglerRatio is the run time relative to the fleet's median above
	// which a worker ranks last.
	stragglerRatio = 3
)

// Rank orders workers; lower is better.
type Rank uint8

// Ranks of workers.
const (
	// RankProbe is an ejected worker that is due for a probe; it goes first,
	// because it would never recover otherwise.
	RankProbe Rank = iota
	RankHealthy
	// RankFailing has failed more than the fleet, but is not ejected.
	RankFailing
	RankStraggler
	// RankEjected gets no work.
	RankEjected
)

// Change says what a result did to a worker.
type Change uint8

// Changes of a worker.
const (
	Unchanged Change = iota
	Ejected
	Readmitted
)

// Fleet compares the workers of one service.
type Fleet struct {
	percent int
	workers int
	ejected int
	kinds   map[string]*tally
}

// tally sums the recent results of a kind over all workers. A worker counts
// with its last results only, so a fast failer can't outvote the others.
type tally struct {
	results int
	failed  int
}

// NewFleet returns a Fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{percent: DefaultEjectPercent, kinds: map[string]*tally{}}
}

// SetEjectPercent bounds the ejected workers.
func (f *Fleet) SetEjectPercent(percent int) { f.percent = percent }

// Worker is the health of one worker.
type Worker struct {
	fleet   *Fleet
	ring    [window]outcome
	total   int
	failed  int
	streak  int  // failures since the last completed task
	proven  bool // has completed a task
	speed   estimate.Speed
	ejected bool
	until   time.Duration // no probe before
	probing bool
	backoff time.Duration
	readmit time.Duration // time of the last readmission
}

type outcome struct {
	kind   *tally
	failed bool
}

// Join adds a worker to the fleet.
func (f *Fleet) Join() *Worker {
	f.workers++
	return &Worker{fleet: f}
}

// Leave removes the worker from its fleet.
func (w *Worker) Leave() {
	w.fleet.workers--
	if w.ejected {
		w.fleet.ejected--
	}
	w.clear()
}

// clear forgets the results.
func (w *Worker) clear() {
	for i := range w.ring {
		w.forget(i)
	}
	w.total, w.failed = 0, 0
}

func (w *Worker) forget(i int) {
	o := w.ring[i]
	if o.kind == nil {
		return
	}
	o.kind.results--
	if o.failed {
		o.kind.failed--
		w.failed--
	}
	w.ring[i] = outcome{}
}

// Completed records a completed task; ratio is its run time relative to the
// fleet's median for the kind.
func (w *Worker) Completed(now time.Duration, kind string, ratio float64) Change {
	w.speed.Observe(ratio)
	w.streak, w.proven = 0, true
	if w.ejected {
		return w.probed(now, true)
	}
	w.record(kind, false)
	return Unchanged
}

// Failed records a failed task.
func (w *Worker) Failed(now time.Duration, kind string) Change {
	if w.ejected {
		return w.probed(now, false)
	}
	w.streak++
	w.record(kind, true)
	return w.consider(now)
}

// consider ejects the worker if its failures and those of the others tell so.
// Call it again for a suspect worker when others have had results.
func (w *Worker) consider(now time.Duration) Change {
	if w.ejected || !w.excessive() && !(w.suspect() && w.alone()) || !w.fleet.allows() {
		return Unchanged
	}
	w.eject(now)
	return Ejected
}

// Consider ejects a suspect worker once enough results of others are known.
func (w *Worker) Consider(now time.Duration) Change {
	if !w.suspect() {
		return Unchanged
	}
	return w.consider(now)
}

// Suspect reports whether the worker should get one task at a time.
func (w *Worker) Suspect() bool { return !w.ejected && w.suspect() }

func (w *Worker) suspect() bool {
	return w.streak >= provenStreak || w.streak > 0 && !w.proven
}

// alone reports whether the kinds that the worker failed last hardly ever fail
// on the others.
func (w *Worker) alone() bool {
	results, failed := 0, 0
	seen := map[*tally]bool{}
	for n := 1; n <= min(w.streak, window, w.total); n++ {
		t := w.ring[(w.total-n)%window].kind
		if t == nil || seen[t] {
			continue
		}
		seen[t] = true
		r, f := w.others(t)
		results, failed = results+r, failed+f
	}
	return results >= streakResults && float64(failed) <= streakShare*float64(results)
}

// Unproven says that a probe ended without telling anything of the worker.
func (w *Worker) Unproven() { w.probing = false }

func (w *Worker) record(kind string, failed bool) {
	i := w.total % window
	w.forget(i)
	t := w.fleet.kinds[kind]
	if t == nil {
		t = &tally{}
		w.fleet.kinds[kind] = t
	}
	t.results++
	if failed {
		t.failed++
		w.failed++
	}
	w.ring[i] = outcome{kind: t, failed: failed}
	w.total++
}

func (w *Worker) share() float64 {
	return float64(w.failed) / float64(min(w.total, window))
}

// excessive reports whether the worker fails far more than the others do on
// the same kinds.
func (w *Worker) excessive() bool {
	return w.total >= minResults && w.share() > ejectShare && w.worse()
}

// worse reports whether the others' share of failures, weighted by the
// worker's own mix of kinds, is known and under half of the worker's.
func (w *Worker) worse() bool {
	expected, known := 0.0, 0
	for i := range w.ring {
		t := w.ring[i].kind
		if t == nil {
			continue
		}
		results, failed := w.others(t)
		if results < minResults {
			continue
		}
		expected += float64(failed) / float64(results)
		known++
	}
	return known >= minResults && expected/float64(known) < w.share()/2
}

// others returns the results of a kind without those of the worker itself.
func (w *Worker) others(t *tally) (results, failed int) {
	results, failed = t.results, t.failed
	for i := range w.ring {
		if w.ring[i].kind != t {
			continue
		}
		results--
		if w.ring[i].failed {
			failed--
		}
	}
	return results, failed
}

// allows reports whether one more worker may be ejected.
func (f *Fleet) allows() bool {
	return f.ejected < max(1, f.workers*f.percent/100)
}
