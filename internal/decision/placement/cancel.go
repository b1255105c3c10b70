package placement

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

const (
	// cancellationRetention is the time for which a canceled job is remembered. It is longer than a
	// submission of the job is on its way, also if its caller repeats it.
	cancellationRetention = time.Minute
	// maxCancellations bounds the canceled jobs that are remembered. The oldest are forgotten.
	maxCancellations = 1 << 14
)

// cancellations remembers canceled jobs, so that a later or delayed submission of one starts nothing.
type cancellations struct {
	at    map[string]time.Duration
	order []string // by time
}

// add remembers a canceled job.
func (c *cancellations) add(now time.Duration, id string) {
	if _, known := c.at[id]; known {
		return
	}
	for len(c.order) > 0 && (len(c.order) >= maxCancellations || now-c.at[c.order[0]] > cancellationRetention) {
		delete(c.at, c.order[0])
		c.order = c.order[1:]
	}
	if c.at == nil {
		c.at = map[string]time.Duration{}
	}
	c.at[id] = now
	c.order = append(c.order, id)
}

// contains reports whether a job has been canceled within cancellationRetention.
func (c *cancellations) contains(now time.Duration, id string) bool {
	at, known := c.at[id]
	return known && now-at <= cancellationRetention
}

// Cancel cancels a job: its open runs are stopped, and later submissions of it start nothing. It
// reports whether the job had no answer yet.
func (m *Machine) Cancel(now time.Duration, id string) (known bool) {
	m.canceled.add(now, id)
	j := m.jobs[id]
	if j == nil || j.answered {
		return false
	}
	m.answer(now, j, work.Answer{State: work.Canceled, Reason: work.ReasonCanceled})
	return true
}
