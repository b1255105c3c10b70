package ctl

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

// editAttemptTimeout is the time limit of one attempt of an edit, so that there is
// time for another attempt if a connection hangs.
const editAttemptTimeout = 8 * time.Second

// editResponse is the body of the response to an accepted edit.
type editResponse struct {
	ChangeID string              `json:"changeID"`
	Revision uint64              `json:"revision"`
	Lowered  []revision.Decrease `json:"lowered,omitempty"`
	Object   object              `json:"object"`
}

// edit sends a change with a new change ID. While the outcome is unknown or the
// server is unavailable, it repeats the request with the same ID; the server
// applies each change ID once. headers may be nil.
func (c *Client) edit(method, path string, body any, headers map[string]string) (editResponse, error) {
	changeID := uuid.NewString()
	allHeaders := map[string]string{resourceapi.HeaderChangeID: changeID}
	for name, value := range headers {
		allHeaders[name] = value
	}
	maybeAccepted := false // whether an earlier attempt may have been accepted
	for attempt := 0; ; attempt++ {
		attemptDeadline := c.clock.Now().Add(editAttemptTimeout)
		if c.deadline.Before(attemptDeadline) {
			attemptDeadline = c.deadline
		}
		out, err := c.editOnce(method, path, body, allHeaders, attemptDeadline)
		code := exitCode(err)
		if err == nil || code != ExitUnknown && code != ExitUnavailable {
			return out, err
		}
		maybeAccepted = maybeAccepted || code == ExitUnknown
		if c.backoff(attempt) {
			continue
		}
		if maybeAccepted {
			return out, &exitError{ExitUnknown, errors.Annotatef(err, "outcome of change %s still unknown at the timeout; read the current state before you repeat the command", changeID)}
		}
		return out, err
	}
}

func (c *Client) editOnce(method, path string, body any, headers map[string]string, deadline time.Time) (editResponse, error) {
	var out editResponse
	res, err := c.callWithDeadline(method, c.operatorURL, path, body, headers, deadline)
	if err != nil {
		return out, callError(err, true)
	}
	if res.Status/100 != 2 {
		return out, statusError(method+" "+path, res)
	}
	if err := json.Unmarshal(res.Body, &out); err != nil {
		return out, &exitError{ExitUnknown, errors.Annotatef(err, "decoding the response to %s %s", method, path)}
	}
	return out, nil
}
