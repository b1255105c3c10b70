package estimate

import (
	"math"
	"time"
)

const (
	// minCalibrationResults is the number of results, older ones discounted,
	// that Predict needs before it corrects a declared run time.
	minCalibrationResults = 30
	// forgettingFactor is the factor by which each new result reduces the weight
	// of all earlier ones.
	forgettingFactor = 0.997
	// defaultSlope is the regression slope while the declared run times vary too
	// little to compute one. The slope is the part of a declaration's deviation
	// from the mean declaration, on a logarithmic scale, that Predict applies.
	defaultSlope = 0.7
	// maxSlope is the upper bound of the slope.
	maxSlope = 1.0
)

// Calibration predicts run times from declared ones by linear regression of
// their logarithms, because the declarations of a queue have a common
// systematic factor and a random error. The prediction lies between the
// declaration, corrected by the common factor, and the mean run time. The less
// the declarations correlate with the run times, the closer it is to the mean.
// The zero value is ready for use.
type Calibration struct {
	// Number of results and sums over x = ln(declared) and y = ln(run time),
	// older results discounted.
	count, sumX, sumY, sumXX, sumXY float64
}

// Observe records the declared and the measured run time of a finished task.
func (c *Calibration) Observe(declared, runTime time.Duration) {
	x, y := math.Log(float64(max(declared, minRunTime))), math.Log(float64(max(runTime, minRunTime)))
	c.count, c.sumX, c.sumY = c.count*forgettingFactor+1, c.sumX*forgettingFactor+x, c.sumY*forgettingFactor+y
	c.sumXX, c.sumXY = c.sumXX*forgettingFactor+x*x, c.sumXY*forgettingFactor+x*y
}

// Predict returns the expected run time of a task with a declared run time. It
// returns the declaration itself until enough results are known.
func (c *Calibration) Predict(declared time.Duration) time.Duration {
	if c.count < minCalibrationResults || declared <= 0 {
		return declared
	}
	x, meanX, meanY := math.Log(float64(max(declared, minRunTime))), c.sumX/c.count, c.sumY/c.count
	slope := defaultSlope
	if variance := c.sumXX/c.count - meanX*meanX; variance > 1e-6 {
		slope = (c.sumXY/c.count - meanX*meanY) / variance
	}
	return time.Duration(math.Exp(meanY + min(max(slope, 0), maxSlope)*(x-meanX)))
}
