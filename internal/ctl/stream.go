package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

const (
	// watchIdleTimeout is the time without data after which the connection of a
	// watch is considered lost: several heartbeat intervals of the server.
	watchIdleTimeout = 20 * time.Second
	// maxEventLineBytes is the largest line of a watch.
	maxEventLineBytes = 4 << 20
)

// watchEvent is one line of a watch as resourceapi.Event writes it.
type watchEvent struct {
	Type     string           `json:"type"`
	Revision uint64           `json:"revision,omitempty"`
	Resource *resource.Ref    `json:"resource,omitempty"`
	Object   *object          `json:"object,omitempty"`
	Status   *resource.Status `json:"status,omitempty"`
}

// errRevisionGone means that the server no longer has the changes since the
// revision.
const errRevisionGone = errors.ConstError("revision no longer known")

// idleTimeoutConn is a connection whose reads fail after watchIdleTimeout without
// data, or at the deadline.
type idleTimeoutConn struct {
	net.Conn
	// deadline is zero if there is none.
	deadline time.Time
}

// Read implements net.Conn.
func (c idleTimeoutConn) Read(b []byte) (int, error) {
	readDeadline := time.Now().Add(watchIdleTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(readDeadline) {
		readDeadline = c.deadline
	}
	if err := c.Conn.SetReadDeadline(readDeadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// streamEvents opens a watch and calls handle for each event until handle returns
// false or an error, the connection is lost (a *noResponseError), or the deadline
// has passed. It returns errRevisionGone if since is too old. path must contain a
// query.
func (c *Client) streamEvents(path string, since uint64, deadline time.Time, handle func(watchEvent) (bool, error)) error {
	var conn net.Conn
	httpClient := &fasthttp.Client{
		Name: "cardamomctl", StreamResponseBody: true, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			dialed, err := fasthttp.DialTimeout(address, watchIdleTimeout)
			if err != nil {
				return nil, err
			}
			conn = idleTimeoutConn{Conn: dialed, deadline: deadline}
			return conn, nil
		},
	}
	defer func() {
		// The response body has no end, so the connection can't be reused.
		if conn != nil {
			_ = conn.Close()
		}
	}()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(fmt.Sprintf("%s%s&since=%d", c.operatorURL, path, since))
	if err := httpClient.Do(req, res); err != nil {
		return &noResponseError{maybeSent: !isDialError(err), err: errors.Annotatef(err, "watch %s", path)}
	}
	switch status := res.StatusCode(); {
	case status == fasthttp.StatusGone:
		return errRevisionGone
	case status/100 != 2:
		return statusError("watch "+path, &response{Status: status, Body: res.Body()})
	}
	return readEvents(res, path, handle)
}

func readEvents(res *fasthttp.Response, path string, handle func(watchEvent) (bool, error)) error {
	lines := bufio.NewScanner(res.BodyStream())
	lines.Buffer(nil, maxEventLineBytes)
	for lines.Scan() {
		var e watchEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return &noResponseError{maybeSent: true, err: errors.Annotatef(err, "watch %s: event %.200s", path, lines.Bytes())}
		}
		if more, err := handle(e); err != nil || !more {
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = errors.New("the server ended the stream")
	}
	return &noResponseError{maybeSent: true, err: errors.Annotatef(err, "watch %s", path)}
}
