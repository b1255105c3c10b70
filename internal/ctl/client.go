package ctl

import (
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// maxResponse is the largest response body in bytes.
const maxResponse = 256 << 20

// Client calls both APIs within one deadline. It is used by one goroutine.
type Client struct {
	http     *fasthttp.Client
	server   string
	operator string
	deadline time.Time
}

func (p *program) client() *Client { return NewClient(p.server, p.operator, p.timeout) }

// NewClient returns a client of a caller API and an operator API, given by
// "ip:port" or URL, whose calls together take at most timeout.
func NewClient(server, operator string, timeout time.Duration) *Client {
	return &Client{
		http: &fasthttp.Client{
			Name:                "cardamomctl",
			MaxResponseBodySize: maxResponse,
			// The commands decide themselves what may be repeated.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		server:   baseURL(server),
		operator: baseURL(operator),
		deadline: time.Now().Add(timeout),
	}
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// response is what a server answered.
type response struct {
	Status int
	Body   []byte
	// Prefix is the submission prefix of the answering entry instance.
	Prefix string
}

// lostError means that no response arrived.
type lostError struct {
	// sent is false if the request certainly did not reach the server.
	sent bool
	err  error
}

// Error returns the text of the cause.
func (e *lostError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *lostError) Unwrap() error { return e.err }

// call sends one request with an optional JSON body. The error is a *lostError
// if no response arrived.
func (c *Client) call(method, base, path string, body any) (*response, error) {
	return c.callUntil(method, base, path, body, nil, c.deadline)
}

// callUntil is call with request headers and a deadline of its own.
func (c *Client) callUntil(method, base, path string, body any, headers map[string]string, until time.Time) (*response, error) {
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
	if err := c.http.DoDeadline(req, res, until); err != nil {
		return nil, &lostError{sent: !isDial(err), err: errors.Annotatef(err, "%s %s%s", method, base, path)}
	}
	return &response{
		Status: res.StatusCode(),
		Body:   append([]byte(nil), res.Body()...),
		Prefix: string(res.Header.Peek(jobapi.HeaderSubmissionPrefix)),
	}, nil
}

// isDial reports whether the connection was never established.
func isDial(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &op) && op.Op == "dial"
}

// resource reads from the Resource API and decodes a 2xx body into out. Other
// statuses become errors with their exit codes.
func (c *Client) resource(path string, out any) error {
	res, err := c.call(fasthttp.MethodGet, c.operator, path, nil)
	if err != nil {
		return lost(err, false)
	}
	if res.Status/100 != 2 {
		return statusError("GET "+path, res)
	}
	return errors.Annotatef(json.Unmarshal(res.Body, out), "decoding the response to GET %s", path)
}

// lost returns the error for a response that did not arrive.
func lost(err error, change bool) error {
	var l *lostError
	if !errors.As(err, &l) {
		return err
	}
	if l.sent && change {
		return &codeError{ExitUnknown, errors.Annotate(err, "outcome unknown, read before repeating")}
	}
	return &codeError{ExitUnavailable, err}
}
