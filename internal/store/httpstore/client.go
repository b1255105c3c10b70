package httpstore

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/store"
)

const (
	// DefaultTimeout bounds a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchWait is how long a watch asks the service to wait.
	DefaultWatchWait = 20 * time.Second

	maxResponse  = 64 << 20
	maxConns     = 32
	maxIdleConns = 30 * time.Second
)

// Settings configure a client.
type Settings struct {
	// Address is the "host:port" of the service.
	Address string `json:"address"`
	// TimeoutMs bounds each call, in milliseconds; zero selects
	// DefaultTimeout. A watch may take DefaultWatchWait longer.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// WatchWaitMs is the waiting time of a watch in milliseconds; zero selects
	// DefaultWatchWait.
	WatchWaitMs int64 `json:"watchWaitMs,omitempty"`
}

// Client implements store.Store over HTTP. Its methods may be called from
// several goroutines.
type Client struct {
	http    fasthttp.Client
	base    string
	timeout time.Duration
	wait    time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client; it opens connections when it needs them. Errors
// satisfy errors.IsNotValid.
func New(s Settings) (*Client, error) {
	if _, _, err := net.SplitHostPort(s.Address); err != nil {
		return nil, errors.NotValidf("store address %q (want host:port)", s.Address)
	}
	if s.TimeoutMs < 0 || s.WatchWaitMs < 0 {
		return nil, errors.NotValidf("store timeout %d ms, watch wait %d ms (want 0 or more)", s.TimeoutMs, s.WatchWaitMs)
	}
	c := &Client{
		base:    "http://" + s.Address,
		timeout: orDefault(s.TimeoutMs, DefaultTimeout),
		wait:    orDefault(s.WatchWaitMs, DefaultWatchWait),
	}
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdleConns,
		MaxResponseBodySize:       maxResponse,
		MaxIdemponentCallAttempts: 1,
		// A repeated write would hide whether the first one took effect.
		RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: dial,
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var e store.Entry
	err := c.call(ctx, PathGet, GetRequest{Key: key}, &e, c.timeout)
	return e, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	var r ListResponse
	err := c.call(ctx, PathList, ListRequest{Prefix: prefix}, &r, c.timeout)
	return r.Entries, r.Version, err
}

// CompareAndSwap implements store.Store. A request that the service finds
// invalid satisfies errors.IsNotValid.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease store.LeaseID) (uint64, error) {
	if len(value) > store.MaxValue {
		return 0, errors.NotValidf("value of %d bytes (at most %d)", len(value), store.MaxValue)
	}
	var r SwapResponse
	err := c.call(ctx, PathCompareAndSwap, SwapRequest{Key: key, Value: value, Version: version, Lease: lease}, &r, c.timeout)
	return r.Version, err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var r LeaseMessage
	err := c.call(ctx, PathGrant, GrantRequest{TTLMs: ttl.Milliseconds()}, &r, c.timeout)
	return r.Lease, err
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, PathKeepAlive, LeaseMessage{Lease: id}, &Empty{}, c.timeout)
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseMessage{Lease: id}, &Empty{}, c.timeout)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	r := WatchResponse{Version: version}
	req := WatchRequest{Prefix: prefix, Version: version, WaitMs: c.wait.Milliseconds()}
	err := c.call(ctx, PathWatch, req, &r, c.wait+c.timeout)
	if err != nil && ctx.Err() != nil {
		return nil, version, nil
	}
	return r.Events, r.Version, err
}

// call sends one request and decodes its response.
func (c *Client) call(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	write := writes(path)
	if err := ctx.Err(); err != nil {
		return failure(store.ErrUnavailable, path, c.base, err)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Annotate(err, path)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan answer, 1)
	go func() { done <- c.send(path, body, deadline) }()
	select {
	case a := <-done:
		return a.decode(path, c.base, write, out)
	case <-ctx.Done():
		// The request may be on its way; it ends at the deadline.
		return failure(outcome(write), path, c.base, ctx.Err())
	}
}

// answer is a status with its body, or an error.
type answer struct {
	status int
	body   []byte
	err    error
}

func (c *Client) send(path string, body []byte, deadline time.Time) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

func orDefault(ms int64, otherwise time.Duration) time.Duration {
	if ms == 0 {
		return otherwise
	}
	return time.Duration(ms) * time.Millisecond
}
