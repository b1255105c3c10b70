package sidecar

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Headers of the calls of backend servers.
const (
	HeaderSubmission = "Cardamom-Submission"
	HeaderTask       = "Cardamom-Task"
	HeaderKind       = "Cardamom-Kind"
	HeaderTeam       = "Cardamom-Team"
	HeaderDeadlineMs = "Cardamom-Deadline-Ms"
	HeaderLeaseMs    = "Cardamom-Lease-Ms"
	// HeaderNotRun with the value "true" in a 503 response proves that the
	// backend server did not start the task.
	HeaderNotRun = "Cardamom-Not-Run"
	// PathRun is the path of a backend server that runs a task.
	PathRun = "/run"
)

const (
	// MaxResult is the largest result body in bytes.
	MaxResult = 1 << 20
	// maxErrorText bounds the part of an error body that is passed on.
	maxErrorText = 1 << 10
	dialTimeout  = time.Second
	// maxIdle is how long an idle connection is kept.
	maxIdle = 10 * time.Second
)

const (
	// errDial marks failures to connect.
	errDial = errors.ConstError("no connection")
	// errStale marks an idle connection that the backend server had closed
	// before any byte of the request was written.
	errStale = errors.ConstError("request not written")
)

// backendClient calls one backend server.
type backendClient struct {
	address string // for errors
	url     string
	hc      *fasthttp.HostClient

	mu     sync.Mutex // guards the fields below
	conns  map[net.Conn]struct{}
	closed bool
}

func newBackendClient(b *wire.Backend) (*backendClient, error) {
	host, base, err := announce.SplitAddress(b.Address)
	if err != nil {
		return nil, err
	}
	c := &backendClient{address: host, url: "http://" + host + base + PathRun, conns: map[net.Conn]struct{}{}}
	c.hc = &fasthttp.HostClient{
		Addr:                      host,
		Name:                      "cardamomturn-sidecar",
		Dial:                      c.dial,
		MaxConns:                  b.MaxConnections,
		MaxIdleConnDuration:       maxIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       MaxResult,
		DisablePathNormalizing:    true,
	}
	return c, nil
}

func (c *backendClient) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errDial)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, errors.Annotate(errDial, "the sidecar stops")
	}
	t := &taskConn{Conn: conn, owner: c}
	c.conns[t] = struct{}{}
	return t, nil
}

// abort closes all connections, which ends all running calls.
func (c *backendClient) abort() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[net.Conn]struct{}{}
	c.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}

// taskConn finds out before a request is written whether the backend server
// has closed an idle connection, since the request then provably did not run.
type taskConn struct {
	net.Conn
	owner *backendClient
	// wrote is true from the first write of a request to the first read of
	// its response. Only the first write can prove that nothing was sent.
	wrote bool
}

// Write implements net.Conn.
func (t *taskConn) Write(p []byte) (int, error) {
	if !t.wrote && closedByPeer(t.Conn) {
		return 0, errors.Annotate(errStale, "idle connection closed by the backend server")
	}
	t.wrote = true
	return t.Conn.Write(p)
}

// Read implements net.Conn.
func (t *taskConn) Read(p []byte) (int, error) {
	t.wrote = false
	return t.Conn.Read(p)
}

// Close implements net.Conn.
func (t *taskConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.conns, t)
	t.owner.mu.Unlock()
	return t.Conn.Close()
}

// run runs a task on the backend server. Refused is true if the backend
// server did not accept a connection.
func (c *backendClient) run(start wire.Start, maxRun time.Duration) (result wire.TaskResult, refused bool) {
	limit := maxRun
	if start.TimeLeftMs > 0 && start.TimeLeftMs < maxRun.Milliseconds() {
		limit = time.Duration(start.TimeLeftMs) * time.Millisecond
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderSubmission, start.Task.Submission)
	req.Header.Set(HeaderTask, strconv.Itoa(start.Task.Index))
	req.Header.Set(HeaderKind, start.Class.Kind)
	req.Header.Set(HeaderTeam, start.Class.Team)
	ms := strconv.FormatInt(limit.Milliseconds(), 10)
	req.Header.Set(HeaderDeadlineMs, ms)
	req.Header.Set(HeaderLeaseMs, ms)
	req.SetBodyRaw(start.Payload)
	began := time.Now()
	err := c.hc.DoTimeout(req, resp, limit)
	if errors.Is(err, errStale) {
		// Nothing was sent; the other idle connections may be stale as well.
		c.hc.CloseIdleConnections()
		err = c.hc.DoTimeout(req, resp, limit)
	}
	result = wire.TaskResult{Task: start.Task, Credit: start.Credit, RunMs: time.Since(began).Milliseconds()}
	if err != nil {
		result.State, result.Error = c.classify(err)
		return result, errors.Is(err, errDial)
	}
	c.read(resp, &result)
	return result, false
}

func (c *backendClient) classify(err error) (jobapi.TaskState, string) {
	text := fmt.Sprintf("run at %s: %.*s", c.address, maxErrorText, err.Error())
	switch {
	case errors.Is(err, errDial), errors.Is(err, errStale), errors.Is(err, fasthttp.ErrNoFreeConns):
		return jobapi.TaskNotRun, text
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return jobapi.TaskFailed, fmt.Sprintf("run at %s: result above %d bytes", c.address, MaxResult)
	case errors.Is(err, fasthttp.ErrTimeout):
		return jobapi.TaskMayHaveRun, fmt.Sprintf("run at %s: deadline passed", c.address)
	}
	return jobapi.TaskMayHaveRun, text
}

func (c *backendClient) read(resp *fasthttp.Response, result *wire.TaskResult) {
	code, body := resp.StatusCode(), resp.Body()
	switch {
	case code >= 200 && code < 300:
		result.State = jobapi.TaskCompleted
		result.Body = jsonBody(body)
		if len(result.Body) > MaxResult {
			result.State, result.Body = jobapi.TaskFailed, nil
			result.Error = fmt.Sprintf("run at %s: result above %d bytes", c.address, MaxResult)
		}
		return
	case code == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderNotRun)) == "true":
		result.State = jobapi.TaskNotRun
	default:
		result.State = jobapi.TaskFailed
	}
	result.Error = fmt.Sprintf("run at %s: status %d: %.*s", c.address, code, maxErrorText, body)
}

// jsonBody returns a copy of the body if it is JSON, else the body as a JSON
// string.
func jsonBody(body []byte) []byte {
	switch {
	case len(body) == 0:
		return nil
	case json.Valid(body):
		return append([]byte(nil), body...)
	}
	text, err := json.Marshal(string(body))
	if err != nil {
		return nil
	}
	return text
}
