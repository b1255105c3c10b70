package resourceapi

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

// fakeStatusSource is a StatusSource with one process.
type fakeStatusSource struct {
	mu  sync.Mutex
	rev uint64
}

func (s *fakeStatusSource) set(rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev = rev
}

func (s *fakeStatusSource) Processes() []Process { return []Process{{Role: "entry", Zone: "a"}} }

func (s *fakeStatusSource) InForce(rev uint64) (int, int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev > s.rev {
		return 1, 0, time.Time{}
	}
	return 1, 1, time.Unix(int64(rev), 0).UTC()
}

func (s *fakeStatusSource) Work(resource.Ref) *resource.WorkSummary {
	return &resource.WorkSummary{Queued: 3}
}
func (s *fakeStatusSource) Shares(resource.Ref) ([]resource.AmountShares, []resource.Condition) {
	return nil, nil
}

// testServer is an API with its configuration and store, served over HTTP.
type testServer struct {
	t      *testing.T
	url    string
	store  *memstore.Store
	status *fakeStatusSource
	api    *API
	clock  *clock.Manual
}

// startServer runs a server until the test ends. It returns when the API has a
// document.
func startServer(t *testing.T) *testServer {
	t.Helper()
	f := &testServer{t: t, store: memstore.New(clock.Real{}, 0), status: &fakeStatusSource{}, clock: clock.NewManual(time.Unix(1000, 0))}
	c := controller.NewConfigController(controller.ConfigOptions{Store: f.store, Clock: clock.Real{}, Rand: rand.New(rand.NewPCG(1, 2)), Log: t.Logf, CommitTimeout: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	f.api = New(Options{Config: c, Status: f.status, Clock: f.clock})
	r := router.New()
	f.api.RegisterRoutes(r)
	srv := &fasthttp.Server{Handler: r.Handler}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.url = "http://" + l.Addr().String() + "/v1/"
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	wg.Go(func() { _ = srv.Serve(l) })
	t.Cleanup(func() {
		cancel()
		f.api.Close()
		http.DefaultClient.CloseIdleConnections()
		_ = srv.Shutdown()
		wg.Wait()
	})
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, _, rev, _ := f.api.events.readFrom(cursor{}); rev > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no document")
		}
	}
	return f
}

// request sends a request, checks the status, and returns the decoded body.
func (f *testServer) request(method, path, body string, wantStatus int, headers ...string) map[string]any {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	var out map[string]any
	if err := json.Unmarshal(data, &out); err != nil || resp.StatusCode != wantStatus {
		f.t.Fatalf("%s %s: status %d, want %d, body %s", method, path, resp.StatusCode, wantStatus, data)
	}
	return out
}

// TestEditResponses guards against wrong status codes and responses without
// their details.
func TestEditResponses(t *testing.T) {
	f := startServer(t)
	out := f.request("PUT", "teams/torno", `{"spec":{"quota":{"rate":5}}}`, 200, HeaderChangeID, "c1")
	if out["changeID"] != "c1" || out["revision"] != 2.0 {
		t.Fatalf("accepted %v", out)
	}
	if out = f.request("GET", "teams/torno", "", 200); out["status"].(map[string]any)["work"] == nil {
		t.Fatalf("resource %v", out)
	}
	f.request("PUT", "teams/torno", `{"spec":{"quota":{"rate":5}}}`, 200, HeaderChangeID, "c1")
	out = f.request("PUT", "teams/torno", `{"spec":{"quota":{"rate":4}}}`, 422)
	if out["lowered"] == nil || out["field"] != "spec.quota.rate" {
		t.Fatalf("decrease: %v", out)
	}
	f.request("PUT", "teams/torno?allowDecrease=true", `{"spec":{"quota":{"rate":4}}}`, 200)
	if out = f.request("PUT", "teams/torno", `{"metadata":{"resourceVersion":2},"spec":{}}`, 409); out["current"] != 3.0 {
		t.Fatalf("conflict: %v", out)
	}
	f.request("PUT", "teams/torno", `{"spec":{}}`, 409, "If-Match", `"2"`)
	f.request("PUT", "teams/torno", `{"spec":{}}`, 409, "If-None-Match", "*")
	f.request("PUT", "teams/torno", `{"spec":{}}`, 200, "If-Match", `"3"`)
	if out = f.request("PUT", "teams/bad", `{"spec":{"weight":-1}}`, 422); out["field"] != "spec.weight" {
		t.Fatalf("invalid: %v", out)
	}
	f.request("PUT", "teams/bad", `{"spec":{"wait":1}}`, 400)
	f.request("PUT", "teams/bad", `{"spec":`, 400)
	f.request("PUT", "teams/bad", `{}`, 400)
	f.request("PUT", "teams/bad", `{"spec":{}}`, 400, HeaderChangeID, "a b")
	f.request("PUT", "teams/bad", `{"spec":{"x":"`+strings.Repeat("x", MaxBodyBytes)+`"}}`, 413)
	f.request("GET", "teams/none", "", 404)
	f.request("DELETE", "teams/none", "", 404)
	f.request("PUT", "kinds/k", `{"spec":{"service":"s","urgency":"low","runMs":1,"deadlineMs":9}}`, 200)
	if out = f.request("DELETE", "urgencies/low", "", 409); out["referredBy"] == nil {
		t.Fatalf("in use: %v", out)
	}
	f.request("DELETE", "kinds/k", "", 200)
	if out = f.request("GET", "urgencies", "", 200); len(out["items"].([]any)) != 4 || out["revision"] != 6.0 {
		t.Fatalf("list: %v", out)
	}
	f.request("GET", "processes", "", 200)
	f.store.DropRequests(1000)
	out = f.request("PUT", "teams/late", `{"spec":{}}`, 504, HeaderChangeID, "c9")
	if out["outcome"] != "unknown" || out["changeID"] != "c9" || !strings.Contains(out["error"].(string), "unknown") {
		t.Fatalf("unknown: %v", out)
	}
	f.store.SetDown(true)
	f.request("PUT", "teams/late", `{"spec":{}}`, 503)
}

// watch opens a watch and returns a function that reads the next event.
func (f *testServer) watch(path string) func() Event {
	f.t.Helper()
	resp, err := http.Get(f.url + path)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	if resp.StatusCode != 200 {
		f.t.Fatalf("watch: status %d", resp.StatusCode)
	}
	in := bufio.NewScanner(resp.Body)
	return func() Event {
		f.t.Helper()
		var e Event
		if !in.Scan() {
			f.t.Fatalf("the watch ended: %v", in.Err())
		}
		if err := json.Unmarshal(in.Bytes(), &e); err != nil {
			f.t.Fatalf("line %s: %v", in.Bytes(), err)
		}
		return e
	}
}

func (f *testServer) checkEvent(e Event, eventType string, rev uint64, name string) {
	f.t.Helper()
	if e.Type != eventType || e.Revision != rev || name != "" && (e.Resource == nil || e.Resource.Name != name) {
		f.t.Fatalf("event %+v, want %s of %s at revision %d", e, eventType, name, rev)
	}
}

// unnotifiedConfiguration is a Configuration that has published its first
// document but has not yet called the subscribers.
type unnotifiedConfiguration struct{ Configuration }

func (unnotifiedConfiguration) Subscribe(func(*resource.Document)) func() { return func() {} }

// TestWatch guards against a failure of a watch that is opened before the API
// has received the first document, against watches that miss changes, status or
// heartbeats, and against gaps in resumed watches.
func TestWatch(t *testing.T) {
	f := startServer(t)
	early := New(Options{Config: unnotifiedConfiguration{f.api.opts.Config}, Status: f.status, Clock: f.clock})
	defer early.Close()
	var rc fasthttp.RequestCtx
	if early.watch(&rc, resource.Ref{Type: resource.TypeTeam}); rc.Response.StatusCode() != 503 {
		t.Fatalf("watch before the first document: status %d", rc.Response.StatusCode())
	}
	next := f.watch("teams?watch=true")
	f.checkEvent(next(), EventHeartbeat, 1, "")
	f.request("PUT", "teams/a", `{"spec":{}}`, 200)
	f.checkEvent(next(), EventPut, 2, "a")
	f.status.set(2)
	f.api.StatusChanged()
	f.checkEvent(next(), EventStatus, 2, "a")
	for f.clock.Waiters() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(DefaultHeartbeatInterval)
	f.checkEvent(next(), EventHeartbeat, 2, "")
	f.request("PUT", "teams/b", `{"spec":{}}`, 200)
	f.request("DELETE", "teams/a?allowDecrease=true", "", 200)

	next = f.watch("teams?watch=true&since=2")
	f.checkEvent(next(), EventPut, 3, "b")
	f.checkEvent(next(), EventDelete, 4, "a")
	f.checkEvent(next(), EventHeartbeat, 4, "")
	next = f.watch("teams/b?watch=true")
	f.checkEvent(next(), EventPut, 0, "b")
	f.checkEvent(next(), EventHeartbeat, 4, "")
	f.request("GET", "teams?watch=true&since=x", "", 400)
}

// TestWatchOfClosedConnection guards against watches that stay open forever
// after the client has closed the connection.
func TestWatchOfClosedConnection(t *testing.T) {
	f := startServer(t)
	resp, err := http.Get(f.url + "teams?watch=true")
	if err != nil {
		t.Fatal(err)
	}
	if len(f.api.watchSlots) != 1 {
		t.Fatalf("%d open watches, want 1", len(f.api.watchSlots))
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); len(f.api.watchSlots) > 0; time.Sleep(time.Millisecond) {
		f.clock.Advance(DefaultHeartbeatInterval)
		if time.Now().After(end) {
			t.Fatal("the watch of a closed connection is still open")
		}
	}
}

// TestEventLog guards against a resumed watch that silently skips changes that
// the log no longer has, and against an event whose revision lets a client
// continue in the middle of a document's changes.
func TestEventLog(t *testing.T) {
	l := newEventLog(2)
	doc := resource.Default()
	doc.Revision = 5
	l.recordDocument(doc)
	if _, _, _, oldest, ok := l.changesSince(4); ok || oldest != 5 {
		t.Fatalf("since before the first revision: oldest revision %d, %v", oldest, ok)
	}
	_, _, position, _, _ := l.changesSince(5)
	doc = doc.Clone()
	doc.Revision = 7
	for _, name := range []string{"low", "high"} {
		doc.Urgencies[name].Metadata.ResourceVersion = 7
	}
	l.recordDocument(doc)
	_, events, _, _, ok := l.changesSince(5)
	if !ok || len(events) != 2 || events[0].Revision != 5 || events[1].Revision != 7 {
		t.Fatalf("events %+v", events)
	}
	doc = doc.Clone()
	doc.Revision = 8
	delete(doc.Urgencies, "low")
	l.recordDocument(doc)
	if _, _, _, oldest, ok := l.changesSince(5); ok || oldest != 7 {
		t.Fatalf("since before a dropped event: oldest revision %d, %v", oldest, ok)
	}
	if _, next, _, _ := l.readFrom(position); !next.missedEvents {
		t.Fatal("the log did not report the missed events to a slow watch")
	}
}
