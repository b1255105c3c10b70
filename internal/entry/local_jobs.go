package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// owns reports whether p is the current incarnation of this process or an earlier
// one whose machine is still kept.
func (e *Entry) owns(p ident.Process) bool {
	owned := p == *e.core.self.Load()
	if !owned && p.Instance == e.cfg.Instance {
		e.core.call(func(time.Duration) { owned = e.core.retiredMachines[p] != nil })
	}
	return owned
}

// machineOf returns the machine of an incarnation of this process, or nil.
func (c *core) machineOf(p ident.Process) *dispatch.Machine {
	if p == *c.self.Load() {
		return c.machine
	}
	return c.retiredMachines[p]
}

// submitLocal submits a job under an ID that this process issued.
func (e *Entry) submitLocal(ctx context.Context, id ident.SubmissionID, req *jobapi.JobRequest, wait bool) jobapi.JobAnswer {
	return e.queryMachine(ctx, id, wait, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		if m != e.core.machine {
			if a, known := m.Answer(now, id.String()); known {
				return a
			}
			return refusedNotRun(id.String(), jobapi.ReasonSubmissionExpired, "the incarnation that issued the submission ID has ended")
		}
		return m.Submit(now, id.String(), req)
	})
}

// getLocal returns the answer to a job of this process. For a submission that has
// not arrived, the answer does not say "not run", because the submission may
// arrive later and run.
func (e *Entry) getLocal(ctx context.Context, id ident.SubmissionID, wait bool) jobapi.JobAnswer {
	return e.queryMachine(ctx, id, wait, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		a, known := m.Answer(now, id.String())
		if !known {
			// The submission may still arrive, so the answer reports no task
			// states.
			return unknownSubmission(id.String())
		}
		return a
	})
}

// cancelLocal cancels a job of this process.
func (e *Entry) cancelLocal(id ident.SubmissionID) jobapi.JobAnswer {
	return e.queryMachine(context.Background(), id, false, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		return m.Cancel(now, id.String())
	})
}

// queryMachine runs a query in the core loop on the machine of the submission's
// owner. If wait is true, it waits until the job has a final answer.
func (e *Entry) queryMachine(ctx context.Context, id ident.SubmissionID, wait bool, query func(time.Duration, *dispatch.Machine) jobapi.JobAnswer) jobapi.JobAnswer {
	text := id.String()
	stopped := outcomeUnknown(text, jobapi.ReasonDraining, "the entry instance is stopping")
	answer := stopped
	var waiter chan jobapi.JobAnswer
	ran := e.core.call(func(now time.Duration) {
		m := e.core.machineOf(id.Owner)
		if m == nil {
			answer = outcomeUnknown(text, jobapi.ReasonSubmissionExpired, "the answers of the incarnation that issued the submission ID are no longer kept")
			return
		}
		answer = query(now, m)
		if wait && (answer.State == jobapi.JobQueued || answer.State == jobapi.JobRunning) {
			waiter = make(chan jobapi.JobAnswer, 1)
			e.core.waiters[text] = append(e.core.waiters[text], waiter)
		}
	})
	if !ran || waiter == nil {
		return answer
	}
	select {
	case answer = <-waiter:
		return answer
	case <-e.core.done:
		return stopped
	case <-ctx.Done():
		return answer
	}
}

// refusedNotRun returns the refusal of a job that has provably not run and will
// not run.
func refusedNotRun(id string, reason jobapi.Reason, message string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, SafeToResubmit: true, Reason: reason, Message: message}
}

// outcomeUnknown returns an answer that reports that the outcome of all tasks is
// unknown.
func outcomeUnknown(id string, reason jobapi.Reason, message string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobFailed, Reason: reason, Message: message + "; the tasks may have run"}
}

// unknownSubmission returns the answer to a query of an ID under which no job has
// arrived.
func unknownSubmission(id string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, Reason: jobapi.ReasonSubmissionUnknown,
		Message: "no job has arrived under this submission ID; one may still be under way"}
}

// statusOf returns the HTTP status code of an answer.
func statusOf(a jobapi.JobAnswer) int {
	switch {
	case a.Reason == jobapi.ReasonSubmissionExpired:
		return http.StatusGone
	case a.Reason == jobapi.ReasonSubmissionUnknown:
		return http.StatusNotFound
	case a.Reason == jobapi.ReasonSubmissionConflict:
		return http.StatusConflict
	case a.State == jobapi.JobComplete:
		return http.StatusOK
	case a.State == jobapi.JobFailed && a.Reason == jobapi.ReasonOwnerUnreachable:
		return http.StatusServiceUnavailable
	case a.State == jobapi.JobFailed:
		return http.StatusOK
	case a.State == jobapi.JobRefused:
		return statusOfRefusal(a.Reason)
	}
	return http.StatusAccepted
}

func statusOfRefusal(r jobapi.Reason) int {
	switch r {
	case jobapi.ReasonUnknownKind, jobapi.ReasonUnknownTeam, jobapi.ReasonNeverRuns:
		return http.StatusUnprocessableEntity
	case jobapi.ReasonQueueFull, jobapi.ReasonDeadline, jobapi.ReasonLimitIsZero:
		return http.StatusTooManyRequests
	case jobapi.ReasonCanceled:
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
