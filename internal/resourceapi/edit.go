package resourceapi

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// PutBody is the body of a PUT request. Status and conditions are accepted and
// ignored, so that a client can edit the body of a GET response and send it
// back.
type PutBody struct {
	Metadata   resource.Metadata `json:"metadata,omitzero"`
	Spec       json.RawMessage   `json:"spec"`
	Status     json.RawMessage   `json:"status,omitempty"`
	Conditions json.RawMessage   `json:"conditions,omitempty"`
}

// EditResult is the body of the response to a successful PUT or DELETE.
type EditResult struct {
	ChangeID string `json:"changeID"`
	// Revision is the first revision that contains the change.
	Revision uint64              `json:"revision"`
	Lowered  []revision.Decrease `json:"lowered,omitempty"`
	// Object is the resource as of Revision. It is absent after a DELETE, and
	// in the response to a repeated edit that a later edit has replaced in the
	// meantime.
	Object any `json:"object,omitempty"`
}

func (a *API) put(rc *fasthttp.RequestCtx, r resource.Ref) {
	if n := len(rc.PostBody()); n > MaxBodyBytes {
		writeError(rc, fasthttp.StatusRequestEntityTooLarge, ErrorBody{Error: "body of " + strconv.Itoa(n) + " bytes, allowed is " + strconv.Itoa(MaxBodyBytes)})
		return
	}
	var body PutBody
	if err := resource.DecodeStrict(rc.PostBody(), &body); err != nil {
		writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	if body.Metadata.Name != "" && body.Metadata.Name != r.Name {
		writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "metadata.name differs from the name in the path", Field: "metadata.name"})
		return
	}
	if len(body.Spec) == 0 || string(body.Spec) == "null" {
		writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "spec is missing", Field: "spec"})
		return
	}
	// fasthttp reuses the body's memory after the request.
	spec := append(json.RawMessage(nil), body.Spec...)
	a.commit(rc, revision.Edit{Ref: r, Spec: spec}, body.Metadata.ResourceVersion)
}

func (a *API) delete(rc *fasthttp.RequestCtx, r resource.Ref) {
	a.commit(rc, revision.Edit{Ref: r, Delete: true}, 0)
}

// commit completes an edit with the headers and query parameters, commits it,
// and responds.
func (a *API) commit(rc *fasthttp.RequestCtx, e revision.Edit, bodyVersion uint64) {
	expected, err := expectedVersion(rc, bodyVersion)
	if err != nil {
		writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error(), Field: "metadata.resourceVersion"})
		return
	}
	e.Expected = expected
	e.AllowDecrease = rc.QueryArgs().GetBool("allowDecrease")
	e.At = a.opts.Clock.Now().UTC()
	e.ChangeID = string(rc.Request.Header.Peek(HeaderChangeID))
	if e.ChangeID == "" {
		e.ChangeID = a.opts.NewID()
	}
	if !resource.ValidChangeID(e.ChangeID) {
		writeError(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "invalid change ID", Field: HeaderChangeID})
		return
	}
	rc.Response.Header.Set(HeaderChangeID, e.ChangeID)
	res, err := a.opts.Config.Commit(a.ctx, e)
	if err != nil {
		writeCommitError(rc, e.ChangeID, err)
		return
	}
	result := EditResult{ChangeID: res.ChangeID, Revision: res.Revision, Lowered: res.Decreases}
	// The document in force may already contain a later edit. An operator who
	// based the next edit on its version would overwrite the later edit without
	// having seen it.
	if meta, ok := res.Document.Metadata(e.Ref); ok && !e.Delete && meta.ResourceVersion <= res.Revision {
		result.Object = objectWithStatus(res.Document, e.Ref, a.resourceStatus(res.Document, e.Ref))
	}
	writeJSON(rc, fasthttp.StatusOK, result)
}

// expectedVersion reads the precondition of an edit: the resourceVersion of the
// body, If-Match with a version, or If-None-Match: * for a new resource. It
// returns nil if the request has no precondition.
func expectedVersion(rc *fasthttp.RequestCtx, bodyVersion uint64) (*uint64, error) {
	ifMatch := string(rc.Request.Header.Peek(fasthttp.HeaderIfMatch))
	ifNoneMatch := string(rc.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	switch {
	case ifNoneMatch != "" && (ifNoneMatch != "*" || ifMatch != "" || bodyVersion != 0):
		return nil, errors.NotValidf("If-None-Match %.40q (only * without another condition)", ifNoneMatch)
	case ifNoneMatch != "":
		return new(uint64), nil
	case ifMatch != "":
		v, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
		if err != nil || bodyVersion != 0 && bodyVersion != v {
			return nil, errors.NotValidf("If-Match %.40q (want the resourceVersion, equal to that of the body)", ifMatch)
		}
		return &v, nil
	case bodyVersion != 0:
		return &bodyVersion, nil
	}
	return nil, nil
}
