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
	// streamSilence is the longest silence of a watch before its connection
	// counts as lost: some heartbeats of the server.
	streamSilence = 20 * time.Second
	// maxEventLine bounds one line of a watch in bytes.
	maxEventLine = 4 << 20
)

// watchEvent is one line of a watch as resourceapi.Event writes it.
type watchEvent struct {
	Type     string           `json:"type"`
	Revision uint64           `json:"revision,omitempty"`
	Resource *resource.Ref    `json:"resource,omitempty"`
	Object   *object          `json:"object,omitempty"`
	Status   *resource.Status `json:"status,omitempty"`
}

// errGone means that the server no longer knows the changes since the revision.
const errGone = errors.ConstError("revision no longer known")

// idleConn ends a read after some silence, or at a fixed time.
type idleConn struct {
	net.Conn
	// end is zero if there is none.
	end time.Time
}

// Read implements net.Conn.
func (c idleConn) Read(b []byte) (int, error) {
	until := time.Now().Add(streamSilence)
	if !c.end.IsZero() && c.end.Before(until) {
		until = c.end
	}
	if err := c.Conn.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// stream opens a watch and calls each for every event until each returns false
// or an error, the connection is lost (a *lostError), or end has come. It
// returns errGone if since is too old. The path has a query.
func (c *Client) stream(path string, since uint64, end time.Time, each func(watchEvent) (bool, error)) error {
	var conn net.Conn
	client := &fasthttp.Client{
		Name: "cardamomctl", StreamResponseBody: true, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			dialed, err := fasthttp.DialTimeout(address, streamSilence)
			if err != nil {
				return nil, err
			}
			conn = idleConn{Conn: dialed, end: end}
			return conn, nil
		},
	}
	defer func() {
		// The stream has no end, so its connection can't be used again.
		if conn != nil {
			_ = conn.Close()
		}
	}()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(fmt.Sprintf("%s%s&since=%d", c.operator, path, since))
	if err := client.Do(req, res); err != nil {
		return &lostError{sent: !isDial(err), err: errors.Annotatef(err, "watch %s", path)}
	}
	switch status := res.StatusCode(); {
	case status == fasthttp.StatusGone:
		return errGone
	case status/100 != 2:
		return statusError("watch "+path, &response{Status: status, Body: res.Body()})
	}
	return readEvents(res, path, each)
}

func readEvents(res *fasthttp.Response, path string, each func(watchEvent) (bool, error)) error {
	lines := bufio.NewScanner(res.BodyStream())
	lines.Buffer(nil, maxEventLine)
	for lines.Scan() {
		var e watchEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return &lostError{sent: true, err: errors.Annotatef(err, "watch %s: event %.200s", path, lines.Bytes())}
		}
		if more, err := each(e); err != nil || !more {
			return err
		}
	}
	err := lines.Err()
	if err == nil {
		err = errors.New("the server ended the stream")
	}
	return &lostError{sent: true, err: errors.Annotatef(err, "watch %s", path)}
}
