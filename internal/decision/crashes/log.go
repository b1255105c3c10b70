package crashes

import "time"

// maxLogRecords bounds the records of a Log.
const maxLogRecords = 64

// Log numbers the crashes of one process, so that each receiver gets those that it has not
// confirmed yet.
type Log struct {
	records []Record
	// newest is the number of the last record. Numbers begin at 1.
	newest uint64
}

// Add adds a record, and removes the oldest one of a full Log.
func (l *Log) Add(r Record) {
	l.newest++
	l.records = append(l.records, r)
	l.records = l.records[max(0, len(l.records)-maxLogRecords):]
}

// MaxTasksInMessage bounds the tasks of the crashes in one message between processes, so that the
// message is never too large to be sent. A record has no more of them.
const MaxTasksInMessage = 2000

// NumTasks returns the number of tasks in a record.
func (r *Record) NumTasks() int { return len(r.Tasks) + len(r.Uncertain) }

// Split returns records of the same crash with at most MaxTasksInMessage tasks each.
func (r *Record) Split() []Record {
	var parts []Record
	for tasks, uncertain := r.Tasks, r.Uncertain; len(tasks)+len(uncertain) > 0; {
		n := min(len(tasks), MaxTasksInMessage)
		u := min(len(uncertain), MaxTasksInMessage-n)
		parts = append(parts, Record{ID: r.ID, At: r.At, Tasks: tasks[:n:n], Uncertain: uncertain[:u:u]})
		tasks, uncertain = tasks[n:], uncertain[u:]
	}
	return parts
}

// Newest returns the newest records of a list that have at most MaxTasksInMessage tasks together.
// The list has the oldest first.
func Newest(list []Record) []Record {
	tasks := 0
	for i := len(list) - 1; i >= 0; i-- {
		if tasks += list[i].NumTasks(); tasks > MaxTasksInMessage {
			return list[i+1:]
		}
	}
	return list
}

// After returns the first records with higher numbers than the given one that are not older than
// Retention and fit into one message, and the number up to which they and the older ones go.
func (l *Log) After(now time.Duration, number uint64) ([]Record, uint64) {
	first := l.newest - uint64(len(l.records)) // number of the record before the first
	skipped := uint64(0)
	if number > first {
		skipped = min(number-first, uint64(len(l.records)))
	}
	list := l.records[skipped:]
	for len(list) > 0 && now-list[0].At > Retention {
		list = list[1:]
	}
	tasks := 0
	for i := range list {
		if tasks += list[i].NumTasks(); i > 0 && tasks > MaxTasksInMessage {
			return list[:i], l.newest - uint64(len(list)-i)
		}
	}
	return list, l.newest
}
