package slots

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// taskRecord is the ledger record of one started task.
type taskRecord struct {
	task  wire.TaskKey
	owner ident.Process
	// class is nil after the end of the task.
	class      *class
	slotNumber uint64
	// jobTasks is the number of tasks of the job.
	jobTasks int
	state    jobapi.TaskState
	// result is nil while the task runs, and again once a result with a body has
	// been dropped.
	result  *wire.TaskResult
	endedAt time.Duration
	// next and prev link the records of one submission, the newest first.
	next, prev *taskRecord
}

// ledger records the started tasks. Each operation on one task takes constant
// time.
type ledger struct {
	tasks map[wire.TaskKey]*taskRecord
	// bySubmission holds the newest record of each submission, which is the first
	// of its list.
	bySubmission map[string]*taskRecord
	// endedRecords holds the records of ended tasks, oldest first. The records
	// before index firstEnded have been removed from the ledger. The results with a
	// body before index firstWithBody have been dropped.
	endedRecords  []*taskRecord
	firstEnded    int
	firstWithBody int
	bodyBytes     int64
	maxBodyBytes  int64
}

func newLedger(maxBodyBytes int64) ledger {
	return ledger{tasks: map[wire.TaskKey]*taskRecord{}, bySubmission: map[string]*taskRecord{}, maxBodyBytes: maxBodyBytes}
}

// recordStart adds a record for a task that starts now.
func (l *ledger) recordStart(s wire.Start, owner ident.Process, cl *class, slotNumber uint64) {
	task := s.Task
	first := l.bySubmission[task.Submission]
	if first != nil {
		// All records of a submission share one copy of its ID.
		task.Submission = first.task.Submission
	}
	r := &taskRecord{task: task, owner: owner, class: cl, slotNumber: slotNumber, jobTasks: s.JobTasks, state: jobapi.TaskRunning, next: first}
	if first != nil {
		first.prev = r
	}
	l.bySubmission[task.Submission] = r
	l.tasks[task] = r
}

// recordEnd records the result of a task. It removes the record of a task that did
// not run. If the bodies exceed maxBodyBytes, it drops the oldest results with a
// body.
func (l *ledger) recordEnd(now time.Duration, r *taskRecord, result wire.TaskResult) {
	result.Task = r.task
	r.state = result.State
	r.class = nil
	if result.State == jobapi.TaskNotRun {
		l.remove(r)
		return
	}
	r.result = &result
	r.endedAt = now
	l.endedRecords = append(l.endedRecords, r)
	l.bodyBytes += int64(len(result.Body))
	for l.bodyBytes > l.maxBodyBytes && l.firstWithBody < len(l.endedRecords) {
		l.dropResultWithBody(l.endedRecords[l.firstWithBody])
		l.firstWithBody++
	}
}

// dropResultWithBody drops the result of a record if it has a body. The record keeps
// the state of the task.
func (l *ledger) dropResultWithBody(r *taskRecord) {
	if r.result != nil && len(r.result.Body) > 0 {
		l.bodyBytes -= int64(len(r.result.Body))
		r.result = nil
	}
}

// expire removes the records of tasks that ended before the given time.
func (l *ledger) expire(before time.Duration) {
	for l.firstEnded < len(l.endedRecords) && l.endedRecords[l.firstEnded].endedAt < before {
		r := l.endedRecords[l.firstEnded]
		l.dropResultWithBody(r)
		l.remove(r)
		l.endedRecords[l.firstEnded] = nil
		l.firstEnded++
	}
	l.firstWithBody = max(l.firstWithBody, l.firstEnded)
	if l.firstEnded > 1024 && l.firstEnded > len(l.endedRecords)/2 {
		n := copy(l.endedRecords, l.endedRecords[l.firstEnded:])
		clear(l.endedRecords[n:])
		l.endedRecords = l.endedRecords[:n]
		l.firstWithBody -= l.firstEnded
		l.firstEnded = 0
	}
}

func (l *ledger) remove(r *taskRecord) {
	delete(l.tasks, r.task)
	if r.next != nil {
		r.next.prev = r.prev
	}
	switch {
	case r.prev != nil:
		r.prev.next = r.next
	case r.next != nil:
		l.bySubmission[r.task.Submission] = r.next
	default:
		delete(l.bySubmission, r.task.Submission)
	}
}

// entryOf returns the ledger entry of a task. Its state is notRun if the ledger has
// no record of the task.
func (l *ledger) entryOf(task wire.TaskKey) wire.LedgerEntry {
	r := l.tasks[task]
	if r == nil {
		return wire.LedgerEntry{Task: task, State: jobapi.TaskNotRun}
	}
	return wire.LedgerEntry{Task: task, State: r.state, Result: r.result}
}

// jobTasks returns the number of tasks of a job, or zero if the ledger has no record
// of the submission.
func (l *ledger) jobTasks(id string) int {
	if r := l.bySubmission[id]; r != nil {
		return r.jobTasks
	}
	return 0
}

// submissionEntries returns the ledger entries of a submission.
func (l *ledger) submissionEntries(id string) []wire.LedgerEntry {
	var entries []wire.LedgerEntry
	for r := l.bySubmission[id]; r != nil; r = r.next {
		entries = append(entries, l.entryOf(r.task))
	}
	return entries
}

// LedgerTasks returns the number of tasks in the ledger.
func (m *Machine) LedgerTasks() int { return len(m.ledger.tasks) }
