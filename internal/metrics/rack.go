package metrics

import tally "github.com/uber-go/tally/v4"

// RackMetrics are the metrics of a class about the racks that its tasks prefer.
type RackMetrics struct {
	// Wait is the time for which a task waited for room on its rack.
	Wait *Histogram
	// Waits counts these waits by outcome: paid, not paid, moved on, job ended.
	Waits *Counters
	// AwayRuns counts the runs on another rack than the preferred one.
	AwayRuns tally.Counter
}

// Racks returns the metrics about racks. They are created by the first call, because most
// classes have none.
func (c *Class) Racks() *RackMetrics {
	c.racksOnce.Do(func() {
		c.racks = &RackMetrics{
			Wait: newHistogram(c.scope, "rack_wait_seconds"), Waits: newCounters(c.scope, "rack_waits_total", "outcome"),
			AwayRuns: c.scope.Counter("runs_away_total"),
		}
	})
	return c.racks
}
