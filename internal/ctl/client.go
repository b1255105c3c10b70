package ctl

import (
	"encoding/json"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// maxResponseBytes is the largest response body.
const maxResponseBytes = 256 << 20

// Client calls the caller API and the operator API. All its calls share one
// deadline. It is not safe for concurrent use.
type Client struct {
	http        requester
	clock       clock.Clock
	callerURL   string
	operatorURL string
	deadline    time.Time
	// connected is true once any connection has been established.
	connected atomic.Bool
}

// requester sends HTTP requests.
type requester interface {
	// DoDeadline sends a request and waits for the response until the deadline.
	DoDeadline(req *fasthttp.Request, res *fasthttp.Response, deadline time.Time) error
}

func (p *program) newClient() *Client { return p.connect(p.server, p.operator, p.timeout) }

// NewClient returns a client of the caller API at server and the operator API at
// operator, which are "ip:port" or URLs. The deadline of all calls is timeout from
// now.
func NewClient(server, operator string, timeout time.Duration) *Client {
	c := &Client{
		clock:       clock.Real{},
		callerURL:   baseURL(server),
		operatorURL: baseURL(operator),
		deadline:    time.Now().Add(timeout),
	}
	c.http = &fasthttp.Client{
		Name:                "cardamomctl",
		MaxResponseBodySize: maxResponseBytes,
		DialTimeout:         c.dial,
		// The commands decide which requests may be repeated.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

// dial connects to an address. A timeout of zero selects that of fasthttp.
func (c *Client) dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	conn, err := fasthttp.DialTimeout(address, timeout)
	if err == nil {
		c.connected.Store(true)
	}
	return conn, err
}

// remaining returns the time until the deadline.
func (c *Client) remaining() time.Duration { return c.deadline.Sub(c.clock.Now()) }

// sleep waits until d has passed.
func (c *Client) sleep(d time.Duration) { <-c.clock.After(d) }

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// response is the response of a server.
type response struct {
	Status int
	Body   []byte
	// SubmissionPrefix is the submission prefix of the entry instance that
	// responded.
	SubmissionPrefix string
}

// noResponseError means that no response to a request arrived, or that the stream
// of a watch broke.
type noResponseError struct {
	// maybeSent is false only if the request can't have reached the server.
	maybeSent bool
	err       error
}

// Error returns the text of the cause.
func (e *noResponseError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *noResponseError) Unwrap() error { return e.err }

// call sends one request with an optional JSON body. The error is a
// *noResponseError if no response arrived.
func (c *Client) call(method, base, path string, body any) (*response, error) {
	return c.callWithDeadline(method, base, path, body, nil, c.deadline)
}

// callWithDeadline is call with request headers and its own deadline.
func (c *Client) callWithDeadline(method, base, path string, body any, headers map[string]string, deadline time.Time) (*response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(base + path)
	req.Header.SetMethod(method)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Annotate(err, "encoding request")
		}
		req.SetBody(data)
		req.Header.SetContentType("application/json")
	}
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		return nil, &noResponseError{maybeSent: c.connected.Load() && !isDialError(err), err: errors.Annotatef(err, "%s %s%s", method, base, path)}
	}
	return &response{
		Status:           res.StatusCode(),
		Body:             append([]byte(nil), res.Body()...),
		SubmissionPrefix: string(res.Header.Peek(jobapi.HeaderSubmissionPrefix)),
	}, nil
}

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &opErr) && opErr.Op == "dial"
}

// getJSON sends a GET request to the operator API and decodes a 2xx body into
// out. Any other status becomes an error with its exit code.
func (c *Client) getJSON(path string, out any) error {
	res, err := c.call(fasthttp.MethodGet, c.operatorURL, path, nil)
	if err != nil {
		return callError(err, false)
	}
	if res.Status/100 != 2 {
		return statusError("GET "+path, res)
	}
	return errors.Annotatef(json.Unmarshal(res.Body, out), "decoding the response to GET %s", path)
}

// callError adds an exit code to a *noResponseError and returns any other error
// unchanged. isChange says whether the request changes state on the server.
func callError(err error, isChange bool) error {
	var noResponse *noResponseError
	if !errors.As(err, &noResponse) {
		return err
	}
	if noResponse.maybeSent && isChange {
		return &exitError{ExitUnknown, errors.Annotate(err, "outcome unknown; read the current state before you repeat the command")}
	}
	return &exitError{ExitUnavailable, err}
}
