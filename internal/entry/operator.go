package entry

import (
	"encoding/json"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
	"github.com/cardamomturn/cardamomturn/internal/entry/filter/panics"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// operatorHandler returns the handler of the operator port. The Resource API
// adds its routes through Deps.Operator.
func (e *Entry) operatorHandler() fasthttp.RequestHandler {
	r := router.New()
	r.HandleMethodNotAllowed = true
	r.NotFound = notFound
	r.GET("/healthz", e.handleHealth)
	r.GET("/v1/stats", e.handleStats)
	r.POST("/v1/drain", e.handleDrain)
	if e.deps.Metrics != nil {
		r.GET("/metrics", e.deps.Metrics.Handle)
	}
	if e.deps.Operator != nil {
		e.deps.Operator(r)
	}
	return panics.New(r.Handler, panics.Config{Report: e.reportPanic})
}

func (e *Entry) handleDrain(ctx *fasthttp.RequestCtx) {
	req := wire.DrainRequest{Drain: true}
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &req); err != nil {
			httperr.Write(ctx, fasthttp.StatusBadRequest, httperr.Body{Error: "malformed JSON: " + err.Error()})
			return
		}
	}
	e.SetDraining(req.Drain)
	httperr.WriteJSON(ctx, fasthttp.StatusOK, req)
}

// requestError answers requests that fasthttp could not read, for example
// because they are too large or too slow.
func (e *Entry) requestError(ctx *fasthttp.RequestCtx, err error) {
	status, text := fasthttp.StatusBadRequest, "malformed request"
	switch err := err.(type) {
	case *fasthttp.ErrSmallBuffer:
		status, text = fasthttp.StatusRequestHeaderFieldsTooLarge, "the request header is too large"
	case interface{ Timeout() bool }:
		if err.Timeout() {
			status, text = fasthttp.StatusRequestTimeout, "the request was not read in time"
		}
	}
	if err == fasthttp.ErrBodyTooLarge {
		status, text = fasthttp.StatusRequestEntityTooLarge, "the request body is too large"
		discard(ctx.Conn())
	}
	httperr.Write(ctx, status, httperr.Body{Error: text, NotRun: true})
	ctx.SetConnectionClose()
}

const (
	// discardBytes and discardTime bound what is read of a body that is too
	// large; discardPause is the silence that ends it.
	discardBytes = 64 << 20
	discardTime  = 5 * time.Second
	discardPause = 100 * time.Millisecond
)

// discard reads the rest of a request that is refused. A connection that is
// closed with unread data is reset, and the client would not see the answer.
func discard(conn net.Conn) {
	buf := make([]byte, 64<<10)
	end := time.Now().Add(discardTime)
	for read := 0; read < discardBytes && time.Now().Before(end); {
		if conn.SetReadDeadline(time.Now().Add(discardPause)) != nil {
			return
		}
		n, err := conn.Read(buf)
		read += n
		if err != nil {
			return
		}
	}
}
