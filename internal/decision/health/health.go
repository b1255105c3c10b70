// Package health detects unhealthy workers. It ejects workers that fail too many
// tasks, probes ejected ones, ranks slow workers behind the others, and limits
// how many tasks that did not start may be retried.
package health

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/estimate"
)

const (
	// recentResults is the number of recent results kept per worker.
	recentResults = 20
	// minResults is the minimum number of results to eject a worker by its
	// failure rate, and the minimum number of results of the same kinds on other
	// workers for the comparison.
	minResults = 5
	// ejectFailureRate is the failure rate above which a worker may be ejected.
	ejectFailureRate = 0.5
	// suspectFailures is the number of consecutive failures that make a worker
	// suspect if it has completed a task before. A worker that never has is
	// suspect after one failure. Without these bounds, a worker that fails every
	// task immediately would receive tasks of many jobs before minResults are
	// known.
	suspectFailures = 3
	// suspectMinResults is the minimum number of results of the failed kinds on
	// other workers to eject a suspect worker. suspectMaxFailureRate is the
	// failure rate among those results up to which the worker is ejected.
	suspectMinResults     = 5
	suspectMaxFailureRate = 0.05
	// minBackoff and maxBackoff bound the time between probes.
	minBackoff = 5 * time.Second
	maxBackoff = 60 * time.Second
	// DefaultEjectPercent is the default bound of ejected workers of a service,
	// in percent of its workers.
	DefaultEjectPercent = 30
	// stragglerRatio is the run time relative to the median of the fleet above
	// which a worker is a straggler, which ranks last among usable workers.
	stragglerRatio = 3
)

// Rank orders workers for the next task; a lower rank goes first.
type Rank uint8

// Ranks of workers.
const (
	// RankProbe is an ejected worker that is due for a probe. It goes first,
	// because it can only be readmitted after a probe.
	RankProbe Rank = iota
	RankHealthy
	// RankFailing is a worker that fails often or is suspect, but is not ejected.
	RankFailing
	// RankStraggler is a slow worker.
	RankStraggler
	// RankEjected is an ejected worker, which gets no work.
	RankEjected
)

// Change is the effect of a result on the ejection of a worker.
type Change uint8

// Effects of a result.
const (
	Unchanged Change = iota
	Ejected
	Readmitted
)

// Fleet holds the workers of one service and compares their results.
type Fleet struct {
	ejectPercent int
	workers      int
	ejected      int
	kinds        map[string]*kindTotals
}

// kindTotals counts the recent results of a kind over all workers. Each worker
// contributes at most its last recentResults results, so that a worker that
// fails fast can't outweigh the others.
type kindTotals struct {
	results int
	failed  int
}

// NewFleet returns a Fleet without workers.
func NewFleet() *Fleet {
	return &Fleet{ejectPercent: DefaultEjectPercent, kinds: map[string]*kindTotals{}}
}

// SetEjectPercent sets the bound of ejected workers, in percent of the workers.
func (f *Fleet) SetEjectPercent(percent int) { f.ejectPercent = percent }

// Worker is the health of one worker.
type Worker struct {
	fleet               *Fleet
	recent              [recentResults]result
	results             int  // results since the last clearResults
	failed              int  // failures in recent
	consecutiveFailures int  // failures since the last completed task
	hasCompleted        bool // has completed a task
	slowness            estimate.Slowness
	ejected             bool
	nextProbe           time.Duration // earliest time of the next probe
	probing             bool
	backoff             time.Duration
	readmittedAt        time.Duration // time of the last readmission
}

type result struct {
	kind   *kindTotals
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
	w.clearResults()
}

// clearResults removes the results of the worker, also from the totals of the
// fleet.
func (w *Worker) clearResults() {
	for i := range w.recent {
		w.dropResult(i)
	}
	w.results, w.failed = 0, 0
}

// dropResult removes the result at index i of the ring buffer, if there is one.
func (w *Worker) dropResult(i int) {
	o := w.recent[i]
	if o.kind == nil {
		return
	}
	o.kind.results--
	if o.failed {
		o.kind.failed--
		w.failed--
	}
	w.recent[i] = result{}
}

// RecordCompleted records a completed task. ratio is its run time relative to
// the median of the fleet for the kind.
func (w *Worker) RecordCompleted(now time.Duration, kind string, ratio float64) Change {
	w.slowness.Observe(ratio)
	w.consecutiveFailures, w.hasCompleted = 0, true
	if w.ejected {
		return w.recordProbe(now, true)
	}
	w.record(kind, false)
	return Unchanged
}

// RecordFailed records a failed task.
func (w *Worker) RecordFailed(now time.Duration, kind string) Change {
	if w.ejected {
		return w.recordProbe(now, false)
	}
	w.consecutiveFailures++
	w.record(kind, true)
	return w.evaluate(now)
}

// evaluate ejects the worker if it fails far more often than the other workers.
// The decision on a suspect worker can change when other workers report results.
func (w *Worker) evaluate(now time.Duration) Change {
	if w.ejected || !w.failsExcessively() && !(w.suspect() && w.othersSucceed()) || !w.fleet.mayEject() {
		return Unchanged
	}
	w.eject(now)
	return Ejected
}

// EvaluateSuspect ejects a suspect worker if enough results of other workers are
// known and they rarely fail. Call it after results of other workers.
func (w *Worker) EvaluateSuspect(now time.Duration) Change {
	if !w.suspect() {
		return Unchanged
	}
	return w.evaluate(now)
}

// Suspect reports whether the worker should get only one task at a time, because
// its last results are failures.
func (w *Worker) Suspect() bool { return !w.ejected && w.suspect() }

func (w *Worker) suspect() bool {
	return w.consecutiveFailures >= suspectFailures || w.consecutiveFailures > 0 && !w.hasCompleted
}

// othersSucceed reports whether the kinds of the worker's consecutive failures
// rarely fail on the other workers.
func (w *Worker) othersSucceed() bool {
	results, failed := 0, 0
	seen := map[*kindTotals]bool{}
	for n := 1; n <= min(w.consecutiveFailures, recentResults, w.results); n++ {
		t := w.recent[(w.results-n)%recentResults].kind
		if t == nil || seen[t] {
			continue
		}
		seen[t] = true
		r, f := w.others(t)
		results, failed = results+r, failed+f
	}
	return results >= suspectMinResults && float64(failed) <= suspectMaxFailureRate*float64(results)
}

// RecordInconclusiveProbe records that a probe ended without a result that shows
// whether the worker is healthy, so that another probe can start.
func (w *Worker) RecordInconclusiveProbe() { w.probing = false }

// record adds a result to the worker and to the totals of its kind.
func (w *Worker) record(kind string, failed bool) {
	i := w.results % recentResults
	w.dropResult(i)
	t := w.fleet.kinds[kind]
	if t == nil {
		t = &kindTotals{}
		w.fleet.kinds[kind] = t
	}
	t.results++
	if failed {
		t.failed++
		w.failed++
	}
	w.recent[i] = result{kind: t, failed: failed}
	w.results++
}

// failureRate returns the part of the recent results that are failures.
func (w *Worker) failureRate() float64 {
	return float64(w.failed) / float64(min(w.results, recentResults))
}

// failsExcessively reports whether the worker's failure rate is above
// ejectFailureRate and far above that of other workers for the same kinds.
func (w *Worker) failsExcessively() bool {
	return w.results >= minResults && w.failureRate() > ejectFailureRate && w.failsMoreThanOthers()
}

// failsMoreThanOthers reports whether the failure rate of the other workers,
// weighted by the worker's own mix of kinds, is known and below half of the
// worker's.
func (w *Worker) failsMoreThanOthers() bool {
	expected, known := 0.0, 0
	for i := range w.recent {
		t := w.recent[i].kind
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
	return known >= minResults && expected/float64(known) < w.failureRate()/2
}

// others returns the totals of a kind without the results of the worker itself.
func (w *Worker) others(t *kindTotals) (results, failed int) {
	results, failed = t.results, t.failed
	for i := range w.recent {
		if w.recent[i].kind != t {
			continue
		}
		results--
		if w.recent[i].failed {
			failed--
		}
	}
	return results, failed
}

// mayEject reports whether one more worker may be ejected. One ejected worker is
// always allowed.
func (f *Fleet) mayEject() bool {
	return f.ejected < max(1, f.workers*f.ejectPercent/100)
}
