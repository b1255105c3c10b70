// Package httperr writes the JSON errors of the HTTP APIs.
package httperr

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Body is the JSON body of an error.
type Body struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
	// NotRun is true if the error proves that nothing of a job was run.
	NotRun bool `json:"notRun,omitempty"`
}

// Write answers with a status and a body.
func Write(ctx *fasthttp.RequestCtx, status int, body Body) { WriteJSON(ctx, status, body) }

// WriteJSON answers with a status and any value as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(`{"error":"encode the answer"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}
