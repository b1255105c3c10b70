package resourceapi

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// ErrorBody is the body of a failed request.
type ErrorBody struct {
	Error string `json:"error"`
	// Field is the first invalid field; Problems lists all.
	Field    string             `json:"field,omitempty"`
	Problems []resource.Problem `json:"problems,omitempty"`
	// Current is the resourceVersion after a conflict (0: no such resource),
	// or the oldest revision that a watch can continue from.
	Current *uint64 `json:"current,omitempty"`
	// Lowered are the amounts of an edit that needs allowDecrease=true.
	Lowered []revision.Decrease `json:"lowered,omitempty"`
	// ReferredBy are the resources that prevent a deletion.
	ReferredBy []resource.Ref `json:"referredBy,omitempty"`
	ChangeID   string         `json:"changeID,omitempty"`
	// Outcome is "unknown" if the change may have been accepted.
	Outcome string `json:"outcome,omitempty"`
}

func fail(rc *fasthttp.RequestCtx, status int, body ErrorBody) { reply(rc, status, body) }

// failCommit answers with the status and the details of a failed edit.
func failCommit(rc *fasthttp.RequestCtx, id string, err error) {
	body := ErrorBody{Error: err.Error(), ChangeID: id}
	var (
		unknown  *controller.UnknownError
		conflict *revision.ConflictError
		decrease *revision.DecreaseError
		inUse    *revision.InUseError
		invalid  *resource.ValidationError
	)
	status := fasthttp.StatusInternalServerError
	switch {
	case errors.As(err, &unknown):
		status, body.Outcome = fasthttp.StatusGatewayTimeout, "unknown"
	case errors.As(err, &conflict):
		status, body.Current = fasthttp.StatusConflict, &conflict.Current
	case errors.As(err, &inUse):
		status, body.ReferredBy = fasthttp.StatusConflict, inUse.By
	case errors.As(err, &decrease):
		status, body.Lowered = fasthttp.StatusUnprocessableEntity, decrease.Decreases
		body.Field = decrease.Decreases[0].Field
	case errors.As(err, &invalid):
		status, body.Problems = fasthttp.StatusUnprocessableEntity, invalid.Problems
		body.Field = invalid.Problems[0].Field
	case errors.Is(err, resource.ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, errors.NotFound):
		status = fasthttp.StatusNotFound
	case errors.Is(err, errors.NotValid):
		status = fasthttp.StatusBadRequest
	case errors.Is(err, store.ErrUnavailable):
		status = fasthttp.StatusServiceUnavailable
	}
	fail(rc, status, body)
}
