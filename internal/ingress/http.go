package ingress

import (
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/event"
)

// Port describes an HTTP port.
type Port struct {
	// Name is a label of the port's metrics.
	Name string
	// Refuse writes the answer to a request that is refused with a status before it is handed
	// over; nil writes the status only.
	Refuse func(ctx *fasthttp.RequestCtx, status int)
	// FixedSizes is true for a port that callers don't use. The operator's sizes are not in force
	// there, since sizes that refuse callers must not make a readiness check fail.
	FixedSizes bool
}

// httpPort reads the bodies of an HTTP port's requests.
type httpPort struct {
	Port
	gate *Gate
	next fasthttp.RequestHandler
	// bodyBytes is the largest body of a request.
	bodyBytes int
}

// Guard makes a server read the bodies of its requests, of up to its MaxRequestBodySize, in steps of
// the gate's budget. The server's handler receives whole bodies. Guard must be called before the
// server serves a listener of the gate.
func (g *Gate) Guard(server *fasthttp.Server, port Port) {
	if g == nil {
		return
	}
	p := &httpPort{Port: port, gate: g, next: server.Handler, bodyBytes: server.MaxRequestBodySize}
	server.Handler = p.handle
	server.ExpectHandler = p.expect
	server.StreamRequestBody = true
	server.DisablePreParseMultipartForm = true
	// The server reads that much of a body before it calls the handler, which reads the rest.
	server.MaxRequestBodySize = 1
	answer := server.ErrorHandler
	server.ErrorHandler = func(ctx *fasthttp.RequestCtx, err error) { p.readFailed(ctx, err, answer) }
}

// readFailed answers a request whose header could not be read.
func (p *httpPort) readFailed(ctx *fasthttp.RequestCtx, err error, answer func(*fasthttp.RequestCtx, error)) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small) && answer == nil:
		p.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, headerTooLarge)
		return
	case errors.As(err, &small):
		p.gate.record(p.Name, headerTooLarge, ctx.Conn())
	}
	if answer != nil {
		answer(ctx, err)
		return
	}
	status := fasthttp.StatusBadRequest
	if isTimeout(err) {
		status = fasthttp.StatusRequestTimeout
	}
	p.write(ctx, status)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// expect answers a client that asks whether to send a body.
func (p *httpPort) expect(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() > p.bodyLimit() {
		p.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, bodyTooLarge)
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusContinue
}

// bodyLimit returns the largest body that is allowed now.
func (p *httpPort) bodyLimit() int {
	if limit := p.gate.limits.Load().MaxBodyBytes; limit > 0 && !p.FixedSizes {
		return min(limit, p.bodyBytes)
	}
	return p.bodyBytes
}

// headerTooLarge reports whether the header of a request is larger than the operator allows now.
// The server refuses one above the limit of the port.
func (p *httpPort) headerTooLarge(ctx *fasthttp.RequestCtx) bool {
	limit := p.gate.limits.Load().MaxHeaderBytes
	return limit > 0 && !p.FixedSizes && headerBytes(ctx) > limit
}

func (p *httpPort) handle(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*Conn)
	if !ok {
		// The listener is not one of the gate's.
		p.refuse(ctx, fasthttp.StatusInternalServerError, noRoom)
		return
	}
	defer p.recoverPanic(ctx)
	defer conn.Answer()
	if p.headerTooLarge(ctx) {
		p.refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, headerTooLarge)
		return
	}
	if !p.readBody(ctx, conn) {
		return
	}
	if !conn.Start() {
		p.write(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	p.next(ctx)
	p.gate.announceIdleTime(ctx)
	// The body would be kept until the client has read the answer.
	ctx.Request.ResetBody()
}

// recoverPanic must be deferred. After a panic in a handler, it closes the connection without an
// answer, because the outcome of the request is not known. Code that changes state ends the process
// (package failstop).
func (p *httpPort) recoverPanic(ctx *fasthttp.RequestCtx) {
	v := recover()
	if v == nil {
		return
	}
	event.LogRateLimited(event.HTTPPanic, "port", p.Name, "path", fmt.Sprintf("%.80q", ctx.Path()), "value", fmt.Sprint(v), "stack", string(debug.Stack()))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() }) // its client gets no answer in any case
}

// headerBytes returns the size of a request's line and header fields.
func headerBytes(ctx *fasthttp.RequestCtx) int {
	const lineExtra = len("  HTTP/1.1\r\n")
	h := &ctx.Request.Header
	return len(h.Method()) + len(h.RequestURI()) + lineExtra + len(h.RawHeaders())
}

// readBody reads the body of a request. It returns false after it has refused the request.
func (p *httpPort) readBody(ctx *fasthttp.RequestCtx, conn *Conn) bool {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return true
	}
	b := bodyReader{stream: stream, conn: conn, length: ctx.Request.Header.ContentLength(), limit: p.bodyLimit()}
	body, err := b.read()
	switch {
	case err == nil:
		ctx.Request.SetBodyRaw(body)
		return true
	case errors.Is(err, errBodyTooLarge):
		discard(conn)
		p.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, bodyTooLarge)
	case errors.Is(err, errNoRoom):
		discard(conn)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		p.refuse(ctx, fasthttp.StatusServiceUnavailable, noRoom)
	case isTimeout(err):
		p.refuse(ctx, fasthttp.StatusRequestTimeout, noProgress)
	default:
		p.write(ctx, fasthttp.StatusBadRequest)
	}
	return false
}

// refuse records and writes a refusal.
func (p *httpPort) refuse(ctx *fasthttp.RequestCtx, status int, why reason) {
	p.gate.record(p.Name, why, ctx.Conn())
	p.write(ctx, status)
}

// write writes an answer and closes the connection, whose next bytes belong to the same request.
func (p *httpPort) write(ctx *fasthttp.RequestCtx, status int) {
	ctx.Request.ResetBody()
	ctx.SetStatusCode(status)
	if p.Refuse != nil {
		p.Refuse(ctx, status)
	}
	ctx.SetConnectionClose()
}

const (
	// maxDiscardBytes and maxDiscardTime limit how much of a refused body is read and discarded.
	// If no data arrives for maxDiscardSilence, discard returns.
	maxDiscardBytes   = 64 << 20
	maxDiscardTime    = 5 * time.Second
	maxDiscardSilence = 100 * time.Millisecond
	discardBufBytes   = 4 << 10
)

// discard reads the remaining data of a refused request. Closing a connection with unread data
// resets it, and the client would not receive the response.
func discard(conn *Conn) {
	buf := make([]byte, discardBufBytes)
	end := time.Now().Add(maxDiscardTime)
	for read := 0; read < maxDiscardBytes && time.Now().Before(end); {
		if conn.SetReadDeadline(time.Now().Add(maxDiscardSilence)) != nil {
			return
		}
		n, err := conn.Read(buf)
		read += n
		if err != nil {
			return
		}
	}
}
