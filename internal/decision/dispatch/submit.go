package dispatch

import (
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/admission"
	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Submit admits or refuses a job, or joins the one that has the ID. A refusal
// is final: the same ID is refused again for as long as it is accepted at all,
// because NotRun would be false otherwise. The machine keeps the payloads, not
// the request.
func (m *Machine) Submit(now time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer {
	m.now = now
	hash := hashRequest(req)
	if j := m.jobs[id]; j != nil {
		if j.class != nil && j.hash != hash {
			return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, Reason: jobapi.ReasonSubmissionConflict,
				Message: "the submission ID is in use with another request"}
		}
		return j.view()
	}
	parsed, answer, ok := m.check(id)
	if !ok {
		return answer
	}
	if reason, again := m.memory.refused(parsed.Window, id); again {
		return refusal(id, admission.Refusal{Reason: reason, Message: "this submission was refused before; use a new ID"})
	}
	key := wire.Class{Team: req.Team, Kind: req.Kind}
	c := m.class(key)
	tasks, work := m.newTasks(c, req)
	if r := m.admit(c, key, req, tasks, work); r.Reason != "" {
		m.memory.refuse(parsed.Window, id, r.Reason)
		m.countRefusal(c, r.Reason)
		return refusal(id, r)
	}
	j := &job{id: id, window: parsed.Window, hash: hash, class: c, tasks: tasks, at: now,
		deadline: now + c.deadline(req.DeadlineMs)}
	m.enqueue(j)
	return j.view()
}

// check parses an ID and reports whether it is accepted for a new job.
func (m *Machine) check(id string) (ident.SubmissionID, jobapi.JobAnswer, bool) {
	no := jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused}
	parsed, err := ident.ParseSubmissionID(id)
	if err != nil || parsed.Owner != m.cfg.Self || parsed.Window > m.window {
		no.Reason, no.Message = jobapi.ReasonOwnerUnreachable, "the submission ID was not issued by this entry incarnation"
		return parsed, no, false
	}
	age := m.window - parsed.Window
	if age <= m.cfg.AcceptWindows {
		return parsed, no, true
	}
	no.Reason, no.Message = jobapi.ReasonSubmissionExpired, "the submission ID is too old for a new job"
	if age <= m.cfg.RetainWindows {
		no.NotRun, no.SafeToResubmit = true, true // it would be known had it been accepted
		return parsed, no, false
	}
	no.State, no.Message = jobapi.JobFailed, "expired: outcome unknown, may have run"
	return parsed, no, false
}

func refusal(id string, r admission.Refusal) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, SafeToResubmit: true,
		Reason: r.Reason, Message: r.Message, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// newTasks returns the tasks of a request with their estimates, and their sum.
func (m *Machine) newTasks(c *class, req *jobapi.JobRequest) ([]task, time.Duration) {
	if c == nil {
		return nil, 0
	}
	tasks, work := make([]task, len(req.Tasks)), time.Duration(0)
	usual := c.run.P50()
	for i := range tasks {
		r, t := &req.Tasks[i], &tasks[i]
		t.index, t.body, t.size, t.cost = i, r.Payload, r.Size, usual
		if r.RunMs > 0 {
			t.cost = c.run.TaskP50(time.Duration(r.RunMs) * time.Millisecond)
		}
		if t.size == (jobapi.Size{}) {
			t.size = c.kind.Size
		}
		work += t.cost
	}
	return tasks, work
}

// admit composes the facts for the admission decision.
func (m *Machine) admit(c *class, key wire.Class, req *jobapi.JobRequest, tasks []task, work time.Duration) admission.Refusal {
	if n := len(req.Tasks); n == 0 || n > jobapi.MaxTasks {
		return admission.Refusal{Reason: jobapi.ReasonNeverRuns, Message: "a job has 1 to 330 tasks"}
	}
	facts := admission.Job{Draining: m.draining || m.abandoned, Configured: m.doc != nil}
	if m.doc != nil {
		facts.KnownTeam = m.doc.Teams[key.Team] != nil
		facts.KnownKind = m.doc.Kinds[key.Kind] != nil
	}
	if c != nil {
		facts.LimitZero = c.limitZero
		facts.NeverRuns = c.pool.neverRuns(m.now, tasks)
		facts.NoWorker = c.pool.deserted(m.now)
		facts.QueueFull = !c.queue.Fits(len(tasks)) ||
			m.cfg.Limiter != nil && !m.cfg.Limiter.CanQueue(key, len(tasks))
		facts.TimeToDeadline = c.deadline(req.DeadlineMs)
		facts.TotalRunTime, facts.LongestRunTime = work, longest(tasks)
		facts.Backlog = c.queue.Backlog()
		facts.ServiceSlots, facts.GuaranteedShare = c.pool.slots, c.pool.queue.GuaranteedShare(c.queue)
		facts.RunningTasks = c.queue.Running()
	}
	return admission.Decide(facts, m.rnd)
}

func longest(tasks []task) time.Duration {
	l := time.Duration(0)
	for i := range tasks {
		l = max(l, tasks[i].cost)
	}
	return l
}

func (m *Machine) countRefusal(c *class, reason jobapi.Reason) {
	if c == nil {
		m.unknown.refuse(reason)
		return
	}
	c.count.refuse(reason)
}

// enqueue adds an admitted job.
func (m *Machine) enqueue(j *job) {
	m.remember(j)
	m.deadlines.Add(j)
	wait := make([]fair.Task[*task], len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		t.job = j
		wait[i] = fair.Task[*task]{Cost: t.cost, Value: t}
	}
	j.wait = j.class.pool.queue.Push(j.class.queue, m.now, wait)
	m.queued(j.class, len(j.tasks))
	m.touch(j.class.pool)
}

// queued tells the limiter that the number of waiting tasks has changed.
func (m *Machine) queued(c *class, delta int) {
	m.demandStale = true
	if m.cfg.Limiter != nil {
		m.cfg.Limiter.Queued(c.key, delta)
	}
}

// Answer returns the state or the answer of a submission; known is false if
// this incarnation never heard of it or has forgotten it.
func (m *Machine) Answer(now time.Duration, id string) (jobapi.JobAnswer, bool) {
	m.now = now
	if j := m.jobs[id]; j != nil {
		return j.view(), true
	}
	parsed, answer, ok := m.check(id)
	if ok {
		reason, known := m.memory.refused(parsed.Window, id)
		return refusal(id, admission.Refusal{Reason: reason}), known
	}
	return answer, answer.Reason == jobapi.ReasonSubmissionExpired
}

// Cancel withdraws the unstarted tasks of a submission; running tasks go on.
// An ID that has not arrived yet is remembered and refused later.
func (m *Machine) Cancel(now time.Duration, id string) jobapi.JobAnswer {
	m.now = now
	if j := m.jobs[id]; j != nil {
		if !j.final && j.inFlight+j.done < len(j.tasks) {
			m.fail(j, causeCanceled)
			m.settle(j)
		}
		return j.view()
	}
	parsed, answer, ok := m.check(id)
	if !ok {
		return answer
	}
	if reason, again := m.memory.refused(parsed.Window, id); again {
		return refusal(id, admission.Refusal{Reason: reason})
	}
	m.memory.refuse(parsed.Window, id, jobapi.ReasonCanceled)
	return refusal(id, admission.Refusal{Reason: jobapi.ReasonCanceled, Message: causeCanceled.message})
}
