package httpstore

import (
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

// dialError marks an error that occurred before any byte was sent.
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

func writes(path string) bool {
	switch path {
	case PathGet, PathList, PathWatch:
		return false
	}
	return true
}

// outcome is the kind of a failure whose effect is not known.
func outcome(write bool) error {
	if write {
		return store.ErrUnknown
	}
	return store.ErrUnavailable
}

func failure(kind error, path, peer string, cause error) error {
	return errors.Annotatef(kind, "%s at %s: %v", path, peer, cause)
}

// decode turns the answer into a result or a classified error.
func (a answer) decode(path, peer string, write bool, out any) error {
	if a.err != nil {
		return failure(classify(a.err, write), path, peer, a.err)
	}
	if a.status == fasthttp.StatusOK {
		if err := json.Unmarshal(a.body, out); err != nil {
			return failure(outcome(write), path, peer, err)
		}
		return nil
	}
	var e ErrorBody
	if err := json.Unmarshal(a.body, &e); err != nil {
		return failure(outcome(write), path, peer, errors.Errorf("status %d without an error code", a.status))
	}
	cause := errors.Errorf("status %d: %s", a.status, e.Message)
	switch e.Code {
	case CodeConflict:
		return failure(store.ErrConflict, path, peer, cause)
	case CodeNotFound:
		return failure(store.ErrNotFound, path, peer, cause)
	case CodeInvalid, CodeTooLarge:
		return failure(errors.NotValid, path, peer, cause)
	case CodeUnavailable:
		return failure(store.ErrUnavailable, path, peer, cause)
	}
	return failure(outcome(write), path, peer, cause)
}

// classify decides whether a transport error excludes any effect.
func classify(err error, write bool) error {
	var d *dialError
	if errors.As(err, &d) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return store.ErrUnavailable
	}
	return outcome(write)
}
