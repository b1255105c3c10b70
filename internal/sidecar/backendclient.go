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

// Headers and path of the requests to backend servers.
const (
	HeaderSubmission = "Cardamom-Submission"
	HeaderTask       = "Cardamom-Task"
	HeaderKind       = "Cardamom-Kind"
	HeaderTeam       = "Cardamom-Team"
	HeaderDeadlineMs = "Cardamom-Deadline-Ms"
	HeaderLeaseMs    = "Cardamom-Lease-Ms"
	// HeaderNotRun with the value "true" in a 503 response states that the backend
	// server did not start the task.
	HeaderNotRun = "Cardamom-Not-Run"
	// PathRun is the path to which the sidecar posts a task.
	PathRun = "/run"
)

const (
	// MaxResultBodyBytes bounds the body of one result.
	MaxResultBodyBytes = 1 << 20
	// maxErrorBytes bounds the part of an error text or error body that a result
	// includes.
	maxErrorBytes = 1 << 10
	dialTimeout   = time.Second
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 10 * time.Second
)

const (
	// errConnect marks failures to connect.
	errConnect = errors.ConstError("no connection")
	// errStaleConn marks an idle connection that the backend server had closed
	// before any byte of the request was written.
	errStaleConn = errors.ConstError("request not written")
)

// backendClient sends tasks to one backend server.
type backendClient struct {
	address    string // "host:port"
	url        string
	httpClient *fasthttp.HostClient

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
	c.httpClient = &fasthttp.HostClient{
		Addr:                      host,
		Name:                      "cardamomturn-sidecar",
		Dial:                      c.dial,
		MaxConns:                  b.MaxConnections,
		MaxIdleConnDuration:       idleConnTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       MaxResultBodyBytes,
		DisablePathNormalizing:    true,
	}
	return c, nil
}

func (c *backendClient) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.WithType(err, errConnect)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return nil, errors.Annotate(errConnect, "the sidecar is stopping")
	}
	bc := &backendConn{Conn: conn, client: c}
	c.conns[bc] = struct{}{}
	return bc, nil
}

// closeConns closes all connections, which ends all running calls, and prevents new
// ones.
func (c *backendClient) closeConns() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[net.Conn]struct{}{}
	c.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}

// backendConn checks before it writes a request whether the backend server has
// closed the idle connection. If so, the task provably did not run.
type backendConn struct {
	net.Conn
	client *backendClient
	// requestBegun is true from the first write of a request until the first read
	// of its response. Only a failure of the first write proves that no part of the
	// request was sent.
	requestBegun bool
}

// Write implements net.Conn.
func (bc *backendConn) Write(p []byte) (int, error) {
	if !bc.requestBegun && closedByPeer(bc.Conn) {
		return 0, errors.Annotate(errStaleConn, "idle connection closed by the backend server")
	}
	bc.requestBegun = true
	return bc.Conn.Write(p)
}

// Read implements net.Conn.
func (bc *backendConn) Read(p []byte) (int, error) {
	bc.requestBegun = false
	return bc.Conn.Read(p)
}

// Close implements net.Conn.
func (bc *backendConn) Close() error {
	bc.client.mu.Lock()
	delete(bc.client.conns, bc)
	bc.client.mu.Unlock()
	return bc.Conn.Close()
}

// runTask runs a task on the backend server and waits for its end. connectFailed is
// true if no connection to the backend server could be opened.
func (c *backendClient) runTask(start wire.Start, maxRunTime time.Duration) (result wire.TaskResult, connectFailed bool) {
	timeout := maxRunTime
	if start.TimeLeftMs > 0 && start.TimeLeftMs < maxRunTime.Milliseconds() {
		timeout = time.Duration(start.TimeLeftMs) * time.Millisecond
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
	timeoutMs := strconv.FormatInt(timeout.Milliseconds(), 10)
	req.Header.Set(HeaderDeadlineMs, timeoutMs)
	req.Header.Set(HeaderLeaseMs, timeoutMs)
	req.SetBodyRaw(start.Payload)
	startTime := time.Now()
	err := c.httpClient.DoTimeout(req, resp, timeout)
	if errors.Is(err, errStaleConn) {
		// No byte was sent, so a retry can't run the task twice. The other idle
		// connections may be stale as well.
		c.httpClient.CloseIdleConnections()
		err = c.httpClient.DoTimeout(req, resp, timeout)
	}
	result = wire.TaskResult{Task: start.Task, Credit: start.Credit, RunMs: time.Since(startTime).Milliseconds()}
	if err != nil {
		result.State, result.Error = c.classifyError(err)
		return result, errors.Is(err, errConnect)
	}
	c.readResponse(resp, &result)
	return result, false
}

// classifyError returns the task state and the error text for a failed call.
func (c *backendClient) classifyError(err error) (jobapi.TaskState, string) {
	text := fmt.Sprintf("run at %s: %.*s", c.address, maxErrorBytes, err.Error())
	switch {
	case errors.Is(err, errConnect), errors.Is(err, errStaleConn), errors.Is(err, fasthttp.ErrNoFreeConns):
		return jobapi.TaskNotRun, text
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return jobapi.TaskFailed, fmt.Sprintf("run at %s: result body larger than %d bytes", c.address, MaxResultBodyBytes)
	case errors.Is(err, fasthttp.ErrTimeout):
		return jobapi.TaskMayHaveRun, fmt.Sprintf("run at %s: deadline passed", c.address)
	}
	return jobapi.TaskMayHaveRun, text
}

// readResponse sets the state, the body and the error of the result.
func (c *backendClient) readResponse(resp *fasthttp.Response, result *wire.TaskResult) {
	code, body := resp.StatusCode(), resp.Body()
	switch {
	case code >= 200 && code < 300:
		result.State = jobapi.TaskCompleted
		result.Body = jsonBody(body)
		if len(result.Body) > MaxResultBodyBytes {
			result.State, result.Body = jobapi.TaskFailed, nil
			result.Error = fmt.Sprintf("run at %s: result body larger than %d bytes", c.address, MaxResultBodyBytes)
		}
		return
	case code == fasthttp.StatusServiceUnavailable && string(resp.Header.Peek(HeaderNotRun)) == "true":
		result.State = jobapi.TaskNotRun
	default:
		result.State = jobapi.TaskFailed
	}
	result.Error = fmt.Sprintf("run at %s: status %d: %.*s", c.address, code, maxErrorBytes, body)
}

// jsonBody returns a copy of the body if it is valid JSON, and otherwise the body as
// a JSON string. It returns nil for an empty body.
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
