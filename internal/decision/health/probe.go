package health

import "time"

// backoffResetAfter is the time after a readmission until which a new ejection
// doubles the previous backoff; later ones start again at minBackoff.
const backoffResetAfter = 60 * time.Second

// eject marks the worker as ejected and schedules its first probe.
func (w *Worker) eject(now time.Duration) {
	w.ejected = true
	w.fleet.ejected++
	if w.backoff == 0 || now-w.readmittedAt > backoffResetAfter {
		w.backoff = minBackoff
	} else {
		w.backoff = min(2*w.backoff, maxBackoff)
	}
	w.nextProbe = now + w.backoff
	w.probing = false
	w.clearResults()
}

// recordProbe handles a result of an ejected worker. It ignores results while no
// probe is running, because their tasks started before the ejection. While a
// probe is running, the caller must report only the result of the probe.
func (w *Worker) recordProbe(now time.Duration, ok bool) Change {
	if !w.probing {
		return Unchanged
	}
	w.probing = false
	if !ok {
		w.backoff = min(2*w.backoff, maxBackoff)
		w.nextProbe = now + w.backoff
		return Unchanged
	}
	w.ejected = false
	w.consecutiveFailures = 0
	w.readmittedAt = now
	w.fleet.ejected--
	return Readmitted
}

// StartProbe marks the task just given to an ejected worker as its probe. It has
// no effect on other workers.
func (w *Worker) StartProbe() {
	if w.ejected {
		w.probing = true
	}
}

// NextProbe returns the time at which an ejected worker is due for a probe. ok is
// false if the worker is not ejected or a probe is running.
func (w *Worker) NextProbe() (at time.Duration, ok bool) {
	return w.nextProbe, w.ejected && !w.probing
}

// Rank returns the rank of the worker at the given time.
func (w *Worker) Rank(now time.Duration) Rank {
	switch {
	case w.ejected && !w.probing && now >= w.nextProbe:
		return RankProbe
	case w.ejected:
		return RankEjected
	case w.suspect():
		return RankFailing
	case w.slowness.Ratio() > stragglerRatio:
		return RankStraggler
	case w.failed >= 2 && w.failureRate() > ejectFailureRate/2:
		return RankFailing
	}
	return RankHealthy
}
