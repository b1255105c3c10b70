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
	// The delay before a retry is random. Its upper limit is retryInitialDelay for
	// the first retry and doubles for each further one up to retryMaxDelay.
	retryInitialDelay = 50 * time.Millisecond
	retryMaxDelay     = 2 * time.Second
	// progressInterval is the time between two reads of a job's task states.
	progressInterval = 100 * time.Millisecond
)

// NewSubmissionID fetches a submission prefix and appends a random suffix. The
// fetch may be repeated, because a prefix reserves nothing on the server.
func (c *Client) NewSubmissionID() (string, error) {
	for attempt := 0; ; attempt++ {
		res, err := c.call(fasthttp.MethodPost, c.callerURL, "/v1/submissions", nil)
		if err == nil && res.Status/100 != 2 {
			err = statusError("POST /v1/submissions", res)
		} else if err == nil && res.SubmissionPrefix == "" {
			return "", errors.Errorf("POST /v1/submissions: no header %s in the response", jobapi.HeaderSubmissionPrefix)
		} else if err == nil {
			return res.SubmissionPrefix + uuid.NewString(), nil
		} else {
			err = callError(err, false)
		}
		if exitCode(err) != ExitUnavailable || !c.backoff(attempt) {
			return "", err
		}
	}
}

// backoff sleeps before the next attempt. It returns false without sleeping if
// the deadline is earlier than the end of the delay.
func (c *Client) backoff(attempt int) bool {
	maxDelay := min(retryMaxDelay, retryInitialDelay<<min(attempt, 10))
	delay := time.Duration(rand.Int64N(int64(maxDelay))) + time.Millisecond
	if c.remaining() <= delay {
		return false
	}
	c.sleep(delay)
	return true
}

// Submit submits a job whose SubmissionID is set and returns its final answer. If
// progress is not nil, it is called with the number of finished tasks while the
// job runs.
func (c *Client) Submit(req *jobapi.JobRequest, progress func(done int)) (*jobapi.JobAnswer, error) {
	return (&submission{client: c, req: req, progress: progress}).run()
}

// submission submits one job and retries after lost connections until the answer
// is final.
type submission struct {
	client *Client
	req    *jobapi.JobRequest
	// progress is called with the number of finished tasks; it may be nil.
	progress func(done int)

	// maybeSent is true once a request may have reached a server.
	maybeSent bool
	// polling selects the next request: true reads the state of the job, false
	// submits the job.
	polling bool
}

// run submits the job and reads its state until the answer is final. Submitting
// again is safe because the owner answers a repeated submission with the existing
// job.
func (s *submission) run() (*jobapi.JobAnswer, error) {
	for attempt := 0; ; attempt++ {
		res, err := s.send()
		if err != nil {
			var noResponse *noResponseError
			if !errors.As(err, &noResponse) {
				return nil, err
			}
			s.maybeSent = s.maybeSent || noResponse.maybeSent
			s.polling = s.maybeSent
		} else if s.polling && res.Status == fasthttp.StatusNotFound {
			// The owner does not have the job: the submission did not arrive; submit again.
			s.polling = false
		} else {
			var answer *jobapi.JobAnswer
			if answer, err = s.handleResponse(res); answer != nil || err != nil && !isServerError(res) {
				return answer, err
			}
			if res.Status == fasthttp.StatusAccepted {
				attempt = 0 // the server has accepted the job, so it is available
			}
		}
		if !s.client.backoff(attempt) {
			return nil, s.timeoutError(err)
		}
	}
}

// isServerError reports whether the response has a status that a failed server or
// load balancer returns, which says nothing about the job.
func isServerError(res *response) bool { return res.Status >= fasthttp.StatusInternalServerError }

// handleResponse returns the final answer in a response, or nil if the job's state
// has to be read again.
func (s *submission) handleResponse(res *response) (*jobapi.JobAnswer, error) {
	sentBefore := s.maybeSent
	s.maybeSent = true
	answer, err := decodeAnswer("submission "+s.req.SubmissionID, res)
	switch {
	case err != nil && isServerError(res):
		s.polling = true
		return nil, err
	case err != nil && sentBefore && exitCode(err) != ExitConflict:
		// An earlier request may have submitted the job, and the error of this
		// request does not rule that out.
		return nil, &exitError{ExitUnknown, errors.Annotate(err, "outcome unknown")}
	case err != nil:
		return nil, err
	case ownerUnreachable(answer):
		// Reading the job's state lets another entry instance recover its outcome.
		s.polling = true
		return nil, nil
	case answer.State.Final():
		return answer, nil
	}
	s.polling = true
	s.reportProgress(answer)
	return nil, nil
}

// ownerUnreachable reports whether the answer says only that the owner of the job
// could not be reached.
func ownerUnreachable(a *jobapi.JobAnswer) bool {
	return a.Reason == jobapi.ReasonOwnerUnreachable && !a.NotRun
}

func (s *submission) send() (*response, error) {
	c := s.client
	wait := "?wait=true"
	if s.progress != nil {
		wait = "?wait=false"
	}
	if !s.polling {
		return c.call(fasthttp.MethodPost, c.callerURL, "/v1/jobs"+wait, s.req)
	}
	if s.progress != nil {
		c.sleep(progressInterval)
	}
	return c.call(fasthttp.MethodGet, c.callerURL, "/v1/jobs/"+url.PathEscape(s.req.SubmissionID)+wait, nil)
}

func (s *submission) reportProgress(a *jobapi.JobAnswer) {
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

func (s *submission) timeoutError(lastErr error) error {
	code, text := ExitUnavailable, "no server reached, the job was not submitted"
	if s.maybeSent {
		code, text = ExitUnknown, "no answer within the timeout, outcome unknown; read it with: cardamomctl get jobs "+s.req.SubmissionID
	}
	if lastErr == nil {
		return exitErrorf(code, "%s", text)
	}
	return &exitError{code, errors.Annotate(lastErr, text)}
}
