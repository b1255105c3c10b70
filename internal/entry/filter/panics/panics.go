// Package panics is a request filter that turns a panic in one request into an
// error answer, so that it disturbs no other request.
package panics

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry/filter/httperr"
)

// Config of the filter.
type Config struct {
	// Report is told of each panic with its stack.
	Report func(path string, value any, stack []byte)
}

// New returns the filter before next.
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
