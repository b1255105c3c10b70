package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/dispatch"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// owns reports whether p is this process, in its current or an earlier
// incarnation that it still remembers.
func (e *Entry) owns(p ident.Process) bool {
	owned := p == *e.core.self.Load()
	if !owned && p.Instance == e.cfg.Instance {
		e.core.call(func(time.Duration) { owned = e.core.retired[p] != nil })
	}
	return owned
}

// machineOf returns the machine of an own incarnation, or nil.
func (c *core) machineOf(p ident.Process) *dispatch.Machine {
	if p == *c.self.Load() {
		return c.machine
	}
	return c.retired[p]
}

// submitOwn submits a job under an ID that this process issued.
func (e *Entry) submitOwn(ctx context.Context, id ident.SubmissionID, req *jobapi.JobRequest, wait bool) jobapi.JobAnswer {
	return e.ask(ctx, id, wait, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		if m != e.core.machine {
			if a, known := m.Answer(now, id.String()); known {
				return a
			}
			return notRun(id.String(), jobapi.ReasonSubmissionExpired, "the incarnation that issued the submission ID has ended")
		}
		return m.Submit(now, id.String(), req)
	})
}

// getOwn returns the answer to a job of this process. A submission that has not
// arrived yet is not called "not run", because it may arrive later and run.
func (e *Entry) getOwn(ctx context.Context, id ident.SubmissionID, wait bool) jobapi.JobAnswer {
	return e.ask(ctx, id, wait, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		a, known := m.Answer(now, id.String())
		if !known {
			// The submission may still be under way, so nothing is said of its
			// tasks.
			return unknownSubmission(id.String())
		}
		return a
	})
}

// cancelOwn cancels a job of this process.
func (e *Entry) cancelOwn(id ident.SubmissionID) jobapi.JobAnswer {
	return e.ask(context.Background(), id, false, func(now time.Duration, m *dispatch.Machine) jobapi.JobAnswer {
		return m.Cancel(now, id.String())
	})
}

// ask runs a question in the core loop. With wait it returns the final answer.
func (e *Entry) ask(ctx context.Context, id ident.SubmissionID, wait bool, question func(time.Duration, *dispatch.Machine) jobapi.JobAnswer) jobapi.JobAnswer {
	text := id.String()
	stopped := unknown(text, jobapi.ReasonDraining, "the entry instance is stopping")
	answer := stopped
	var waiter chan jobapi.JobAnswer
	ran := e.core.call(func(now time.Duration) {
		m := e.core.machineOf(id.Owner)
		if m == nil {
			answer = unknown(text, jobapi.ReasonSubmissionExpired, "the incarnation that issued the submission ID is no longer remembered")
			return
		}
		answer = question(now, m)
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

// notRun builds a refusal of a job that certainly was not and will not be run.
func notRun(id string, reason jobapi.Reason, message string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, SafeToResubmit: true, Reason: reason, Message: message}
}

// unknown builds an answer that says that nothing is known of the tasks.
func unknown(id string, reason jobapi.Reason, message string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobFailed, Reason: reason, Message: message + "; the tasks may have run"}
}

// unknownSubmission builds the answer to a query of an ID under which no job
// has arrived.
func unknownSubmission(id string) jobapi.JobAnswer {
	return jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, Reason: jobapi.ReasonSubmissionUnknown,
		Message: "no job has arrived under this submission ID; one may still be under way"}
}

// statusOf returns the HTTP status of an answer.
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
		return refusalStatus(a.Reason)
	}
	return http.StatusAccepted
}

func refusalStatus(r jobapi.Reason) int {
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
