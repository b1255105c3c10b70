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
	return c.callUntil(method, base, path, body, c.deadline)
}

func (c *Client) callUntil(method, base, path string, body any, until time.Time) (*response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(base + path)
	req.Header.SetMethod(method)
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

// apiError is the body of an error response.
type apiError struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Reason  string `json:"reason"`
	// ResourceVersion is the current version, in a conflict.
	ResourceVersion uint64 `json:"resourceVersion"`
}

// reasonUnknown is the reason of a change whose outcome the server can't tell.
const reasonUnknown = "unknown"

// resource calls the Resource API and decodes a 2xx body into out. Other
// statuses become errors with their exit codes. A lost response to a change
// is an unknown outcome.
func (c *Client) resource(method, path string, body, out any) error {
	res, err := c.call(method, c.operator, path, body)
	if err != nil {
		return lost(err, method != fasthttp.MethodGet)
	}
	if res.Status/100 != 2 {
		return statusError(method+" "+path, res)
	}
	if out == nil || len(res.Body) == 0 {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(res.Body, out), "decoding the response to %s %s", method, path)
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

func statusError(step string, res *response) error {
	var body apiError
	if json.Unmarshal(res.Body, &body) != nil {
		body.Error = string(res.Body)
	}
	text := body.Error
	if text == "" {
		text = body.Message
	}
	if len(text) > 2000 {
		text = text[:2000]
	}
	err := errors.Errorf("%s: status %d: %s", step, res.Status, text)
	if body.ResourceVersion != 0 {
		err = errors.Errorf("%s (current resourceVersion %d)", err, body.ResourceVersion)
	}
	return &codeError{code: statusCode(res.Status, body.Reason), err: err}
}

func statusCode(status int, reason string) int {
	switch {
	case reason == reasonUnknown:
		return ExitUnknown
	case status == fasthttp.StatusConflict:
		return ExitConflict
	case status == fasthttp.StatusUnprocessableEntity, status == fasthttp.StatusTooManyRequests:
		return ExitRefused
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusBadGateway:
		return ExitUnavailable
	case status == fasthttp.StatusGatewayTimeout:
		return ExitUnknown
	}
	return ExitError
}
