package dispatch

import (
	"fmt"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/admission"
	"github.com/cardamomturn/cardamomturn/internal/decision/fair"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Submit admits or refuses a job. If a job with the ID exists and its request was
// the same, Submit returns the state or answer of that job. A refusal is final: a
// job with a refused ID is refused again for as long as the ID is in an accepted
// window, because admitting it later would make the NotRun of the first answer
// false. The Machine keeps the payloads of the request, but not the request.
func (m *Machine) Submit(now time.Duration, id string, req *jobapi.JobRequest) jobapi.JobAnswer {
	m.now = now
	hash := hashRequest(req)
	if j := m.jobs[id]; j != nil {
		if j.class != nil && j.hash != hash {
			return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, Reason: jobapi.ReasonSubmissionConflict,
				Message: "the submission ID is in use with another request"}
		}
		return j.currentAnswer()
	}
	parsed, answer, ok := m.checkID(id)
	if !ok {
		return answer
	}
	if reason, again := m.history.refusalReason(parsed.Window, id); again {
		return refusal(id, admission.Refusal{Reason: reason, Message: "this submission was refused before; use a new ID"})
	}
	key := wire.Class{Team: req.Team, Kind: req.Kind}
	c := m.class(key)
	tasks, totalCost := m.newTasks(c, req)
	if r := m.decideAdmission(c, key, req, tasks, totalCost); r.Reason != "" {
		m.history.recordRefusal(parsed.Window, id, r.Reason)
		m.countRefusal(c, r.Reason)
		return refusal(id, r)
	}
	j := &job{id: id, window: parsed.Window, hash: hash, class: c, tasks: tasks, payloadBytes: payloadBytes(req), submittedAt: now,
		deadline: now + c.timeToDeadline(req.DeadlineMs)}
	m.enqueue(j)
	return j.currentAnswer()
}

// checkID parses a submission ID and reports whether a new job may use it. If
// not, the returned answer says why.
func (m *Machine) checkID(id string) (ident.SubmissionID, jobapi.JobAnswer, bool) {
	refused := jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused}
	parsed, err := ident.ParseSubmissionID(id)
	if err != nil || parsed.Owner != m.cfg.Self || parsed.Window > m.window {
		refused.Reason, refused.Message = jobapi.ReasonOwnerUnreachable, "the submission ID was not issued by this entry incarnation"
		return parsed, refused, false
	}
	age := m.window - parsed.Window
	if age <= m.cfg.AcceptWindows {
		return parsed, refused, true
	}
	refused.Reason, refused.Message = jobapi.ReasonSubmissionExpired, "the submission ID is too old for a new job"
	if age <= m.cfg.RetainWindows {
		refused.NotRun, refused.SafeToResubmit = true, true // an admitted job would still be known
		return parsed, refused, false
	}
	refused.State, refused.Message = jobapi.JobFailed, "expired: outcome unknown, may have run"
	return parsed, refused, false
}

func refusal(id string, r admission.Refusal) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, SafeToResubmit: true,
		Reason: r.Reason, Message: r.Message, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// newTasks returns the tasks of a request with their estimated run times, and the
// sum of these times.
func (m *Machine) newTasks(c *class, req *jobapi.JobRequest) ([]task, time.Duration) {
	if c == nil {
		return nil, 0
	}
	tasks, totalCost := make([]task, len(req.Tasks)), time.Duration(0)
	medianRunTime := c.runTime.P50()
	for i := range tasks {
		r, t := &req.Tasks[i], &tasks[i]
		t.index, t.body, t.size, t.cost = i, r.Payload, r.Size, medianRunTime
		if r.RunMs > 0 {
			t.cost = c.runTime.TaskP50(time.Duration(r.RunMs) * time.Millisecond)
		}
		if t.size == (jobapi.Size{}) {
			t.size = c.spec.Size
		}
		totalCost += t.cost
	}
	return tasks, totalCost
}

// decideAdmission collects the facts about a job and returns the admission
// decision.
func (m *Machine) decideAdmission(c *class, key wire.Class, req *jobapi.JobRequest, tasks []task, totalCost time.Duration) admission.Refusal {
	if n := len(req.Tasks); n == 0 || n > jobapi.MaxTasks {
		return admission.Refusal{Reason: jobapi.ReasonNeverRuns, Message: fmt.Sprintf("a job has 1 to %d tasks", jobapi.MaxTasks)}
	}
	facts := admission.Job{Draining: m.draining || m.abandoned, Configured: m.doc != nil}
	if m.doc != nil {
		facts.KnownTeam = m.doc.Teams[key.Team] != nil
		facts.KnownKind = m.doc.Kinds[key.Kind] != nil
	}
	if c != nil {
		facts.LimitZero = c.limitZero
		facts.NeverRuns = c.pool.neverRuns(m.now, tasks)
		facts.NoWorker = c.pool.lacksWorkers(m.now)
		facts.QueueFull = !c.queue.Fits(len(tasks)) || !m.hasRoomForPayloads(payloadBytes(req)) ||
			m.cfg.Limiter != nil && !m.cfg.Limiter.CanQueue(key, len(tasks))
		facts.TimeToDeadline = c.timeToDeadline(req.DeadlineMs)
		facts.TotalRunTime, facts.LongestRunTime = totalCost, longestCost(tasks)
		facts.Backlog = c.queue.Backlog()
		facts.ServiceSlots, facts.GuaranteedShare = c.pool.slots, c.pool.queue.GuaranteedShare(c.queue)
		facts.RunningTasks = c.queue.Running()
	}
	return admission.Decide(facts, m.rnd)
}

// payloadBytes is the size of the payloads of a request.
func payloadBytes(req *jobapi.JobRequest) int64 {
	n := 0
	for i := range req.Tasks {
		n += len(req.Tasks[i].Payload)
	}
	return int64(n)
}

// hasRoomForPayloads reports whether a job with payloads of that size may be admitted.
func (m *Machine) hasRoomForPayloads(bytes int64) bool {
	return m.payloadBytes == 0 || m.payloadBytes+bytes <= m.cfg.PayloadBytes
}

func longestCost(tasks []task) time.Duration {
	l := time.Duration(0)
	for i := range tasks {
		l = max(l, tasks[i].cost)
	}
	return l
}

func (m *Machine) countRefusal(c *class, reason jobapi.Reason) {
	if c == nil {
		m.unknownClass.addRefusal(reason)
		return
	}
	c.counters.addRefusal(reason)
}

// enqueue records an admitted job and queues its tasks.
func (m *Machine) enqueue(j *job) {
	m.recordJob(j)
	m.payloadBytes += j.payloadBytes
	m.deadlines.Add(j)
	waiting := make([]fair.Task[*task], len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		t.job = j
		waiting[i] = fair.Task[*task]{Cost: t.cost, Value: t}
	}
	j.queueEntry = j.class.pool.queue.Push(j.class.queue, m.now, waiting)
	m.addQueued(j.class, len(j.tasks))
	m.markDirty(j.class.pool)
}

// addQueued reports a change of the number of waiting tasks to the limiter and
// marks the demand summary as stale.
func (m *Machine) addQueued(c *class, delta int) {
	m.demandStale = true
	if m.cfg.Limiter != nil {
		m.cfg.Limiter.Queued(c.key, delta)
	}
}

// Answer returns the state or the answer of a submission. The second result is
// false if no submission with the ID has arrived at this incarnation, or if the
// ID was not issued by it. An ID of a window that is too old is answered as
// expired, with true as the second result.
func (m *Machine) Answer(now time.Duration, id string) (jobapi.JobAnswer, bool) {
	m.now = now
	if j := m.jobs[id]; j != nil {
		return j.currentAnswer(), true
	}
	parsed, answer, ok := m.checkID(id)
	if ok {
		reason, known := m.history.refusalReason(parsed.Window, id)
		return refusal(id, admission.Refusal{Reason: reason}), known
	}
	return answer, answer.Reason == jobapi.ReasonSubmissionExpired
}

// Cancel withdraws the waiting tasks of a submission. Running tasks continue. If
// no submission with the ID has arrived, the ID is recorded, and a later
// submission with it is refused.
func (m *Machine) Cancel(now time.Duration, id string) jobapi.JobAnswer {
	m.now = now
	if j := m.jobs[id]; j != nil {
		if !j.answered && j.inFlight+j.ended < len(j.tasks) {
			m.failJob(j, causeCanceled)
			m.answerIfEnded(j)
		}
		return j.currentAnswer()
	}
	parsed, answer, ok := m.checkID(id)
	if !ok {
		return answer
	}
	if reason, again := m.history.refusalReason(parsed.Window, id); again {
		return refusal(id, admission.Refusal{Reason: reason})
	}
	m.history.recordRefusal(parsed.Window, id, jobapi.ReasonCanceled)
	return refusal(id, admission.Refusal{Reason: jobapi.ReasonCanceled, Message: causeCanceled.message})
}
