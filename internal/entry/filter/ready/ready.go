// Package ready is a request filter that refuses new jobs before a
// configuration is in force.
package ready

import (
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// retryAfterMs is the suggested delay before the next attempt.
const retryAfterMs = 1000

// Config of the filter.
type Config struct {
	// Ready reports whether a configuration is in force.
	Ready func() bool
}

// New returns the filter before next. Only requests that submit are refused.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if ctx.IsPost() && !config.Ready() {
			httperr.WriteJSON(ctx, fasthttp.StatusServiceUnavailable, jobapi.JobAnswer{
				State: jobapi.JobRefused, NotRun: true, SafeToResubmit: true,
				Reason: jobapi.ReasonNoConfiguration, RetryAfterMs: retryAfterMs,
				Message: "no configuration is in force yet",
			})
			return
		}
		next(ctx)
	}
}
