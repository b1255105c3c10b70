// Package prefix is a request filter that tells callers the submission prefix
// in every answer, so that a new submission ID costs no round trip.
package prefix

import (
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Config of the filter.
type Config struct {
	// Prefix returns the prefix that is issued now.
	Prefix func() string
}

// New returns the filter before next.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		ctx.Response.Header.Set(jobapi.HeaderSubmissionPrefix, config.Prefix())
	}
}
