package entry

import (
	"encoding/json"

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
	httperr.Write(ctx, status, httperr.Body{Error: text, NotRun: true})
	ctx.SetConnectionClose()
}
