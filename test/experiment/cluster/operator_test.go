package cluster

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

// documents is a configuration without a store.
type documents struct {
	resourceapi.Configuration
	doc *resource.Document
}

func (d *documents) Document() *resource.Document { return d.doc }

func (d *documents) Subscribe(func(*resource.Document)) func() { return func() {} }

func (d *documents) Commit(_ context.Context, e revision.Edit) (revision.Result, error) {
	next, res, err := revision.Apply(d.doc, e)
	if err == nil {
		d.doc = next
	}
	return res, err
}

// TestOperator guards against recorded edits without the revision of the
// Resource API's response, with which no check of P8 means anything.
func TestOperator(t *testing.T) {
	api := resourceapi.New(resourceapi.Options{Config: &documents{doc: revision.Initial()}, Status: noStatus{}, Clock: clock.Real{}})
	defer api.Close()
	r := router.New()
	api.RegisterRoutes(r)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = srv.Serve(lis) }()
	defer func() { _ = srv.Shutdown() }()
	o := NewOperator(history.NewRecorder())
	defer o.client.CloseIdleConnections()
	for i, want := range []struct {
		weight            string
		expect            uint64
		outcome           history.Outcome
		revision, version uint64
	}{
		{"1", 0, history.Accepted, 2, 2},
		{"2", 2, history.Accepted, 3, 3},
		{"2", 0, history.Accepted, 4, 3}, // changes nothing
		{"5", 2, history.Conflict, 3, 0},
	} {
		spec := json.RawMessage(`{"weight":` + want.weight + `}`)
		m, err := o.Apply(lis.Addr().String(), Edit{Type: resource.TypeTeam, Name: "a", Spec: spec, Expect: want.expect})
		if err != nil || m.Outcome != want.outcome || m.Revision != want.revision || m.Version != want.version || m.Malformed != "" {
			t.Fatalf("edit %d: %+v, %v", i, m, err)
		}
	}
	if v, err := o.Version(lis.Addr().String(), resource.TypeTeam, "a"); err != nil || v != 3 {
		t.Fatalf("version %d, %v", v, err)
	}
}

// noStatus is a StatusSource without processes.
type noStatus struct{ resourceapi.StatusSource }

func (noStatus) InForce(uint64) (processes, inForce int, since time.Time) { return 0, 0, time.Time{} }

func (noStatus) Work(resource.Ref) *resource.WorkSummary { return nil }

func (noStatus) Shares(resource.Ref) ([]resource.AmountShares, []resource.Condition) { return nil, nil }
