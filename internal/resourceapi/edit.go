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

// PutBody is the body of a PUT. Status and conditions are accepted and
// ignored, so that the body of a GET can be edited and sent back.
type PutBody struct {
	Metadata   resource.Metadata `json:"metadata,omitzero"`
	Spec       json.RawMessage   `json:"spec"`
	Status     json.RawMessage   `json:"status,omitempty"`
	Conditions json.RawMessage   `json:"conditions,omitempty"`
}

// Accepted is the body of a successful PUT or DELETE.
type Accepted struct {
	ChangeID string `json:"changeID"`
	// Revision contains the change.
	Revision uint64              `json:"revision"`
	Lowered  []revision.Decrease `json:"lowered,omitempty"`
	// Object is the resource as of Revision. It is absent after a DELETE, and if
	// a repeated edit has been replaced by a later one in the meantime.
	Object any `json:"object,omitempty"`
}

func (a *API) put(rc *fasthttp.RequestCtx, r resource.Ref) {
	if n := len(rc.PostBody()); n > MaxBody {
		fail(rc, fasthttp.StatusRequestEntityTooLarge, ErrorBody{Error: "body of " + strconv.Itoa(n) + " bytes, allowed is " + strconv.Itoa(MaxBody)})
		return
	}
	var body PutBody
	if err := resource.DecodeStrict(rc.PostBody(), &body); err != nil {
		fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	if body.Metadata.Name != "" && body.Metadata.Name != r.Name {
		fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "metadata.name differs from the name in the path", Field: "metadata.name"})
		return
	}
	if len(body.Spec) == 0 || string(body.Spec) == "null" {
		fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "spec is missing", Field: "spec"})
		return
	}
	// fasthttp reuses the body's memory after the request.
	spec := append(json.RawMessage(nil), body.Spec...)
	a.commit(rc, revision.Edit{Ref: r, Spec: spec}, body.Metadata.ResourceVersion)
}

func (a *API) delete(rc *fasthttp.RequestCtx, r resource.Ref) {
	a.commit(rc, revision.Edit{Ref: r, Delete: true}, 0)
}

// commit completes an edit from the headers and the query, and answers.
func (a *API) commit(rc *fasthttp.RequestCtx, e revision.Edit, bodyVersion uint64) {
	expected, err := expectedVersion(rc, bodyVersion)
	if err != nil {
		fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: err.Error(), Field: "metadata.resourceVersion"})
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
		fail(rc, fasthttp.StatusBadRequest, ErrorBody{Error: "invalid change ID", Field: HeaderChangeID})
		return
	}
	rc.Response.Header.Set(HeaderChangeID, e.ChangeID)
	res, err := a.opts.Config.Commit(a.ctx, e)
	if err != nil {
		failCommit(rc, e.ChangeID, err)
		return
	}
	out := Accepted{ChangeID: res.ChangeID, Revision: res.Revision, Lowered: res.Decreases}
	// The document in force may already hold a later edit. An operator who based
	// the next edit on its version would overwrite that edit without having
	// seen it.
	if meta, ok := res.Document.Metadata(e.Ref); ok && !e.Delete && meta.ResourceVersion <= res.Revision {
		out.Object = object(res.Document, e.Ref, a.status(res.Document, e.Ref))
	}
	reply(rc, fasthttp.StatusOK, out)
}

// expectedVersion reads the condition of an edit: the resourceVersion of the
// body, If-Match with a version, or If-None-Match: * for a new resource. It
// returns nil if there is none.
func expectedVersion(rc *fasthttp.RequestCtx, body uint64) (*uint64, error) {
	match := string(rc.Request.Header.Peek(fasthttp.HeaderIfMatch))
	none := string(rc.Request.Header.Peek(fasthttp.HeaderIfNoneMatch))
	switch {
	case none != "" && (none != "*" || match != "" || body != 0):
		return nil, errors.NotValidf("If-None-Match %.40q (only * without another condition)", none)
	case none != "":
		return new(uint64), nil
	case match != "":
		v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
		if err != nil || body != 0 && body != v {
			return nil, errors.NotValidf("If-Match %.40q (want the resourceVersion, equal to that of the body)", match)
		}
		return &v, nil
	case body != 0:
		return &body, nil
	}
	return nil, nil
}
