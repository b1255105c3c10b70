// Package prefix provides a request filter that adds the submission prefix to
// every response, so that callers can form a new submission ID without another
// request.
package prefix

import (
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

// Config configures the filter.
type Config struct {
	// Prefix returns the prefix of the submission IDs that are issued now.
	Prefix func() string
}

// New returns a handler that applies next and then the filter.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		ctx.Response.Header.Set(jobapi.HeaderSubmissionPrefix, config.Prefix())
	}
}
