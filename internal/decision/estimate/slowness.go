package estimate

import "math"

const (
	// speedGain is the weight of the newest result in a worker's ratio.
	speedGain = 0.2
	// maxLogRatio bounds the effect of a single result, as a natural
	// logarithm: a factor of 10.
	maxLogRatio = 2.302585
	// minSpeedResults is the number of results below which no ratio is given.
	minSpeedResults = 5
)

// Speed is the run time ratio of one worker to the fleet. The zero value knows
// no results.
type Speed struct {
	results int
	log     float64
}

// Observe records the ratio of one result as Kind.Ratio returns it.
func (s *Speed) Observe(ratio float64) {
	l := min(max(math.Log(ratio), -maxLogRatio), maxLogRatio)
	s.results++
	gain := max(speedGain, 1/float64(s.results))
	s.log += gain * (l - s.log)
}

// Ratio returns the smoothed ratio, above 1 for a slow worker; 1 if too few
// results are known.
func (s *Speed) Ratio() float64 {
	if s.results < minSpeedResults {
		return 1
	}
	return math.Exp(s.log)
}
