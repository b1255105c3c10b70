package dispatch

import "maps"

// Stats returns the counters of all classes in the order of their first use. The
// refusals of jobs of unknown teams and kinds are counted under the empty class.
func (m *Machine) Stats() []ClassStats {
	out := make([]ClassStats, 0, len(m.allClasses)+1)
	for _, c := range m.allClasses {
		s := c.counters.stats()
		s.Class, s.Queued, s.Running = c.key, c.queue.Waiting(), c.queue.Running()
		out = append(out, s)
	}
	if len(m.unknownClass.refused) > 0 {
		out = append(out, m.unknownClass.stats())
	}
	return out
}

func (c *counters) stats() ClassStats {
	return ClassStats{Starts: c.starts, Completed: c.completed, Failed: c.failed, Refused: maps.Clone(c.refused)}
}

// Waste returns the counts of messages that led to no start or result of a task.
func (m *Machine) Waste() Waste { return m.waste }

// Credits returns the number of unspent credits of all sidecars.
func (m *Machine) Credits() int {
	n := 0
	for _, w := range m.workers {
		n += len(w.credits)
	}
	return n
}

// Unanswered returns the number of admitted jobs without a final answer.
func (m *Machine) Unanswered() int { return len(m.deadlines) }
