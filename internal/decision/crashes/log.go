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

// After returns the records with higher numbers than the given one that are not older than
// Retention, and the number of the newest record.
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
	return list, l.newest
}
