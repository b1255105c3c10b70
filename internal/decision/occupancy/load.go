package occupancy

import (
	"math"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// slownessUpdateWeight is the weight of a new run in the moving average of the
	// slowness, which is the ratio of the measured to the estimated run time.
	slownessUpdateWeight = 0.05
	// slownessHoldTime is the time without new results after which the deviation of
	// the slowness from 1 begins to decay, and slownessDecayTime the time in which
	// the deviation then falls to 1/e, about a third.
	slownessHoldTime  = time.Second
	slownessDecayTime = 2 * time.Second
	// minSlowness and maxSlowness bound the slowness of a single run.
	minSlowness, maxSlowness = 0.1, 20.0
	// suspectAfterJobs is the number of consecutive jobs with failed runs, without a
	// successful run in between, after which a worker is suspect.
	suspectAfterJobs = 4
	// suspectDuration is how long a suspect worker gets no runs.
	suspectDuration = 2500 * time.Millisecond
)

// health derives from the ends of the runs whether the worker is suspect.
//
// A worker on which every run fails or stalls always has free capacity and would
// attract more and more runs. After suspectDuration, it gets one run as a probe.
type health struct {
	// failedJobs is the number of consecutive jobs with failed runs, and
	// lastFailedJob the last of these jobs.
	failedJobs    int
	lastFailedJob string
	suspectUntil  time.Duration
}

// recordEnd records the success or failure of a run. Consecutive failed runs of one
// job count once, because the job itself may cause the failures.
func (h *health) recordEnd(now time.Duration, job string, succeeded bool) {
	if succeeded {
		h.failedJobs, h.lastFailedJob = 0, ""
		return
	}
	if job != h.lastFailedJob {
		h.lastFailedJob = job
		h.failedJobs++
	}
	if h.failedJobs >= suspectAfterJobs {
		h.suspectUntil = now + suspectDuration
	}
}

// suspect reports whether the worker is to get no runs.
func (h *health) suspect(now time.Duration) bool {
	return h.failedJobs >= suspectAfterJobs && now < h.suspectUntil
}

// probe reports whether the worker is to get a single run, which shows whether it
// has recovered.
func (h *health) probe(now time.Duration) bool {
	return h.failedJobs >= suspectAfterJobs && now >= h.suspectUntil
}

// recordStall records that a run has stalled. One stalled run makes the worker
// suspect.
func (h *health) recordStall(now time.Duration) {
	h.failedJobs = suspectAfterJobs
	h.suspectUntil = now + suspectDuration
}

// rankShareDecayTime is the time constant of the average of the capacity share of
// each rank. It is longer than a task and shorter than an overload.
const rankShareDecayTime = 1500 * time.Millisecond

// loadTracker holds the statistics that the load summary needs in addition to the
// runs.
type loadTracker struct {
	version uint64
	// slowness is the moving average of the slowness at slownessAt, the time of the
	// newest result. It is zero before the first result.
	slowness   float64
	slownessAt time.Duration
	// startedWork is the processor time of the recently started runs by rank, in
	// thousandths of a core times milliseconds. It decays exponentially with
	// rankShareDecayTime, and startedWorkAt is the time up to which it has decayed.
	startedWork   [wire.NumRanks]float64
	startedWorkAt time.Duration
}

// decayStartedWork applies the exponential decay of startedWork up to now.
func (l *loadTracker) decayStartedWork(now time.Duration) {
	if now <= l.startedWorkAt {
		return
	}
	factor := math.Exp(-float64(now-l.startedWorkAt) / float64(rankShareDecayTime))
	for rank := range l.startedWork {
		l.startedWork[rank] *= factor
	}
	l.startedWorkAt = now
}

// recordStart adds the expected processor time of a run that starts.
func (l *loadTracker) recordStart(now time.Duration, r *run) {
	l.decayStartedWork(now)
	l.startedWork[min(r.Rank, wire.NumRanks-1)] += float64(r.Need.MilliCPU*r.EstimateMs) * l.averageSlowness(now)
}

// recordDone updates the slowness from the run time of a successful run.
func (l *loadTracker) recordDone(r *run, now time.Duration) {
	if r.EstimateMs <= 0 {
		return
	}
	l.addSlowness(now, float64((now-r.startedAt).Milliseconds())/float64(r.EstimateMs))
}

// recordStopped updates the slowness from a run that is stopped after it has
// exceeded its expected run time. The whole run would have taken even longer.
func (l *loadTracker) recordStopped(r *run, now time.Duration) {
	if r.EstimateMs <= 0 || r.phase == queued {
		return
	}
	if ratio := float64((now - r.startedAt).Milliseconds()) / float64(r.EstimateMs); ratio > max(l.averageSlowness(now), 1) {
		l.addSlowness(now, ratio)
	}
}

// addSlowness adds the slowness of one run to the moving average. The average is geometric, like
// that of the estimates, so that the few runs that take many times as long as the others do not
// make the worker seem slow.
func (l *loadTracker) addSlowness(now time.Duration, ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	l.slowness = l.averageSlowness(now)
	l.slowness *= math.Pow(ratio/l.slowness, slownessUpdateWeight)
	l.slownessAt = now
}

// averageSlowness returns the moving average, which decays to 1 while there are no
// results. Otherwise a worker that was slow would get no runs and could never show
// that it has recovered.
func (l *loadTracker) averageSlowness(now time.Duration) float64 {
	if l.slowness == 0 {
		return 1
	}
	sinceHold := max(now-l.slownessAt-slownessHoldTime, 0)
	return 1 + (l.slowness-1)*math.Exp(-float64(sinceHold)/float64(slownessDecayTime))
}

// currentSlowness returns the larger of the average slowness and half the geometric mean
// of the slowness of the running runs, so that it rises before slow runs have ended. The
// slowness of a run is extrapolated from its progress. A run without progress counts
// with the ratio of its run time so far to its estimate, and only once that ratio has
// reached the average slowness. If fewer than minRuns runs count, the result is the
// average slowness.
func (m *Machine) currentSlowness(now time.Duration) float64 {
	average := m.load.averageSlowness(now)
	logs, count := 0.0, 0
	for _, r := range m.runs {
		if r.phase != running || r.EstimateMs <= 0 {
			continue
		}
		ratio := float64((now - r.startedAt).Milliseconds()) / float64(r.EstimateMs)
		if r.percent > 0 {
			ratio = ratio * 100 / float64(r.percent)
		} else if ratio < average {
			continue
		}
		logs += math.Log(min(max(ratio, minSlowness), maxSlowness))
		count++
	}
	const minRuns = 3
	if count < minRuns {
		return average
	}
	return max(average, math.Exp(logs/float64(count))/2)
}

// free returns the capacity in which further runs may start beside the active ones.
func (m *Machine) free(now time.Duration) work.Resources {
	f := m.ramp.Limit(now, m.worker.Capacity).Sub(m.used)
	return work.Resources{MilliCPU: max(f.MilliCPU, 0), MemoryMB: max(f.MemoryMB, 0), Accelerators: max(f.Accelerators, 0)}
}

// Load returns the load summary for an entry instance.
func (m *Machine) Load(now time.Duration) wire.Load {
	m.load.version++
	l := wire.Load{
		Version: m.load.version, Description: m.description, AcceptsRuns: m.AcceptsRuns(), Capacity: m.worker.Capacity,
		Free: m.free(now), RemainingWork: m.withheldWork(now), Slowness: m.currentSlowness(now),
		Suspect: m.health.suspect(now), Probe: m.health.probe(now),
	}
	// After a shrink, the excess has to end before anything else starts, as if it were queued
	// before all other runs.
	l.QueuedMilliCPU[0] = max(m.used.MilliCPU-m.worker.Capacity.MilliCPU, 0)
	m.load.decayStartedWork(now)
	if capacityWork := float64(m.worker.Capacity.MilliCPU) * float64(rankShareDecayTime.Milliseconds()); capacityWork > 0 {
		for rank, startedWork := range m.load.startedWork {
			l.RankShare[rank] = min(startedWork/capacityWork, 1)
		}
	}
	for _, r := range m.runs {
		if r.phase == queued {
			rank := min(r.Rank, wire.NumRanks-1)
			l.QueuedMilliCPU[rank] += r.Need.MilliCPU
			continue
		}
		if remainingMs := r.EstimateMs - (now - r.startedAt).Milliseconds(); remainingMs > 0 {
			l.RemainingWork += r.Need.MilliCPU * remainingMs
		}
	}
	return l
}
