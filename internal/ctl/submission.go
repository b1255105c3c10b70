package ctl

import (
	"math/rand/v2"
	"net/url"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// retryFirst and retryMax bound the jittered delay before asking again.
	retryFirst = 50 * time.Millisecond
	retryMax   = 2 * time.Second
	// progressInterval is the time between two reads of a job's task states.
	progressInterval = 100 * time.Millisecond
)

// NewID fetches a submission prefix and appends a random suffix. Repeating the
// fetch is harmless, because a prefix reserves nothing.
func (c *Client) NewID() (string, error) {
	for attempt := 0; ; attempt++ {
		res, err := c.call(fasthttp.MethodPost, c.server, "/v1/submissions", nil)
		if err == nil && res.Status/100 != 2 {
			err = statusError("POST /v1/submissions", res)
		} else if err == nil && res.Prefix == "" {
			return "", errors.Errorf("POST /v1/submissions: no header %s in the response", jobapi.HeaderSubmissionPrefix)
		} else if err == nil {
			return res.Prefix + uuid.NewString(), nil
		} else {
			err = lost(err, false)
		}
		if exitCode(err) != ExitUnavailable || !c.pause(attempt) {
			return "", err
		}
	}
}

// pause sleeps before the next attempt; false means that the deadline is near.
func (c *Client) pause(attempt int) bool {
	ceiling := min(retryMax, retryFirst<<min(attempt, 10))
	delay := time.Duration(rand.Int64N(int64(ceiling))) + time.Millisecond
	if time.Until(c.deadline) <= delay {
		return false
	}
	time.Sleep(delay)
	return true
}

// Submit submits a job that has an ID and returns its final answer. If progress
// is set, it is told the number of final tasks while the job runs.
func (c *Client) Submit(req *jobapi.JobRequest, progress func(done int)) (*jobapi.JobAnswer, error) {
	return (&submission{client: c, req: req, progress: progress}).run()
}

// submission carries one job to its answer through lost connections.
type submission struct {
	client *Client
	req    *jobapi.JobRequest
	// progress, if set, is told the number of final tasks.
	progress func(done int)

	// sent is true once a request may have reached a server.
	sent bool
	// known is true while the job is asked for, and false while it is submitted.
	known bool
}

// run submits the job and asks until the answer is final. Submitting again is
// safe because the owner joins a repeated submission to the existing job.
func (s *submission) run() (*jobapi.JobAnswer, error) {
	for attempt := 0; ; attempt++ {
		res, err := s.ask()
		if err != nil {
			var l *lostError
			if !errors.As(err, &l) {
				return nil, err
			}
			s.sent = s.sent || l.sent
			s.known = s.sent
		} else if s.known && res.Status == fasthttp.StatusNotFound {
			// The lost submission never arrived.
			s.known = false
		} else {
			var answer *jobapi.JobAnswer
			if answer, err = s.judge(res); answer != nil || err != nil && !serverFault(res) {
				return answer, err
			}
			if res.Status == fasthttp.StatusAccepted {
				attempt = 0 // the job is running, so the server is well
			}
		}
		if !s.client.pause(attempt) {
			return nil, s.timedOut(err)
		}
	}
}

// serverFault reports whether the response says nothing of the job, because a
// server or load balancer failed.
func serverFault(res *response) bool { return res.Status >= fasthttp.StatusInternalServerError }

// judge returns the final answer in a response, or nil if it has to be asked
// for again.
func (s *submission) judge(res *response) (*jobapi.JobAnswer, error) {
	before := s.sent
	s.sent = true
	answer, err := decodeAnswer("submission "+s.req.SubmissionID, res)
	switch {
	case err != nil && serverFault(res):
		s.known = true
		return nil, err
	case err != nil && before && exitCode(err) != ExitConflict:
		// An earlier request may have submitted the job, which an error of this
		// one doesn't deny.
		return nil, &codeError{ExitUnknown, errors.Annotate(err, "outcome unknown")}
	case err != nil:
		return nil, err
	case retryable(answer):
		// Asking for the job lets another instance recover its outcome.
		s.known = true
		return nil, nil
	case answer.State.Final():
		return answer, nil
	}
	s.known = true
	s.report(answer)
	return nil, nil
}

// retryable reports whether the answer only says that the owner could not be
// asked.
func retryable(a *jobapi.JobAnswer) bool {
	return a.Reason == jobapi.ReasonOwnerUnreachable && !a.NotRun
}

func (s *submission) ask() (*response, error) {
	c := s.client
	wait := "?wait=true"
	if s.progress != nil {
		wait = "?wait=false"
	}
	if !s.known {
		return c.call(fasthttp.MethodPost, c.server, "/v1/jobs"+wait, s.req)
	}
	if s.progress != nil {
		time.Sleep(progressInterval)
	}
	return c.call(fasthttp.MethodGet, c.server, "/v1/jobs/"+url.PathEscape(s.req.SubmissionID)+wait, nil)
}

func (s *submission) report(a *jobapi.JobAnswer) {
	if s.progress == nil {
		return
	}
	done := 0
	for _, t := range a.Tasks {
		if t.State.Final() {
			done++
		}
	}
	s.progress(done)
}

func (s *submission) timedOut(last error) error {
	code, text := ExitUnavailable, "no server reached, the job was not submitted"
	if s.sent {
		code, text = ExitUnknown, "no answer within the timeout, outcome unknown; ask again with: cardamomctl get jobs "+s.req.SubmissionID
	}
	if last == nil {
		return fail(code, "%s", text)
	}
	return &codeError{code, errors.Annotate(last, text)}
}
