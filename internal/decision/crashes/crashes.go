// Package crashes remembers which tasks may have been at work on worker processes that have
// crashed. A Table is the memory of an entry instance, and a Log holds the crashes that a
// process has to tell others about. Neither does I/O; each must be used by one goroutine at a
// time. Times are monotonic, since the start of the process or machine.
package crashes

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomturn/cardamomturn/internal/work"
)

// Retention is the time for which a crash is remembered. It is longer than callers wait for a
// job, including submissions that repeat it.
const Retention = 10 * time.Minute

// MaxTasks bounds the tasks that a Table remembers. The tasks of the oldest crashes are
// forgotten first.
const MaxTasks = 8192

// maxPairs bounds the pairs of a task and a crash that a Table remembers, and maxRecords the
// crashes.
const maxPairs, maxRecords = 4 * MaxTasks, MaxTasks

// ID identifies a crash by the worker process that has crashed.
type ID struct {
	// Sidecar is the instance name of the sidecar beside the worker.
	Sidecar string
	// Incarnation is the start time of the worker process in Unix milliseconds.
	Incarnation int64
}

// Record is a crash.
type Record struct {
	ID
	// At is the time of the crash.
	At time.Duration
	// Tasks were at work on the worker, and Uncertain may have been.
	Tasks, Uncertain []work.TaskID
}

// history is what is known of one task.
type history struct {
	// crashes are those under the task, and uncertain those of which it is not known whether
	// the task was at work.
	crashes, uncertain []ID
}

// Table counts the crashes under each task.
type Table struct {
	tasks map[work.TaskID]*history
	// jobs counts the tasks of each job in tasks.
	jobs map[string]int
	// suspects counts the tasks that were at work at each crash, by job.
	suspects map[ID]map[string]int
	// records holds the added records, the oldest first, and pairs is the number of their tasks.
	records []Record
	pairs   int
	// hash is the exclusive or of the hashes of all crashes under all tasks.
	hash uint64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{tasks: map[work.TaskID]*history{}, jobs: map[string]int{}, suspects: map[ID]map[string]int{}}
}

// Add adds a record and returns the part of it that was not known, which is without tasks if
// all was known or the record is too old.
func (t *Table) Add(now time.Duration, r Record) Record {
	t.forget(now)
	added := Record{ID: r.ID, At: r.At}
	if now-r.At > Retention {
		return added
	}
	for _, task := range r.Tasks[:min(len(r.Tasks), MaxTasks)] {
		if h := t.historyOf(task); !slices.Contains(h.crashes, r.ID) {
			h.crashes = append(h.crashes, r.ID)
			t.hash ^= hashOf(r.ID, task, true)
			t.addSuspect(r.ID, task.Job)
			t.removeUncertain(h, r.ID, task)
			added.Tasks = append(added.Tasks, task)
		}
	}
	for _, task := range r.Uncertain[:min(len(r.Uncertain), MaxTasks)] {
		if h := t.historyOf(task); !slices.Contains(h.crashes, r.ID) && !slices.Contains(h.uncertain, r.ID) {
			h.uncertain = append(h.uncertain, r.ID)
			t.hash ^= hashOf(r.ID, task, false)
			added.Uncertain = append(added.Uncertain, task)
		}
	}
	if added.NumTasks() > 0 {
		t.records = append(t.records, added)
		t.pairs += added.NumTasks()
	}
	return added
}

// historyOf returns the history of a task, a new one if none is known. The caller adds a crash
// to a new one.
func (t *Table) historyOf(task work.TaskID) *history {
	h := t.tasks[task]
	if h == nil {
		h = &history{}
		t.tasks[task] = h
		t.jobs[task.Job]++
	}
	return h
}

// forget removes the records that are older than Retention, and the oldest ones while there
// are more than MaxTasks tasks.
func (t *Table) forget(now time.Duration) {
	for len(t.records) > 0 && (now-t.records[0].At > Retention || len(t.tasks) > MaxTasks || t.pairs > maxPairs || len(t.records) > maxRecords) {
		oldest := t.records[0]
		t.records = t.records[1:]
		t.pairs -= oldest.NumTasks()
		for _, task := range slices.Concat(oldest.Tasks, oldest.Uncertain) {
			t.remove(oldest.ID, task)
		}
	}
}

func (t *Table) remove(id ID, task work.TaskID) {
	h := t.tasks[task]
	if h == nil {
		return
	}
	t.removeUncertain(h, id, task)
	if i := slices.Index(h.crashes, id); i >= 0 {
		h.crashes = slices.Delete(h.crashes, i, i+1)
		t.hash ^= hashOf(id, task, true)
		t.removeSuspect(id, task.Job)
	}
	if len(h.crashes)+len(h.uncertain) > 0 {
		return
	}
	delete(t.tasks, task)
	if t.jobs[task.Job]--; t.jobs[task.Job] <= 0 {
		delete(t.jobs, task.Job)
	}
}

func (t *Table) removeUncertain(h *history, id ID, task work.TaskID) {
	if i := slices.Index(h.uncertain, id); i >= 0 {
		h.uncertain = slices.Delete(h.uncertain, i, i+1)
		t.hash ^= hashOf(id, task, false)
	}
}

func (t *Table) addSuspect(id ID, job string) {
	if t.suspects[id] == nil {
		t.suspects[id] = map[string]int{}
	}
	t.suspects[id][job]++
}

func (t *Table) removeSuspect(id ID, job string) {
	jobs := t.suspects[id]
	if jobs[job]--; jobs[job] <= 0 {
		delete(jobs, job)
	}
	if len(jobs) == 0 {
		delete(t.suspects, id)
	}
}

// OnlySuspect reports whether there are two crashes under a task at which no other job was at
// work both times.
func (t *Table) OnlySuspect(task work.TaskID) bool {
	h := t.tasks[task]
	if h == nil {
		return false
	}
	for i, a := range h.crashes {
		for _, b := range h.crashes[:i] {
			if t.onlyCommon(a, b) {
				return true
			}
		}
	}
	return false
}

// onlyCommon reports whether only one job was at work at both of two crashes.
func (t *Table) onlyCommon(a, b ID) bool {
	common := 0
	for job := range t.suspects[a] {
		if t.suspects[b][job] > 0 {
			common++
		}
	}
	return common == 1
}

// CrashesUnder returns the crashes under a task. The caller must not change them.
func (t *Table) CrashesUnder(task work.TaskID) []ID {
	if h := t.tasks[task]; h != nil {
		return h.crashes
	}
	return nil
}

// hashOf returns the hash of a crash under a task.
func hashOf(id ID, task work.TaskID, started bool) uint64 {
	return xxhash.Sum64String(fmt.Sprint(id.Sidecar, "\x00", id.Incarnation, "\x00", task.Job, "\x00", task.Step, " ", task.Index, " ", started))
}

// Hash returns a hash of all that is remembered. Tables that remember the same have the same
// hash, whatever the order of their records.
func (t *Table) Hash() uint64 { return t.hash }

// Count returns the number of crashes under a task, and that of further crashes of which it is
// not known whether the task was at work.
func (t *Table) Count(task work.TaskID) (crashes, uncertain int) {
	if h := t.tasks[task]; h != nil {
		return len(h.crashes), len(h.uncertain)
	}
	return 0, 0
}

// KnowsJob reports whether any task of a job may have been at work during a crash.
func (t *Table) KnowsJob(job string) bool { return t.jobs[job] > 0 }

// Records returns the remembered records, the oldest first. The caller must not change them.
func (t *Table) Records() []Record { return t.records }

// Len returns the number of remembered tasks.
func (t *Table) Len() int { return len(t.tasks) }
