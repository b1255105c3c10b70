// Package panics provides a request filter that turns a panic in one request into
// an error response, so that the panic does not affect other requests.
package panics

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
)

// Config configures the filter.
type Config struct {
	// Report is called for each panic, with the stack.
	Report func(path string, value any, stack []byte)
}

// New returns a handler that applies the filter to next.
func New(next fasthttp.RequestHandler, config Config) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if v := recover(); v != nil {
				config.Report(string(ctx.Path()), v, debug.Stack())
				httperr.Write(ctx, fasthttp.StatusInternalServerError, httperr.Body{Error: "internal error; the outcome is not known"})
			}
		}()
		next(ctx)
	}
}
