package resourceapi

import (
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store"
)

// ErrorBody is the body of the response to a failed request.
type ErrorBody struct {
	Error string `json:"error"`
	// Field is the first invalid field; Problems lists all invalid fields.
	Field    string             `json:"field,omitempty"`
	Problems []resource.Problem `json:"problems,omitempty"`
	// Current is the current resourceVersion after a conflict (0: the resource
	// doesn't exist), or the oldest revision from which a watch can continue.
	Current *uint64 `json:"current,omitempty"`
	// Lowered are the amounts that an edit would lower; such an edit needs
	// allowDecrease=true.
	Lowered []revision.Decrease `json:"lowered,omitempty"`
	// ReferredBy are the resources that refer to a resource and so prevent its
	// deletion.
	ReferredBy []resource.Ref `json:"referredBy,omitempty"`
	ChangeID   string         `json:"changeID,omitempty"`
	// Outcome is "unknown" if the change may have been accepted.
	Outcome string `json:"outcome,omitempty"`
}

func writeError(rc *fasthttp.RequestCtx, status int, body ErrorBody) { writeJSON(rc, status, body) }

// writeCommitError responds with the status and the details of a failed edit.
func writeCommitError(rc *fasthttp.RequestCtx, id string, err error) {
	body := ErrorBody{Error: err.Error(), ChangeID: id}
	var (
		unknown  *controller.OutcomeUnknownError
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
	writeError(rc, status, body)
}
