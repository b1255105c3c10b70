package slots

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// record is one started task.
type record struct {
	task  wire.TaskKey
	owner ident.Process
	class *class
	slot  uint64
	// jobTasks is the number of tasks of the job.
	jobTasks int
	state    jobapi.TaskState
	// result is nil while the task runs and after its body was dropped.
	result *wire.TaskResult
	ended  time.Duration
	// next and prev link the records of one submission.
	next, prev *record
}

// ledger holds the started tasks. All operations on one task take constant
// time.
type ledger struct {
	tasks map[wire.TaskKey]*record
	// subs holds the first record of each submission.
	subs map[string]*record
	// ended holds the ended records, oldest first; those before bodies have
	// lost their bodies.
	ended  []*record
	head   int
	bodies int
	bytes  int64
	limit  int64
}

func newLedger(limit int64) ledger {
	return ledger{tasks: map[wire.TaskKey]*record{}, subs: map[string]*record{}, limit: limit}
}

func (l *ledger) start(s wire.Start, owner ident.Process, cl *class, slot uint64) {
	task := s.Task
	first := l.subs[task.Submission]
	if first != nil {
		// Shares one copy of the ID among the submission's tasks.
		task.Submission = first.task.Submission
	}
	r := &record{task: task, owner: owner, class: cl, slot: slot, jobTasks: s.JobTasks, state: jobapi.TaskRunning, next: first}
	if first != nil {
		first.prev = r
	}
	l.subs[task.Submission] = r
	l.tasks[task] = r
}

func (l *ledger) finish(now time.Duration, r *record, res wire.TaskResult) {
	res.Task = r.task
	r.state = res.State
	r.class = nil
	if res.State == jobapi.TaskNotRun {
		l.remove(r)
		return
	}
	r.result = &res
	r.ended = now
	l.ended = append(l.ended, r)
	l.bytes += int64(len(res.Body))
	for l.bytes > l.limit && l.bodies < len(l.ended) {
		l.dropBody(l.ended[l.bodies])
		l.bodies++
	}
}

// dropBody drops a result with a body; the state stays.
func (l *ledger) dropBody(r *record) {
	if r.result != nil && len(r.result.Body) > 0 {
		l.bytes -= int64(len(r.result.Body))
		r.result = nil
	}
}

// expire removes the records that ended before the given time.
func (l *ledger) expire(before time.Duration) {
	for l.head < len(l.ended) && l.ended[l.head].ended < before {
		r := l.ended[l.head]
		l.dropBody(r)
		l.remove(r)
		l.ended[l.head] = nil
		l.head++
	}
	l.bodies = max(l.bodies, l.head)
	if l.head > 1024 && l.head > len(l.ended)/2 {
		n := copy(l.ended, l.ended[l.head:])
		clear(l.ended[n:])
		l.ended = l.ended[:n]
		l.bodies -= l.head
		l.head = 0
	}
}

func (l *ledger) remove(r *record) {
	delete(l.tasks, r.task)
	if r.next != nil {
		r.next.prev = r.prev
	}
	switch {
	case r.prev != nil:
		r.prev.next = r.next
	case r.next != nil:
		l.subs[r.task.Submission] = r.next
	default:
		delete(l.subs, r.task.Submission)
	}
}

func (l *ledger) entry(task wire.TaskKey) wire.LedgerEntry {
	r := l.tasks[task]
	if r == nil {
		return wire.LedgerEntry{Task: task, State: jobapi.TaskNotRun}
	}
	return wire.LedgerEntry{Task: task, State: r.state, Result: r.result}
}

// jobTasks returns the number of tasks of a job, or zero.
func (l *ledger) jobTasks(id string) int {
	if r := l.subs[id]; r != nil {
		return r.jobTasks
	}
	return 0
}

func (l *ledger) submission(id string) []wire.LedgerEntry {
	var out []wire.LedgerEntry
	for r := l.subs[id]; r != nil; r = r.next {
		out = append(out, l.entry(r.task))
	}
	return out
}

// LedgerSize returns the number of started tasks in the ledger.
func (m *Machine) LedgerSize() int { return len(m.ledger.tasks) }
