package httpstore

import (
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// dialError wraps an error that occurred before the client sent any byte.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > DefaultTimeout {
		timeout = DefaultTimeout
	}
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

func isWrite(path string) bool {
	switch path {
	case PathGet, PathList, PathWatch:
		return false
	}
	return true
}

// unknownEffectError returns the store error for a call that may have reached the
// server but has no usable response.
func unknownEffectError(write bool) error {
	if write {
		return store.ErrOutcomeUnknown
	}
	return store.ErrUnavailable
}

func annotate(sentinel error, path, server string, cause error) error {
	return errors.Annotatef(sentinel, "%s at %s: %v", path, server, cause)
}

// decode decodes the response body into out, or returns the store error that the
// response stands for.
func (r response) decode(path, server string, write bool, out any) error {
	if r.err != nil {
		return annotate(classify(r.err, write), path, server, r.err)
	}
	if r.status == fasthttp.StatusOK {
		if err := json.Unmarshal(r.body, out); err != nil {
			return annotate(unknownEffectError(write), path, server, err)
		}
		return nil
	}
	var e ErrorBody
	if err := json.Unmarshal(r.body, &e); err != nil {
		return annotate(unknownEffectError(write), path, server, errors.Errorf("status %d without an error code", r.status))
	}
	cause := errors.Errorf("status %d: %s", r.status, e.Message)
	switch e.Code {
	case CodeConflict:
		return annotate(store.ErrConflict, path, server, cause)
	case CodeNotFound:
		return annotate(store.ErrNotFound, path, server, cause)
	case CodeInvalid, CodeTooLarge:
		return annotate(errors.NotValid, path, server, cause)
	case CodeUnavailable:
		return annotate(store.ErrUnavailable, path, server, cause)
	}
	return annotate(unknownEffectError(write), path, server, cause)
}

// classify returns the store error for a transport error. A call that was never
// sent had no effect.
func classify(err error, write bool) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return store.ErrUnavailable
	}
	return unknownEffectError(write)
}
