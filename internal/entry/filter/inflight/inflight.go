// Package inflight provides a request filter that counts the requests in flight,
// so that a graceful shutdown can wait for them, and limits their number.
package inflight

import (
	"bytes"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
)

// Config configures the filter.
type Config struct {
	// Count is the number of requests in flight.
	Count *atomic.Int64
	// Max is the maximum of Count. The filter refuses further requests.
	Max int64
}

// New returns a handler that applies the filter and then next.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer config.Count.Add(-1)
		if config.Count.Add(1) > config.Max {
			// A request with a submission ID may repeat an accepted one, so only
			// a request without an ID has certainly not run.
			withoutID := ctx.IsPost() && !bytes.Contains(ctx.PostBody(), []byte(`"submissionID"`))
			httperr.Write(ctx, fasthttp.StatusServiceUnavailable, httperr.Body{Error: "too many requests in flight", NotRun: withoutID})
			return
		}
		next(ctx)
	}
}
