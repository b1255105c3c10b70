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
	// maxAsks bounds the requests about one submission.
	maxAsks = 12
	// maxSubmissions bounds the submissions of one request.
	maxSubmissions = 4
	askDelay       = 50 * time.Millisecond
	maxRetryDelay  = time.Second
	// maxConns bounds the connections to one entry instance.
	maxConns = 4096
)

// Callers submits jobs to the entry instances of a cluster. It is safe for
// concurrent use.
type Callers struct {
	rec     *history.Recorder
	clients []*fasthttp.HostClient

	mu       sync.Mutex     // guards the fields below
	prefixes []string       // by entry instance
	open     map[string]int // entry instance by unanswered submission
}

// NewCallers returns callers of the entry instances at the addresses.
func NewCallers(addresses []string, rec *history.Recorder) *Callers {
	c := &Callers{rec: rec, prefixes: make([]string, len(addresses)), open: map[string]int{}}
	for _, a := range addresses {
		c.clients = append(c.clients, &fasthttp.HostClient{
			Addr: a, MaxConns: maxConns, ReadTimeout: callTimeout, MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return c
}

// Outcome is what became of one request.
type Outcome struct {
	load.Arrival
	// Answer is the last answer, empty if there was none.
	Answer jobapi.JobAnswer
	// Response is the time from the first request to the final answer.
	Response time.Duration
	// Ended is the time of the answer on the recorder's clock.
	Ended time.Duration
	Err   error
}

// Complete reports whether all tasks completed.
func (o Outcome) Complete() bool { return o.Err == nil && o.Answer.State == jobapi.JobComplete }

// Submit sends a job and returns when it has its final answer. A request that
// was refused as not run for a passing reason is submitted again under a new ID.
func (c *Callers) Submit(a load.Arrival, idempotent bool) Outcome {
	begin := c.rec.Now()
	out := Outcome{Arrival: a}
	for n := 0; n < maxSubmissions; n++ {
		entry := (a.Entry + n) % len(c.clients)
		out.Answer, out.Err = c.submitOnce(a, idempotent, entry, n)
		if out.Err == nil && !(out.Answer.NotRun && passing(out.Answer.Reason)) {
			break
		}
		delay := time.Duration(out.Answer.RetryAfterMs) * time.Millisecond
		if out.Err == nil || errors.Is(out.Err, errNoPrefix) {
			time.Sleep(min(max(delay, askDelay), maxRetryDelay))
			continue
		}
		break
	}
	out.Ended = c.rec.Now()
	out.Response = out.Ended - begin
	return out
}

// passing reports whether the job may be accepted under another ID.
func passing(r jobapi.Reason) bool {
	switch r {
	case jobapi.ReasonDraining, jobapi.ReasonNoConfiguration, jobapi.ReasonOwnerUnreachable, jobapi.ReasonNoWorker:
		return true
	case jobapi.ReasonSubmissionExpired:
		// The incarnation that issued the prefix has ended; the answer's header
		// has a new one.
		return true
	}
	return false
}

// errNoPrefix means that nothing was submitted.
const errNoPrefix = errors.ConstError("no submission prefix")

// submitOnce submits under one ID. After a lost answer it asks again with the
// same ID at the next entry instance.
func (c *Callers) submitOnce(a load.Arrival, idempotent bool, entry, n int) (jobapi.JobAnswer, error) {
	prefix, err := c.prefix(entry)
	if err != nil {
		return jobapi.JobAnswer{}, errors.WithType(err, errNoPrefix)
	}
	job := jobapi.JobRequest{SubmissionID: fmt.Sprintf("%s%s-%d", prefix, a.Request, n), Team: a.Team, Kind: a.Kind}
	for i, run := range a.Runs {
		payload, err := json.Marshal(Payload{Request: a.Request, Task: i, RunUs: run.Microseconds()})
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
		Tasks: len(a.Runs), Idempotent: idempotent,
	}
	query := history.Event{Type: history.Query, Submission: job.SubmissionID}
	accepted := false
	for ask := 0; ask < maxAsks; ask++ {
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
			time.Sleep(askDelay)
		}
	}
	return jobapi.JobAnswer{}, errors.Annotatef(err, "no answer about %s", job.SubmissionID)
}

// AskElsewhere asks, for each submission that has no answer yet, the entry
// instance after the one that it was sent to. It doesn't wait for the end of
// the jobs.
func (c *Callers) AskElsewhere() {
	c.mu.Lock()
	open := make(map[string]int, len(c.open))
	for id, entry := range c.open {
		open[id] = entry
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for id, entry := range open {
		other := (entry + 1) % len(c.clients)
		wg.Go(func() {
			// The answer is recorded, also a lost one.
			_, _ = c.call(other, history.Event{Type: history.Query, Submission: id}, fasthttp.MethodGet, "/v1/jobs/"+id, nil)
		})
	}
	wg.Wait()
}

// CancelOpen cancels all submissions that have no answer yet.
func (c *Callers) CancelOpen() {
	c.mu.Lock()
	open := make(map[string]int, len(c.open))
	for id, entry := range c.open {
		open[id] = entry
	}
	c.mu.Unlock()
	for id, entry := range open {
		// The answer reaches the waiting submitter too; an error is recorded.
		_, _ = c.call(entry, history.Event{Type: history.Cancel, Submission: id}, fasthttp.MethodDelete, "/v1/jobs/"+id, nil)
	}
}

func (c *Callers) track(id string, entry int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id] = entry
}

func (c *Callers) untrack(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// prefix returns the submission prefix of an entry instance.
func (c *Callers) prefix(entry int) (string, error) {
	c.mu.Lock()
	p := c.prefixes[entry]
	c.mu.Unlock()
	if p != "" {
		return p, nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.do(entry, req, resp, fasthttp.MethodPost, "/v1/submissions", nil); err != nil {
		return "", errors.Annotatef(err, "submission prefix of entry instance %d", entry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.prefixes[entry] == "" {
		return "", errors.Errorf("entry instance %d answered with status %d and no prefix", entry, resp.StatusCode())
	}
	return c.prefixes[entry], nil
}

// do sends one request and takes the prefix from the answer's header.
func (c *Callers) do(entry int, req *fasthttp.Request, resp *fasthttp.Response, method, path string, body []byte) error {
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
		c.prefixes[entry] = "" // the next incarnation has another one
		return errors.Trace(err)
	}
	if p := string(resp.Header.Peek(jobapi.HeaderSubmissionPrefix)); p != "" {
		c.prefixes[entry] = p
	}
	return nil
}

// call sends a request about a submission and records it with its answer.
func (c *Callers) call(entry int, e history.Event, method, path string, body []byte) (jobapi.JobAnswer, error) {
	e.Process = Name(Entry, entry)
	number := c.rec.Call(e)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	var answer jobapi.JobAnswer
	err := c.do(entry, req, resp, method, path, body)
	if err == nil {
		err = json.Unmarshal(resp.Body(), &answer)
	}
	if err == nil && answer.State == "" {
		err = errors.Errorf("status %d without a job state", resp.StatusCode())
	}
	if err != nil {
		c.rec.Add(history.Event{Type: history.Lost, Call: number})
		return answer, errors.Annotatef(err, "%s %s at %s", method, path, e.Process)
	}
	c.rec.Add(history.Event{Type: history.Response, Call: number, Answer: &answer})
	return answer, nil
}

// Name is the name of a process in the history, over all its incarnations.
func Name(r Role, i int) string { return fmt.Sprintf("%s-%d", r, i) }
