package wire

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/crashes"
	"github.com/cardamomturn/cardamomturn/internal/work"
)

// CrashRecord tells that a worker process has crashed. A receiver counts it once, whoever
// sends it and however often.
type CrashRecord struct {
	// Sidecar is the instance name of the sidecar beside the worker, and Incarnation the start
	// time of the worker process in Unix milliseconds. They identify the crash.
	Sidecar     string `msgpack:"s"`
	Incarnation int64  `msgpack:"b"`
	// AgeMs is the time since the crash in milliseconds.
	AgeMs int64 `msgpack:"a,omitempty"`
	// Tasks were at work on the worker, and Uncertain may have been.
	Tasks     []work.TaskID `msgpack:"t,omitempty"`
	Uncertain []work.TaskID `msgpack:"u,omitempty"`
}

// NewCrashRecords returns the messages for a list of records.
func NewCrashRecords(now time.Duration, list []crashes.Record) []CrashRecord {
	var records []CrashRecord
	for _, r := range list {
		records = append(records, CrashRecord{Sidecar: r.Sidecar, Incarnation: r.Incarnation, AgeMs: max(now-r.At, 0).Milliseconds(), Tasks: r.Tasks, Uncertain: r.Uncertain})
	}
	return records
}

// Record returns the crash of which the message tells, at a time of the receiver's clock.
func (c *CrashRecord) Record(now time.Duration) crashes.Record {
	return crashes.Record{ID: crashes.ID{Sidecar: c.Sidecar, Incarnation: c.Incarnation}, At: now - time.Duration(c.AgeMs)*time.Millisecond, Tasks: c.Tasks, Uncertain: c.Uncertain}
}

// validateCrashes checks the values of a list of crashes. Errors satisfy errors.IsNotValid.
func validateCrashes(list []CrashRecord) error {
	if len(list) > maxCount {
		return errors.NotValidf("list of %d crashes", len(list))
	}
	for i := range list {
		c := &list[i]
		if c.Sidecar == "" || len(c.Sidecar) > maxNameBytes || c.Incarnation < 0 || !validMs(c.AgeMs) || len(c.Tasks) > maxCount || len(c.Uncertain) > maxCount {
			return errors.NotValidf("crash of process %d beside %.80q, %d ms ago, with %d and %d tasks", c.Incarnation, c.Sidecar, c.AgeMs, len(c.Tasks), len(c.Uncertain))
		}
		for _, t := range slices.Concat(c.Tasks, c.Uncertain) {
			if !validTask(t) {
				return errors.NotValidf("crash with task %+v", t)
			}
		}
	}
	return nil
}
