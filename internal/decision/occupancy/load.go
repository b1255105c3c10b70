package occupancy

import (
	"math"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// slownessWeight is the weight of a new run in the moving average of the
	// measured over the estimated run time.
	slownessWeight = 0.05
	// slownessHold is the time without new results after which a deviation begins
	// to shrink, and slownessSpan the time in which it shrinks to a third.
	slownessHold = time.Second
	slownessSpan = 2 * time.Second
	// minSlowness and maxSlowness bound what one run counts for.
	minSlowness, maxSlowness = 0.1, 20.0
	// suspectAfter is the number of jobs in a row without a run that is done
	// after which a worker is suspect.
	suspectAfter = 4
	// suspectFor is how long a suspect worker gets no ordinary work.
	suspectFor = 2500 * time.Millisecond
)

// health judges a worker by the ends of its runs.
//
// Its load is a worker that fails or stalls all that it runs: it looks free and
// would draw work without end. After suspectFor it gets one run as a probe.
type health struct {
	// bad counts the jobs in a row whose runs were not done, and job is the last.
	bad   int
	job   string
	until time.Duration
}

// ended takes the end of a run. Several failed runs of one job count once: the
// fault may be the job's.
func (h *health) ended(now time.Duration, job string, done bool) {
	if done {
		h.bad, h.job = 0, ""
		return
	}
	if job != h.job {
		h.job = job
		h.bad++
	}
	if h.bad >= suspectAfter {
		h.until = now + suspectFor
	}
}

// suspect reports whether the worker gets no work, and probe whether it gets
// one run only.
func (h *health) suspect(now time.Duration) bool { return h.bad >= suspectAfter && now < h.until }

func (h *health) probe(now time.Duration) bool { return h.bad >= suspectAfter && now >= h.until }

func (h *health) stalled(now time.Duration) {
	h.bad = suspectAfter
	h.until = now + suspectFor
}

// shareSpan is the time over which the share of a rank in the capacity is
// averaged: long against a task, short against an overload.
const shareSpan = 1500 * time.Millisecond

// loadCounter keeps what the summary needs beside the runs.
type loadCounter struct {
	version uint64
	// slowness is the moving average, zero before the first result, and learned
	// the time of the newest result.
	slowness float64
	learned  time.Duration
	// started is the work of the runs started of late by rank, in thousandths of
	// a core times milliseconds, decaying over shareSpan; at is its time.
	started [wire.NumRanks]float64
	at      time.Duration
}

// decay ages the work of the started runs.
func (l *loadCounter) decay(now time.Duration) {
	if now <= l.at {
		return
	}
	keep := math.Exp(-float64(now-l.at) / float64(shareSpan))
	for k := range l.started {
		l.started[k] *= keep
	}
	l.at = now
}

// start counts the work of a run that starts.
func (l *loadCounter) start(now time.Duration, r *run) {
	l.decay(now)
	l.started[min(r.Rank, wire.NumRanks-1)] += float64(r.Need.MilliCPU*r.EstimateMs) * l.usual(now)
}

// done learns from the time of a run that is done.
func (l *loadCounter) done(r *run, now time.Duration) {
	if r.EstimateMs <= 0 {
		return
	}
	l.learn(now, float64((now-r.started).Milliseconds())/float64(r.EstimateMs))
}

// dropped learns from a run that was stopped late: it would have taken longer.
func (l *loadCounter) dropped(r *run, now time.Duration) {
	if r.EstimateMs <= 0 || r.phase == queued {
		return
	}
	if ratio := float64((now - r.started).Milliseconds()) / float64(r.EstimateMs); ratio > max(l.usual(now), 1) {
		l.learn(now, ratio)
	}
}

func (l *loadCounter) learn(now time.Duration, ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	l.slowness = l.usual(now)
	l.slowness += slownessWeight * (ratio - l.slowness)
	l.learned = now
}

// usual returns the average, which returns to 1 without results: a worker that
// was slow gets no work and would never be seen to have recovered.
func (l *loadCounter) usual(now time.Duration) float64 {
	if l.slowness == 0 {
		return 1
	}
	idle := max(now-l.learned-slownessHold, 0)
	return 1 + (l.slowness-1)*math.Exp(-float64(idle)/float64(slownessSpan))
}

// slownessNow includes the runs at work whose progress shows that they take
// longer than the average says.
func (m *Machine) slownessNow(now time.Duration) float64 {
	usual := m.load.usual(now)
	sum, n := 0.0, 0
	for _, r := range m.runs {
		if r.phase != running || r.EstimateMs <= 0 {
			continue
		}
		ratio := float64((now - r.started).Milliseconds()) / float64(r.EstimateMs)
		if r.percent > 0 {
			ratio = ratio * 100 / float64(r.percent)
		} else if ratio < usual {
			continue
		}
		sum += min(max(ratio, minSlowness), maxSlowness)
		n++
	}
	const enough = 3
	if n < enough {
		return usual
	}
	return max(usual, sum/float64(n)/2)
}

// Load returns the summary for an entry instance.
func (m *Machine) Load(now time.Duration) wire.Load {
	m.load.version++
	l := wire.Load{
		Version: m.load.version, AcceptsRuns: m.Ready(), Capacity: m.worker.Capacity,
		Free: m.worker.Capacity.Sub(m.used), Slowness: m.slownessNow(now),
		Suspect: m.health.suspect(now), Probe: m.health.probe(now),
	}
	l.Free = work.Resources{MilliCPU: max(l.Free.MilliCPU, 0), MemoryMB: max(l.Free.MemoryMB, 0), Accelerators: max(l.Free.Accelerators, 0)}
	m.load.decay(now)
	if c := float64(m.worker.Capacity.MilliCPU) * float64(shareSpan.Milliseconds()); c > 0 {
		for k, work := range m.load.started {
			l.RankShare[k] = min(work/c, 1)
		}
	}
	for _, r := range m.runs {
		if r.phase == queued {
			rank := min(r.Rank, wire.NumRanks-1)
			l.QueuedMilliCPU[rank] += r.Need.MilliCPU
			continue
		}
		if rest := r.EstimateMs - (now - r.started).Milliseconds(); rest > 0 {
			l.RemainingWork += r.Need.MilliCPU * rest
		}
	}
	return l
}
