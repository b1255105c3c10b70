// Package inflight is a request filter that counts the requests in flight, so
// that a graceful shutdown can wait for them, and that bounds their number.
package inflight

import (
	"bytes"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
)

// Config of the filter.
type Config struct {
	// Count is the number of requests in flight.
	Count *atomic.Int64
	// Max bounds Count; further requests are refused.
	Max int64
}

// New returns the filter before next.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer config.Count.Add(-1)
		if config.Count.Add(1) > config.Max {
			// A submission under an ID may have been accepted before.
			fresh := ctx.IsPost() && !bytes.Contains(ctx.PostBody(), []byte(`"submissionID"`))
			httperr.Write(ctx, fasthttp.StatusServiceUnavailable, httperr.Body{Error: "too many requests in flight", NotRun: fresh})
			return
		}
		next(ctx)
	}
}
