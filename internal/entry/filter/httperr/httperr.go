// Package httperr writes the JSON error responses of the HTTP APIs.
package httperr

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// Body is the JSON body of an error response.
type Body struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
	// NotRun is true if the error proves that no task of the job has run.
	NotRun bool `json:"notRun,omitempty"`
}

// Write writes an error response.
func Write(ctx *fasthttp.RequestCtx, status int, body Body) { WriteJSON(ctx, status, body) }

// WriteJSON writes a response with v as JSON.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(`{"error":"cannot encode the response"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(b, '\n'))
}
