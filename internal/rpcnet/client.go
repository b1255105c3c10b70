package rpcnet

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrNotSent means that no part of a call was sent to the peer, or that the peer had no room
	// for it (ErrNoRoom) and has not carried it out.
	ErrNotSent = errors.ConstError("call not sent")
	// ErrReplyLost means that a call may have reached the peer, but no reply came.
	ErrReplyLost = errors.ConstError("reply lost")
)

// Error describes a failed call.
type Error struct {
	// Op is the failed operation: the method, or "dial".
	Op string
	// Peer is the address of the peer.
	Peer string
	// Kind is ErrNotSent, ErrReplyLost, or nil if the peer replied with an error.
	Kind error
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + " at " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Kind == nil {
		return []error{e.Err}
	}
	return []error{e.Kind, e.Err}
}

// DialTimeout is the time limit for opening a connection.
const DialTimeout = 2 * time.Second

// DialFunc opens a connection to an "ip:port".
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Client calls one peer over one connection. The next call opens a connection if
// none is open. Client is safe for concurrent use.
type Client struct {
	addr string
	dial DialFunc
	// OnDisconnect, if not nil, is called when a connection ends while the client
	// is not closed, except after a response body that can't be decoded. Two calls are
	// at least minDisconnectInterval apart, and one call may stand for several
	// connections. It must be set before the first call and must not block.
	OnDisconnect func()
	// sent and received count bytes on the wire.
	sent, received atomic.Int64

	mu        sync.Mutex // guards the fields below
	rpcClient *rpc.Client
	codec     *clientCodec // the codec of rpcClient
	closed    bool
	// disconnectReportedAt is the time of the last call of OnDisconnect, and
	// disconnectPending is true if the next one is due.
	disconnectReportedAt time.Time
	disconnectPending    bool

	dialMu sync.Mutex // serializes dials
}

// NewClient returns a client of the peer at addr. The first call connects.
func NewClient(addr string) *Client { return NewClientWithDialer(addr, nil) }

// NewClientWithDialer returns a client that connects with dial; nil selects TCP.
func NewClientWithDialer(addr string, dial DialFunc) *Client {
	if dial == nil {
		dial = dialTCP
	}
	return &Client{addr: addr, dial: dial}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// ByteCounts returns the number of bytes sent and received so far.
func (c *Client) ByteCounts() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// Call calls a method and waits for the reply or the end of ctx. Errors are
// of type *Error.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	cl, err := c.connectedClient(ctx)
	if err != nil {
		return &Error{Op: "dial", Peer: c.addr, Kind: ErrNotSent, Err: err}
	}
	request := &trackedRequest{body: args}
	call := cl.Go(method, request, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return &Error{Op: method, Peer: c.addr, Kind: ErrReplyLost, Err: ctx.Err()}
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	switch isRemote := errors.As(call.Error, &remote); {
	case isRemote && remote.Error() == ErrNoRoom.Error():
		return &Error{Op: method, Peer: c.addr, Kind: ErrNotSent, Err: ErrNoRoom}
	case isRemote:
		return &Error{Op: method, Peer: c.addr, Err: call.Error}
	}
	kind := ErrReplyLost
	if !request.mayBeSent.Load() {
		kind = ErrNotSent
	}
	// A frame that was too large to send does not affect the connection.
	if kind == ErrReplyLost || !errors.Is(call.Error, ErrBadFrame) {
		c.closeClient(cl)
	}
	return &Error{Op: method, Peer: c.addr, Kind: kind, Err: call.Error}
}

func (c *Client) connectedClient(ctx context.Context) (*rpc.Client, error) {
	if cl, err := c.currentClient(); cl != nil || err != nil {
		return cl, err
	}
	c.dialMu.Lock()
	defer c.dialMu.Unlock()
	if cl, err := c.currentClient(); cl != nil || err != nil {
		return cl, err
	}
	conn, err := c.dial(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	codec := &clientCodec{framer: newFramer(&countingConn{Conn: conn, sent: &c.sent, received: &c.received})}
	codec.onDisconnect = func() { c.connectionLost(codec) }
	cl := rpc.NewClientWithCodec(codec)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		cl.Close()
		return nil, rpc.ErrShutdown
	}
	c.rpcClient, c.codec = cl, codec
	return cl, nil
}

// minDisconnectInterval is the least time between two calls of OnDisconnect. Callers use
// OnDisconnect to call the peer again at once, and a peer that closes each connection
// would be called without a pause.
const minDisconnectInterval = 250 * time.Millisecond

// connectionLost handles the end of the connection of codec. The next call opens
// a new connection.
func (c *Client) connectionLost(codec *clientCodec) {
	c.mu.Lock()
	if c.codec == codec {
		c.rpcClient, c.codec = nil, nil
	}
	report := !c.closed && c.OnDisconnect != nil && !c.disconnectPending
	wait := time.Until(c.disconnectReportedAt.Add(minDisconnectInterval))
	c.disconnectPending = c.disconnectPending || report
	c.mu.Unlock()
	codec.Close()
	switch {
	case !report:
	case wait > 0:
		time.AfterFunc(wait, c.reportDisconnect)
	default:
		c.reportDisconnect()
	}
}

// reportDisconnect calls OnDisconnect unless the client is closed.
func (c *Client) reportDisconnect() {
	c.mu.Lock()
	closed := c.closed
	c.disconnectReportedAt, c.disconnectPending = time.Now(), false
	c.mu.Unlock()
	if !closed {
		c.OnDisconnect()
	}
}

func (c *Client) currentClient() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, rpc.ErrShutdown
	}
	return c.rpcClient, nil
}

func (c *Client) closeClient(cl *rpc.Client) {
	c.mu.Lock()
	if c.rpcClient == cl {
		c.rpcClient = nil
	}
	c.mu.Unlock()
	cl.Close()
}

// CallWithTimeout calls a method with a timeout. A call that times out closes the
// connection, because a connection without an answer may never deliver one.
func (c *Client) CallWithTimeout(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.Call(ctx, method, args, reply)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Reset()
	}
	return err
}

// Reset closes the connection, so that the next call opens a new one.
func (c *Client) Reset() {
	c.mu.Lock()
	cl := c.rpcClient
	c.rpcClient = nil
	c.mu.Unlock()
	if cl != nil {
		cl.Close()
	}
}

// Close closes the connection; later calls fail with ErrNotSent.
func (c *Client) Close() error {
	c.mu.Lock()
	cl := c.rpcClient
	c.rpcClient = nil
	c.closed = true
	c.mu.Unlock()
	if cl != nil {
		return cl.Close()
	}
	return nil
}

type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	processTraffic.receivedBytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	processTraffic.sentBytes.Add(int64(n))
	return n, err
}
