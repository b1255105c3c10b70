package estimate

import "math"

const (
	// smoothingFactor is the weight of the newest result in the moving average.
	smoothingFactor = 0.2
	// maxLogRatio limits the ratio of a single result to a factor of 10. It is
	// the natural logarithm of that factor.
	maxLogRatio = 2.302585
	// minSlownessResults is the number of results below which Ratio returns 1.
	minSlownessResults = 5
)

// Slowness is the exponential moving average of one worker's run times relative
// to the medians of the kinds over all workers. The zero value has no results.
type Slowness struct {
	results  int
	logRatio float64
}

// Observe records the ratio of one result as Kind.RatioToMedian returns it.
func (s *Slowness) Observe(ratio float64) {
	logRatio := min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
	s.results++
	gain := max(smoothingFactor, 1/float64(s.results))
	s.logRatio += gain * (logRatio - s.logRatio)
}

// Ratio returns the smoothed ratio, which is above 1 for a slow worker. It
// returns 1 if too few results are known.
func (s *Slowness) Ratio() float64 {
	if s.results < minSlownessResults {
		return 1
	}
	return math.Exp(s.logRatio)
}
