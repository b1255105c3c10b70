// Package estimate predicts run times per kind from recent results, with the
// declared run time as a prior.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the number of recent results per kind.
	window = 128
	// priorResults is the number of results that the declared run time is
	// worth.
	priorResults = 20
	// maxFactor bounds how far a declared run time may be from the measured
	// median, as a factor, once priorResults results are known.
	maxFactor = 8
	// defaultRun is the run time of a kind without declaration and results.
	defaultRun = 500 * time.Millisecond
	// minRun is the shortest run time that counts, so that ratios stay finite.
	minRun = 100 * time.Microsecond
)

// Estimator holds the run times of all kinds.
type Estimator struct {
	kinds map[string]*Kind
}

// New returns an Estimator without results.
func New() *Estimator { return &Estimator{kinds: map[string]*Kind{}} }

// Kind returns the estimate of a kind, a new one if it is unknown.
func (e *Estimator) Kind(name string) *Kind {
	k := e.kinds[name]
	if k == nil {
		k = &Kind{declared: defaultRun}
		e.kinds[name] = k
	}
	return k
}

// Kind estimates the run time of one kind.
type Kind struct {
	declared time.Duration
	total    int64
	ring     [window]time.Duration // in order of arrival
	sorted   []time.Duration       // the same by size
}

// Declare sets the declared run time; zero or less selects the default.
func (k *Kind) Declare(run time.Duration) {
	if run <= 0 {
		run = defaultRun
	}
	k.declared = run
}

// Observe records the run time of a completed task.
func (k *Kind) Observe(run time.Duration) {
	run = max(run, minRun)
	if k.sorted == nil {
		k.sorted = make([]time.Duration, 0, window)
	}
	at := k.total % window
	if k.total >= window {
		i, _ := slices.BinarySearch(k.sorted, k.ring[at])
		k.sorted = slices.Delete(k.sorted, i, i+1)
	}
	i, _ := slices.BinarySearch(k.sorted, run)
	k.sorted = slices.Insert(k.sorted, i, run)
	k.ring[at] = run
	k.total++
}

// P50 returns the estimated median run time.
func (k *Kind) P50() time.Duration { return k.blend(k.declared, 0.5) }

// P90 returns the estimated 90% quantile of the run time.
func (k *Kind) P90() time.Duration { return k.blend(k.declared, 0.9) }

// Task returns the estimated run time of a task that declares its own; zero
// or less selects that of the kind.
func (k *Kind) Task(declared time.Duration) time.Duration {
	if declared <= 0 {
		return k.P50()
	}
	return k.blend(declared, 0.5)
}

// blend returns the geometric mean of the declared run time, which counts as
// priorResults results, and the measured quantile. The declared one is first
// brought near the measured median, because some declarations are wrong by
// orders of magnitude.
func (k *Kind) blend(declared time.Duration, quantile float64) time.Duration {
	if k.total == 0 {
		return max(declared, minRun)
	}
	if k.total >= priorResults {
		median := k.measured(0.5)
		declared = min(max(declared, median/maxFactor), median*maxFactor)
	}
	measured := k.measured(quantile)
	if declared == measured {
		return measured
	}
	weight := priorResults / float64(priorResults+k.total)
	ratio := float64(max(declared, minRun)) / float64(measured)
	return time.Duration(float64(measured) * math.Pow(ratio, weight))
}

// measured returns a quantile of the recent results, of which there is one.
func (k *Kind) measured(quantile float64) time.Duration {
	return k.sorted[int(quantile*float64(len(k.sorted)-1)+0.5)]
}

// Ratio returns the run time of a result relative to the measured median of
// its kind, 1 if too few results are known.
func (k *Kind) Ratio(run time.Duration) float64 {
	if k.total < priorResults {
		return 1
	}
	return float64(max(run, minRun)) / float64(k.measured(0.5))
}
