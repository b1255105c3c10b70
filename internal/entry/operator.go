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

// operatorHandler returns the handler of the operator port. Deps.AddOperatorRoutes
// adds the routes of the resource API.
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
	if e.deps.AddOperatorRoutes != nil {
		e.deps.AddOperatorRoutes(r)
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

// requestError answers requests that fasthttp could not read, for example because
// they are too large or arrive too slowly.
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
	// maxDiscardBytes and maxDiscardTime limit how much of a body that is too large
	// is read and discarded. If no data arrives for maxDiscardSilence, discard
	// returns.
	maxDiscardBytes   = 64 << 20
	maxDiscardTime    = 5 * time.Second
	maxDiscardSilence = 100 * time.Millisecond
)

// discard reads the remaining data of a refused request. Closing a connection
// with unread data resets it, and the client would not receive the response.
func discard(conn net.Conn) {
	buf := make([]byte, 64<<10)
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
