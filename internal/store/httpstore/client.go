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
	// DefaultTimeout bounds the duration of a call other than a watch.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchWait is the time that a watch asks the server to wait for a
	// change.
	DefaultWatchWait = 20 * time.Second

	maxResponseBytes    = 64 << 20
	maxConns            = 32
	maxIdleConnDuration = 30 * time.Second
)

// Settings configure a client.
type Settings struct {
	// Address is the "host:port" of the server.
	Address string `json:"address"`
	// TimeoutMs bounds the duration of each call, in milliseconds; zero selects
	// DefaultTimeout. A watch may take longer by its waiting time.
	TimeoutMs int64 `json:"timeoutMs,omitempty"`
	// WatchWaitMs is the time that a watch waits for a change, in milliseconds;
	// zero selects DefaultWatchWait.
	WatchWaitMs int64 `json:"watchWaitMs,omitempty"`
}

// Client implements store.Store over HTTP. Its methods are safe for concurrent
// use.
type Client struct {
	http      fasthttp.Client
	baseURL   string
	timeout   time.Duration
	watchWait time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client, which opens connections on demand. Errors satisfy
// errors.IsNotValid.
func New(s Settings) (*Client, error) {
	if _, _, err := net.SplitHostPort(s.Address); err != nil {
		return nil, errors.NotValidf("store address %q (want host:port)", s.Address)
	}
	if s.TimeoutMs < 0 || s.WatchWaitMs < 0 {
		return nil, errors.NotValidf("store timeout %d ms, watch wait %d ms (want 0 or more)", s.TimeoutMs, s.WatchWaitMs)
	}
	c := &Client{
		baseURL:   "http://" + s.Address,
		timeout:   durationOrDefault(s.TimeoutMs, DefaultTimeout),
		watchWait: durationOrDefault(s.WatchWaitMs, DefaultWatchWait),
	}
	c.http = fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdleConnDuration,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		// After a retried write, the client could not tell whether the first
		// attempt took effect.
		RetryIfErr:  func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		DialTimeout: dial,
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	var kv store.KeyValue
	err := c.call(ctx, PathGet, GetRequest{Key: key}, &kv, c.timeout)
	return kv, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.KeyValue, uint64, error) {
	var r ListResponse
	err := c.call(ctx, PathList, ListRequest{Prefix: prefix}, &r, c.timeout)
	return r.Entries, r.Version, err
}

// CompareAndSwap implements store.Store. If the value is too large or the server
// rejects the request as invalid, the error satisfies errors.IsNotValid.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease store.LeaseID) (uint64, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes (at most %d)", len(value), store.MaxValueBytes)
	}
	var r CompareAndSwapResponse
	err := c.call(ctx, PathCompareAndSwap, CompareAndSwapRequest{Key: key, Value: value, Version: version, Lease: lease}, &r, c.timeout)
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
	return c.call(ctx, PathKeepAlive, LeaseMessage{Lease: id}, &EmptyResponse{}, c.timeout)
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, PathRevoke, LeaseMessage{Lease: id}, &EmptyResponse{}, c.timeout)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, version uint64) ([]store.Event, uint64, error) {
	r := WatchResponse{Version: version}
	req := WatchRequest{Prefix: prefix, Version: version, WaitMs: c.watchWait.Milliseconds()}
	err := c.call(ctx, PathWatch, req, &r, c.watchWait+c.timeout)
	if err != nil && ctx.Err() != nil {
		return nil, version, nil
	}
	return r.Events, r.Version, err
}

// call sends one request and decodes its response.
func (c *Client) call(ctx context.Context, path string, in, out any, timeout time.Duration) error {
	write := isWrite(path)
	if err := ctx.Err(); err != nil {
		return annotate(store.ErrUnavailable, path, c.baseURL, err)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Annotate(err, path)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan response, 1)
	go func() { done <- c.send(path, body, deadline) }()
	select {
	case r := <-done:
		return r.decode(path, c.baseURL, write, out)
	case <-ctx.Done():
		// The request may still be in progress; send returns at the deadline.
		return annotate(unknownEffectError(write), path, c.baseURL, ctx.Err())
	}
}

// response is the status and body of an HTTP response, or a transport error.
type response struct {
	status int
	body   []byte
	err    error
}

func (c *Client) send(path string, body []byte, deadline time.Time) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return response{err: err}
	}
	return response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}

func durationOrDefault(ms int64, defaultValue time.Duration) time.Duration {
	if ms == 0 {
		return defaultValue
	}
	return time.Duration(ms) * time.Millisecond
}
