package occupancy

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Progress is one run at work in a look.
type Progress struct {
	Run     work.RunID
	Percent int
}

// Ended is one listed end.
type Ended struct {
	Run work.RunID
	// Outcome is Done, RunFailed or Lost.
	Outcome work.Outcome
	Reason  string
}

// Look is what the worker says of itself.
type Look struct {
	// Asked is when the question was sent. Looks are given to the machine in
	// the order in which they were asked.
	Asked   time.Duration
	Running []Progress
	Ended   []Ended
}

// Looked takes a look at the worker. Runs that the machine does not know are
// strangers: an earlier process ordered them. They are stopped, and no run
// starts before they have ended, because nobody knows what room they hold.
func (m *Machine) Looked(now time.Duration, l Look) {
	listed := make(map[work.RunID]int, len(l.Running))
	for _, p := range l.Running {
		listed[p.Run] = p.Percent
	}
	for _, e := range l.Ended {
		m.ended(now, e, listed)
	}
	for _, p := range l.Running {
		m.atWork(now, p)
	}
	m.absent(now, l.Asked, listed)
	m.looked = true
	m.admit(now)
}

func (m *Machine) ended(now time.Duration, e Ended, listed map[work.RunID]int) {
	delete(m.strangers, e.Run)
	r := m.runs[e.Run]
	if r == nil || r.phase == queued {
		return
	}
	if _, again := listed[e.Run]; again {
		return
	}
	outcome, reason := e.Outcome, e.Reason
	switch outcome {
	case work.Done:
		m.health.ended(now, r.Run.Task.Job, true)
		m.load.done(r, now)
	case work.RunFailed:
		m.health.ended(now, r.Run.Task.Job, false)
	default:
		if r.phase == stopping {
			outcome, reason = r.as, r.reason
		}
	}
	m.end(now, r, outcome, reason)
}

func (m *Machine) atWork(now time.Duration, p Progress) {
	r := m.runs[p.Run]
	if r == nil || r.phase == queued {
		if _, known := m.strangers[p.Run]; !known {
			m.strangers[p.Run] = now + m.cfg.StopEvery
			m.out = append(m.out, Stop{Run: p.Run})
		}
		return
	}
	if r.confirmed == 0 {
		r.confirmed, r.moved = now, now
	}
	if r.phase == doubtful || r.phase == starting {
		r.phase = running
	}
	if p.Percent > r.percent {
		r.percent, r.moved = p.Percent, now
	}
}

// absent ends what a look asked for after the run's last possible start does
// not list.
func (m *Machine) absent(now, asked time.Duration, listed map[work.RunID]int) {
	for _, r := range m.ordered() {
		if _, here := listed[r.Run]; here {
			continue
		}
		switch r.phase {
		case doubtful:
			// The order may still be carried out: void it.
			if asked > r.absentAfter {
				m.stop(now, r, work.NotRun, "the order was not answered")
			}
		case stopping:
			if r.stopped && !r.calling && asked > max(r.stopAck, r.absentAfter) {
				m.end(now, r, r.as, r.reason)
			}
		case running:
			// Its end was listed to nobody, or the worker forgot it.
			if asked > r.confirmed {
				m.stop(now, r, work.Lost, "the worker does not list the run")
			}
		}
	}
	for id := range m.strangers {
		if _, here := listed[id]; !here {
			delete(m.strangers, id)
		}
	}
}
