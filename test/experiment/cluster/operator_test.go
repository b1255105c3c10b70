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

// fakeConfig is a configuration that is held in memory, without a store.
type fakeConfig struct {
	resourceapi.Configuration
	doc *resource.Document
}

func (d *fakeConfig) Document() *resource.Document { return d.doc }

func (d *fakeConfig) Subscribe(func(*resource.Document)) func() { return func() {} }

func (d *fakeConfig) Commit(_ context.Context, e revision.Edit) (revision.Result, error) {
	next, res, err := revision.Apply(d.doc, e)
	if err == nil {
		d.doc = next
	}
	return res, err
}

// TestApplyRecordsVersions guards against recorded edits that lack the revision or
// version of the Resource API's response. Without them the check of P8 is void.
func TestApplyRecordsVersions(t *testing.T) {
	api := resourceapi.New(resourceapi.Options{Config: &fakeConfig{doc: revision.Initial()}, Status: fakeStatus{}, Clock: clock.Real{}})
	defer api.Close()
	r := router.New()
	api.RegisterRoutes(r)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: r.Handler}
	go func() { _ = srv.Serve(listener) }()
	defer func() { _ = srv.Shutdown() }()
	o := NewOperator(history.NewRecorder())
	defer o.client.CloseIdleConnections()
	for i, want := range []struct {
		weight            string
		expectedVersion   uint64
		outcome           history.Outcome
		revision, version uint64
	}{
		{"1", 0, history.Accepted, 2, 2},
		{"2", 2, history.Accepted, 3, 3},
		{"2", 0, history.Accepted, 4, 3}, // changes nothing
		{"5", 2, history.Conflict, 3, 0},
	} {
		spec := json.RawMessage(`{"weight":` + want.weight + `}`)
		m, err := o.Apply(listener.Addr().String(), Edit{Type: resource.TypeTeam, Name: "a", Spec: spec, ExpectedVersion: want.expectedVersion})
		if err != nil || m.Outcome != want.outcome || m.Revision != want.revision || m.Version != want.version || m.Malformed != "" {
			t.Fatalf("edit %d: %+v, %v", i, m, err)
		}
	}
	if v, err := o.Version(listener.Addr().String(), resource.TypeTeam, "a"); err != nil || v != 3 {
		t.Fatalf("version %d, %v", v, err)
	}
}

// fakeStatus is a StatusSource that reports no processes.
type fakeStatus struct{ resourceapi.StatusSource }

func (fakeStatus) InForce(uint64) (processes, inForce int, since time.Time) { return 0, 0, time.Time{} }

func (fakeStatus) Work(resource.Ref) *resource.WorkSummary { return nil }

func (fakeStatus) Shares(resource.Ref) ([]resource.AmountShares, []resource.Condition) {
	return nil, nil
}
