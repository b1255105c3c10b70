package broker

import (
	"github.com/cardamomturn/cardamomturn/internal/decision/placement"
	"github.com/cardamomturn/cardamomturn/internal/event"
)

// recordWait logs and counts the end of a wait for room on a rack; mu is held.
func (b *Broker) recordWait(w placement.WaitEnded) {
	event.LogRateLimited(event.RackWaitEnded, "job", w.Task.Job, "step", w.Task.Step, "task", w.Task.Index, "queue", w.Queue, "rack", w.Rack,
		"outcome", string(w.Outcome), "waitedMs", w.Waited.Milliseconds(), "gainedMs", w.Gain.Milliseconds())
	if b.metrics != nil {
		racks := b.metrics.Class(w.Queue, "").Racks()
		racks.Wait.Record(w.Waited)
		racks.Waits.Add(string(w.Outcome), 1)
	}
}

// recordAwayRuns counts the runs of an answered job on other racks than the preferred ones; mu
// is held.
func (b *Broker) recordAwayRuns(stats *placement.JobStats) {
	if b.metrics != nil && stats.AwayRuns > 0 {
		b.metrics.Class(stats.Queue, "").Racks().AwayRuns.Inc(int64(stats.AwayRuns))
	}
}
