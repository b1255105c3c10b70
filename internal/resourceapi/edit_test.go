package resourceapi

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// laterEditConfiguration is a Configuration in which a later edit of the same
// resource is in force when Commit returns.
type laterEditConfiguration struct {
	Configuration
	t *testing.T
}

func (o laterEditConfiguration) Commit(ctx context.Context, e revision.Edit) (revision.Result, error) {
	res, err := o.Configuration.Commit(ctx, e)
	if err != nil {
		return res, err
	}
	later := revision.Edit{Ref: e.Ref, Spec: json.RawMessage(`{"weight":9}`), ChangeID: "later-" + strconv.FormatUint(res.Revision, 10)}
	if _, err := o.Configuration.Commit(ctx, later); err != nil {
		o.t.Error(err)
	}
	return res, nil
}

// putTeam sends an edit of team a with a change ID and returns the response.
func putTeam(t *testing.T, a *API, changeID string) EditResult {
	t.Helper()
	var rc fasthttp.RequestCtx
	rc.Request.Header.Set(HeaderChangeID, changeID)
	rc.Request.SetBodyString(`{"spec":{"weight":2}}`)
	a.put(&rc, resource.Ref{Type: resource.TypeTeam, Name: "a"})
	if rc.Response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("status %d: %s", rc.Response.StatusCode(), rc.Response.Body())
	}
	var got EditResult
	if err := json.Unmarshal(rc.Response.Body(), &got); err != nil {
		t.Fatal(err)
	}
	return got
}

// TestResponseExcludesLaterEdit guards against a response that shows the
// version of a later edit. The operator would then overwrite the later edit
// without having seen it.
func TestResponseExcludesLaterEdit(t *testing.T) {
	f := startServer(t)
	f.request("PUT", "teams/b", `{"spec":{}}`, 200)
	a := New(Options{Config: laterEditConfiguration{f.api.opts.Config, t}, Status: f.status, Clock: f.clock})
	defer a.Close()
	got := putTeam(t, a, "c1")
	object, _ := got.Object.(map[string]any)
	metadata, _ := object["metadata"].(map[string]any)
	if version := metadata["resourceVersion"]; version != float64(got.Revision) {
		t.Fatalf("the response to revision %d shows version %v", got.Revision, version)
	}
	if again := putTeam(t, f.api, "c1"); again.Revision != got.Revision || again.Object != nil {
		t.Fatalf("the repeated edit of revision %d has revision %d and shows %v", got.Revision, again.Revision, again.Object)
	}
}
