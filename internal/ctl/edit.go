package ctl

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

// editAttempt bounds one attempt of an edit, so that a connection that hangs
// leaves time to ask again.
const editAttempt = 8 * time.Second

// accepted is the body of the response to an accepted edit.
type accepted struct {
	ChangeID string              `json:"changeID"`
	Revision uint64              `json:"revision"`
	Lowered  []revision.Decrease `json:"lowered,omitempty"`
	Object   object              `json:"object"`
}

// edit sends a change under a change ID of its own. While the outcome is
// unknown or the server unavailable it repeats the change with the same ID,
// which the server applies once. headers may be nil.
func (c *Client) edit(method, path string, body any, headers map[string]string) (accepted, error) {
	id := uuid.NewString()
	all := map[string]string{resourceapi.HeaderChangeID: id}
	for name, value := range headers {
		all[name] = value
	}
	unknown := false // An earlier attempt may have been accepted.
	for attempt := 0; ; attempt++ {
		until := time.Now().Add(editAttempt)
		if c.deadline.Before(until) {
			until = c.deadline
		}
		out, err := c.editOnce(method, path, body, all, until)
		code := exitCode(err)
		if err == nil || code != ExitUnknown && code != ExitUnavailable {
			return out, err
		}
		unknown = unknown || code == ExitUnknown
		if c.pause(attempt) {
			continue
		}
		if unknown {
			return out, &codeError{ExitUnknown, errors.Annotatef(err, "outcome of change %s unknown within the timeout, read before repeating", id)}
		}
		return out, err
	}
}

func (c *Client) editOnce(method, path string, body any, headers map[string]string, until time.Time) (accepted, error) {
	var out accepted
	res, err := c.callUntil(method, c.operator, path, body, headers, until)
	if err != nil {
		return out, lost(err, true)
	}
	if res.Status/100 != 2 {
		return out, statusError(method+" "+path, res)
	}
	if err := json.Unmarshal(res.Body, &out); err != nil {
		return out, &codeError{ExitUnknown, errors.Annotatef(err, "decoding the response to %s %s", method, path)}
	}
	return out, nil
}
