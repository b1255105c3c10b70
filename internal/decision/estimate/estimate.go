// Package estimate predicts the run times of tasks per kind from recent results,
// with the declared run time as a prior.
package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// recentResults is the number of recent results kept per kind.
	recentResults = 128
	// priorResults is the weight of the declared run time, as a number of
	// results.
	priorResults = 20
	// maxDeclaredFactor is the maximum factor between a declared run time and
	// the measured median once priorResults results are known. A declaration
	// beyond it is clamped.
	maxDeclaredFactor = 8
	// defaultRunTime is the estimate for a kind without declaration and results.
	defaultRunTime = 500 * time.Millisecond
	// minRunTime is the lower bound of run times, so that ratios and logarithms
	// stay finite.
	minRunTime = 100 * time.Microsecond
)

// Estimator holds the run time estimates of all kinds.
type Estimator struct {
	kinds map[string]*Kind
}

// New returns an Estimator without results.
func New() *Estimator { return &Estimator{kinds: map[string]*Kind{}} }

// Kind returns the estimate of the named kind and creates it if it is new.
func (e *Estimator) Kind(name string) *Kind {
	k := e.kinds[name]
	if k == nil {
		k = &Kind{declared: defaultRunTime}
		e.kinds[name] = k
	}
	return k
}

// Kind estimates the run time of one kind.
type Kind struct {
	declared time.Duration
	observed int64
	recent   [recentResults]time.Duration // ring buffer in order of arrival
	sorted   []time.Duration              // the same results in ascending order
}

// SetDeclared sets the declared run time of the kind; zero or less selects the
// default.
func (k *Kind) SetDeclared(runTime time.Duration) {
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	k.declared = runTime
}

// Observe records the run time of a completed task.
func (k *Kind) Observe(runTime time.Duration) {
	runTime = max(runTime, minRunTime)
	if k.sorted == nil {
		k.sorted = make([]time.Duration, 0, recentResults)
	}
	index := k.observed % recentResults
	if k.observed >= recentResults {
		i, _ := slices.BinarySearch(k.sorted, k.recent[index])
		k.sorted = slices.Delete(k.sorted, i, i+1)
	}
	i, _ := slices.BinarySearch(k.sorted, runTime)
	k.sorted = slices.Insert(k.sorted, i, runTime)
	k.recent[index] = runTime
	k.observed++
}

// P50 returns the estimated median run time.
func (k *Kind) P50() time.Duration { return k.blend(k.declared, 0.5) }

// P90 returns the estimated 90th percentile of the run time.
func (k *Kind) P90() time.Duration { return k.blend(k.declared, 0.9) }

// TaskP50 returns the estimated median run time of a task that declares its own
// run time; zero or less selects the declaration of the kind.
func (k *Kind) TaskP50(declared time.Duration) time.Duration {
	if declared <= 0 {
		return k.P50()
	}
	return k.blend(declared, 0.5)
}

// blend returns the weighted geometric mean of the declared run time, which
// counts as priorResults results, and the measured quantile. The declared run
// time is first clamped to the neighborhood of the measured median, because some
// declarations are wrong by orders of magnitude.
func (k *Kind) blend(declared time.Duration, quantile float64) time.Duration {
	if k.observed == 0 {
		return max(declared, minRunTime)
	}
	if k.observed >= priorResults {
		median := k.measuredQuantile(0.5)
		declared = min(max(declared, median/maxDeclaredFactor), median*maxDeclaredFactor)
	}
	measured := k.measuredQuantile(quantile)
	if declared == measured {
		return measured
	}
	weight := priorResults / float64(priorResults+k.observed)
	ratio := float64(max(declared, minRunTime)) / float64(measured)
	return time.Duration(float64(measured) * math.Pow(ratio, weight))
}

// measuredQuantile returns a quantile of the recent results. There must be at
// least one result.
func (k *Kind) measuredQuantile(quantile float64) time.Duration {
	return k.sorted[int(quantile*float64(len(k.sorted)-1)+0.5)]
}

// RatioToMedian returns the run time of a result divided by the measured median
// of the kind, or 1 if too few results are known.
func (k *Kind) RatioToMedian(runTime time.Duration) float64 {
	if k.observed < priorResults {
		return 1
	}
	return float64(max(runTime, minRunTime)) / float64(k.measuredQuantile(0.5))
}
