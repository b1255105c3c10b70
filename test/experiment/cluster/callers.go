package cluster

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

const (
	callTimeout = 40 * time.Second
	// maxAttempts is the maximum number of HTTP requests for one submission.
	maxAttempts = 12
	// maxSubmissions is the maximum number of submissions for one request.
	maxSubmissions = 4
	minRetryDelay  = 50 * time.Millisecond
	maxRetryDelay  = time.Second
	// maxConns is the maximum number of connections to one entry instance.
	maxConns = 4096
)

// Callers is a client that submits the jobs of all simulated callers to the entry
// instances of a cluster. It is safe for concurrent use.
type Callers struct {
	rec     *history.Recorder
	clients []*fasthttp.HostClient

	mu sync.Mutex // guards the fields below
	// prefixes holds the submission prefix of each entry instance, "" if unknown.
	prefixes []string
	// unanswered maps the ID of each submission without a final answer to the
	// entry instance to which it was first sent.
	unanswered map[string]int
}

// NewCallers returns a client of the entry instances at the addresses.
func NewCallers(addresses []string, rec *history.Recorder) *Callers {
	c := &Callers{rec: rec, prefixes: make([]string, len(addresses)), unanswered: map[string]int{}}
	for _, a := range addresses {
		c.clients = append(c.clients, &fasthttp.HostClient{
			Addr: a, MaxConns: maxConns, ReadTimeout: callTimeout, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return c
}

// Outcome is the result of one request.
type Outcome struct {
	load.Arrival
	// Answer is the last answer, empty if there was none.
	Answer jobapi.JobAnswer
	// ResponseTime is the time from the call of Submit to its return.
	ResponseTime time.Duration
	// EndedAt is the time of the return of Submit on the recorder's clock.
	EndedAt time.Duration
	Err     error
}

// Complete reports whether all tasks completed.
func (o Outcome) Complete() bool { return o.Err == nil && o.Answer.State == jobapi.JobComplete }

// Submit submits a job and returns when the job has its final answer or no attempts
// are left. If the answer says that the job was not run, for a reason that may pass,
// or if there is no submission prefix, Submit submits the job under a new ID to the
// next entry instance, up to maxSubmissions times in all.
func (c *Callers) Submit(a load.Arrival, idempotent bool) Outcome {
	startedAt := c.rec.Now()
	out := Outcome{Arrival: a}
	for n := 0; n < maxSubmissions; n++ {
		entry := (a.EntryIndex + n) % len(c.clients)
		out.Answer, out.Err = c.submitOnce(a, idempotent, entry, n)
		if out.Err == nil && !(out.Answer.NotRun && mayBeAcceptedLater(out.Answer.Reason)) {
			break
		}
		delay := time.Duration(out.Answer.RetryAfterMs) * time.Millisecond
		if out.Err == nil || errors.Is(out.Err, errNoPrefix) {
			time.Sleep(min(max(delay, minRetryDelay), maxRetryDelay))
			continue
		}
		break
	}
	out.EndedAt = c.rec.Now()
	out.ResponseTime = out.EndedAt - startedAt
	return out
}

// mayBeAcceptedLater reports whether a job that was refused for the reason may be
// accepted under another ID.
func mayBeAcceptedLater(r jobapi.Reason) bool {
	switch r {
	case jobapi.ReasonDraining, jobapi.ReasonNoConfiguration, jobapi.ReasonOwnerUnreachable, jobapi.ReasonNoWorker:
		return true
	case jobapi.ReasonSubmissionExpired:
		// The incarnation that issued the submission prefix has ended. The header of
		// the answer carries a new prefix.
		return true
	}
	return false
}

// errNoPrefix means that there was no submission prefix, so that nothing was
// submitted.
const errNoPrefix = errors.ConstError("no submission prefix")

// submitOnce submits a job under one ID and waits for its final answer. After a
// lost answer it repeats the request with the same ID at the next entry instance.
// n is the number of earlier submissions of the same request.
func (c *Callers) submitOnce(a load.Arrival, idempotent bool, entry, n int) (jobapi.JobAnswer, error) {
	prefix, err := c.submissionPrefix(entry)
	if err != nil {
		return jobapi.JobAnswer{}, errors.WithType(err, errNoPrefix)
	}
	job := jobapi.JobRequest{SubmissionID: fmt.Sprintf("%s%s-%d", prefix, a.Request, n), Team: a.Team, Kind: a.Kind}
	for i, runTime := range a.RunTimes {
		payload, err := json.Marshal(Payload{Request: a.Request, Task: i, RunUs: runTime.Microseconds()})
		if err != nil {
			return jobapi.JobAnswer{}, errors.Trace(err)
		}
		job.Tasks = append(job.Tasks, jobapi.TaskRequest{Payload: payload})
	}
	body, err := json.Marshal(job)
	if err != nil {
		return jobapi.JobAnswer{}, errors.Trace(err)
	}
	c.track(job.SubmissionID, entry)
	defer c.untrack(job.SubmissionID)
	submit := history.Event{
		Type: history.Submit, Submission: job.SubmissionID, Request: a.Request,
		TaskCount: len(a.RunTimes), Idempotent: idempotent,
	}
	query := history.Event{Type: history.Query, Submission: job.SubmissionID}
	accepted := false
	for attempt := 0; attempt < maxAttempts; attempt++ {
		var answer jobapi.JobAnswer
		if accepted {
			answer, err = c.call(entry, query, fasthttp.MethodGet, "/v1/jobs/"+job.SubmissionID+"?wait=true", nil)
		} else {
			answer, err = c.call(entry, submit, fasthttp.MethodPost, "/v1/jobs", body)
		}
		if err == nil && answer.State.Final() {
			return answer, nil
		}
		accepted = accepted || err == nil
		if err != nil {
			entry = (entry + 1) % len(c.clients)
			time.Sleep(minRetryDelay)
		}
	}
	return jobapi.JobAnswer{}, errors.Annotatef(err, "no answer about %s", job.SubmissionID)
}

// QueryNextEntries queries the state of each submission without a final answer at
// the entry instance after the one to which it was first sent. It doesn't wait for
// the jobs to end.
func (c *Callers) QueryNextEntries() {
	c.mu.Lock()
	unanswered := make(map[string]int, len(c.unanswered))
	for id, entry := range c.unanswered {
		unanswered[id] = entry
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for id, entry := range unanswered {
		next := (entry + 1) % len(c.clients)
		wg.Go(func() {
			// call records the answer, or that the answer was lost.
			_, _ = c.call(next, history.Event{Type: history.Query, Submission: id}, fasthttp.MethodGet, "/v1/jobs/"+id, nil)
		})
	}
	wg.Wait()
}

// CancelUnanswered cancels all submissions without a final answer.
func (c *Callers) CancelUnanswered() {
	c.mu.Lock()
	unanswered := make(map[string]int, len(c.unanswered))
	for id, entry := range c.unanswered {
		unanswered[id] = entry
	}
	c.mu.Unlock()
	for id, entry := range unanswered {
		// Submit, which waits for the job, receives the answer too; call records
		// an error.
		_, _ = c.call(entry, history.Event{Type: history.Cancel, Submission: id}, fasthttp.MethodDelete, "/v1/jobs/"+id, nil)
	}
}

func (c *Callers) track(id string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered[id] = entry
}

func (c *Callers) untrack(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unanswered, id)
}

// submissionPrefix returns the submission prefix of an entry instance, and
// requests it if it is unknown.
func (c *Callers) submissionPrefix(entry int) (string, error) {
	c.mu.Lock()
	p := c.prefixes[entry]
	c.mu.Unlock()
	if p != "" {
		return p, nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.exchange(entry, req, resp, fasthttp.MethodPost, "/v1/submissions", nil); err != nil {
		return "", errors.Annotatef(err, "submission prefix of entry instance %d", entry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefixes[entry] == "" {
		return "", errors.Errorf("entry instance %d answered with status %d and no prefix", entry, resp.StatusCode())
	}
	return c.prefixes[entry], nil
}

// exchange sends one request and stores the submission prefix from the header of
// the response.
func (c *Callers) exchange(entry int, req *fasthttp.Request, resp *fasthttp.Response, method, path string, body []byte) error {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.clients[entry].Addr + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	err := c.clients[entry].DoTimeout(req, resp, callTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.prefixes[entry] = "" // the next incarnation has another prefix
		return errors.Trace(err)
	}
	if p := string(resp.Header.Peek(jobapi.HeaderSubmissionPrefix)); p != "" {
		c.prefixes[entry] = p
	}
	return nil
}

// call sends a request about a submission and records the request and its answer.
func (c *Callers) call(entry int, e history.Event, method, path string, body []byte) (jobapi.JobAnswer, error) {
	e.Process = ProcessName(Entry, entry)
	callNumber := c.rec.AddCall(e)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var answer jobapi.JobAnswer
	err := c.exchange(entry, req, resp, method, path, body)
	if err == nil {
		err = json.Unmarshal(resp.Body(), &answer)
	}
	if err == nil && answer.State == "" {
		err = errors.Errorf("status %d without a job state", resp.StatusCode())
	}
	if err != nil {
		c.rec.Add(history.Event{Type: history.Lost, Call: callNumber})
		return answer, errors.Annotatef(err, "%s %s at %s", method, path, e.Process)
	}
	c.rec.Add(history.Event{Type: history.Response, Call: callNumber, Answer: &answer})
	return answer, nil
}

// ProcessName returns the name of a process in the history. All incarnations of
// the process share it.
func ProcessName(r Role, i int) string { return fmt.Sprintf("%s-%d", r, i) }
