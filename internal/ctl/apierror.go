package ctl

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

// maxErrorTextBytes is the largest part of the text of an error response that is
// shown.
const maxErrorTextBytes = 2000

// apiError is the body of an error response of either API.
type apiError struct {
	resourceapi.ErrorBody
	// NotRun is true if the server states that no task of the job was run.
	NotRun bool `json:"notRun,omitempty"`
}

// outcomeUnknown is the value of Outcome for a change that may have been accepted.
const outcomeUnknown = "unknown"

// statusError converts an error response to an error with the text, the details
// and the exit code of the response.
func statusError(operation string, res *response) error {
	var body apiError
	if json.Unmarshal(res.Body, &body) != nil || body.Error == "" {
		body.Error = strings.TrimSpace(string(res.Body))
	}
	text := body.Error
	if len(text) > maxErrorTextBytes {
		text = text[:maxErrorTextBytes] + "..."
	}
	lines := append([]string{fmt.Sprintf("%s: status %d: %s", operation, res.Status, text)}, body.detailLines()...)
	return &exitError{code: body.exitCode(res.Status), err: errors.New(strings.Join(lines, "\n  "))}
}

// detailLines returns the fields of the body other than its text, one per line.
func (b *apiError) detailLines() []string {
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, p := range b.Problems {
		add("%s", p)
	}
	if b.Field != "" && len(b.Problems) == 0 {
		add("field: %s", b.Field)
	}
	for _, l := range b.Lowered {
		add("lowers %s", l)
	}
	if b.Current != nil {
		add("current version: %d", *b.Current)
	}
	for _, r := range b.ReferredBy {
		add("referred to by %s", r)
	}
	if b.Outcome != "" {
		add("outcome: %s", b.Outcome)
	}
	if b.ChangeID != "" {
		add("change ID: %s", b.ChangeID)
	}
	return lines
}

func (b *apiError) exitCode(status int) int {
	switch {
	case b.Outcome == outcomeUnknown, status == fasthttp.StatusGatewayTimeout:
		return ExitUnknown
	case status == fasthttp.StatusConflict:
		return ExitConflict
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusBadGateway:
		return ExitUnavailable
	case b.NotRun, status == fasthttp.StatusUnprocessableEntity, status == fasthttp.StatusTooManyRequests:
		return ExitRefused
	}
	return ExitError
}
