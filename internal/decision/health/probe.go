package health

import "time"

// backoffMemory is how long after a readmission the backoff goes on doubling.
const backoffMemory = 60 * time.Second

func (w *Worker) eject(now time.Duration) {
	w.ejected = true
	w.fleet.ejected++
	if w.backoff == 0 || now-w.readmit > backoffMemory {
		w.backoff = firstBackoff
	} else {
		w.backoff = min(2*w.backoff, maxBackoff)
	}
	w.until = now + w.backoff
	w.probing = false
	w.clear()
}

// probed handles a result of an ejected worker. Tasks that started before the
// ejection don't count unless they fail, which prolongs nothing.
func (w *Worker) probed(now time.Duration, ok bool) Change {
	if !w.probing {
		return Unchanged
	}
	w.probing = false
	if !ok {
		w.backoff = min(2*w.backoff, maxBackoff)
		w.until = now + w.backoff
		return Unchanged
	}
	w.ejected = false
	w.streak = 0
	w.readmit = now
	w.fleet.ejected--
	return Readmitted
}

// Probe marks that the task just given to an ejected worker is its probe.
func (w *Worker) Probe() {
	if w.ejected {
		w.probing = true
	}
}

// Until returns when an ejected worker is due for a probe; ok is false if the
// worker is not ejected or a probe runs.
func (w *Worker) Until() (at time.Duration, ok bool) {
	return w.until, w.ejected && !w.probing
}

// Rank returns the worker's rank.
func (w *Worker) Rank(now time.Duration) Rank {
	switch {
	case w.ejected && !w.probing && now >= w.until:
		return RankProbe
	case w.ejected:
		return RankEjected
	case w.suspect():
		return RankFailing
	case w.speed.Ratio() > stragglerRatio:
		return RankStraggler
	case w.failed >= 2 && w.share() > ejectShare/2:
		return RankFailing
	}
	return RankHealthy
}
