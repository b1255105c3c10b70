package dispatch

import "maps"

// Stats returns the counters of all classes, in the order of their first use;
// refusals of unknown teams and kinds are under the empty class.
func (m *Machine) Stats() []ClassStats {
	out := make([]ClassStats, 0, len(m.stats)+1)
	for _, c := range m.stats {
		s := c.count.stats()
		s.Class, s.Queued, s.Running = c.key, c.queue.Waiting(), c.queue.Running()
		out = append(out, s)
	}
	if len(m.unknown.refused) > 0 {
		out = append(out, m.unknown.stats())
	}
	return out
}

func (c *counters) stats() ClassStats {
	return ClassStats{Starts: c.starts, Completed: c.completed, Failed: c.failed, Refused: maps.Clone(c.refused)}
}

// Waste returns the counts of wasted messages.
func (m *Machine) Waste() Waste { return m.waste }

// Credits returns the number of unspent credits held.
func (m *Machine) Credits() int {
	n := 0
	for _, w := range m.workers {
		n += len(w.credits)
	}
	return n
}

// Unanswered returns the number of jobs without a final answer.
func (m *Machine) Unanswered() int { return len(m.deadlines) }
