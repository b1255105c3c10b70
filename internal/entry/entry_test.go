package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ doc *resource.Document }

func (f fixedConfig) Document() *resource.Document { return f.doc }
func (f fixedConfig) Revisions() wire.Revisions {
	return wire.Revisions{Known: f.doc.Revision, InForce: f.doc.Revision}
}
func (f fixedConfig) ObserveRevision(uint64) bool                { return false }
func (f fixedConfig) Offer([]byte) error                         { return nil }
func (f fixedConfig) Pull(wire.PullRequest) wire.PullConfigReply { return wire.PullConfigReply{} }

func testDocument() *resource.Document {
	return &resource.Document{
		Format: 1, Revision: 1,
		Urgencies: map[string]*resource.Urgency{"normal": {Spec: resource.UrgencySpec{Weight: 2, Rank: 1}}},
		Kinds:     map[string]*resource.Kind{"seat": {Spec: resource.KindSpec{Service: "booking", Urgency: "normal", RunMs: 20, DeadlineMs: 10000}}},
		Teams:     map[string]*resource.Team{"studio": {}},
	}
}

type site struct {
	t testing.TB
	// doc is the configuration; nil selects testDocument.
	doc      *resource.Document
	entries  []*Entry
	sidecars []*sidecar.Sidecar
	backends []*backend.Backend
}

func (s *site) addEntry(name string, peers ...string) *Entry {
	s.t.Helper()
	if s.doc == nil {
		s.doc = testDocument()
	}
	e, err := New(Config{
		Instance: name, Zone: "z1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		InternalAddress: "127.0.0.1:0", Peers: peers, BeatInterval: 50 * time.Millisecond, Window: time.Second,
	}, Deps{Configuration: fixedConfig{s.doc}})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	s.t.Cleanup(func() { cancel(); <-done })
	s.entries = append(s.entries, e)
	return e
}

func (s *site) addWorker(name string, entries ...*Entry) {
	s.t.Helper()
	cfg := sidecar.Config{Instance: name, Zone: "z1", Rack: "r1", BeatInterval: 50 * time.Millisecond}
	for _, e := range entries {
		cfg.EntryAddresses = append(cfg.EntryAddresses, e.InternalAddr())
	}
	sc, err := sidecar.New(cfg, sidecar.Deps{})
	if err != nil {
		s.t.Fatal(err)
	}
	b, err := backend.New(backend.Config{Name: name, Service: "booking", Zone: "z1", Rack: "r1", SidecarAddress: sc.LocalAddr()})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { sc.Run(ctx); done <- struct{}{} }()
	go func() { b.Run(ctx); done <- struct{}{} }()
	s.t.Cleanup(func() { cancel(); <-done; <-done })
	s.sidecars, s.backends = append(s.sidecars, sc), append(s.backends, b)
}

func post(t *testing.T, e *Entry, id string, tasks, sleepMs int) (int, jobapi.JobAnswer) {
	t.Helper()
	req := jobapi.JobRequest{SubmissionID: id, Team: "studio", Kind: "seat"}
	for i := range tasks {
		req.Tasks = append(req.Tasks, jobapi.TaskRequest{Payload: json.RawMessage(fmt.Sprintf(`{"sleepMs":%d,"echo":"%d"}`, sleepMs, i))})
	}
	body, err := json.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	return do(t, fasthttp.MethodPost, "http://"+e.CallerAddr()+"/v1/jobs", body)
}

func do(t *testing.T, method, url string, body []byte) (int, jobapi.JobAnswer) {
	t.Helper()
	r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	r.SetRequestURI(url)
	r.Header.SetMethod(method)
	r.SetBody(body)
	if err := fasthttp.DoTimeout(r, w, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	var a jobapi.JobAnswer
	if err := json.Unmarshal(w.Body(), &a); err != nil {
		t.Fatalf("%s: %v", w.Body(), err)
	}
	return w.StatusCode(), a
}

// TestJob guards against a job that is not answered whole over the full path.
func TestJob(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	s.addWorker("w2", a)
	status, ans := post(t, a, "", 330, 1)
	if status != 200 || ans.State != jobapi.JobComplete || len(ans.Tasks) != 330 {
		t.Fatalf("%d %s %s %s, %d tasks", status, ans.State, ans.Reason, ans.Message, len(ans.Tasks))
	}
	for i, task := range ans.Tasks {
		var r struct{ Echo string }
		if err := json.Unmarshal(task.Result, &r); err != nil || r.Echo != fmt.Sprint(i) {
			t.Fatalf("task %d: %s %s", i, task.State, task.Result)
		}
	}
}

// TestForwardAndJoin guards against a submission starting twice when it is
// sent to two entry instances.
func TestForwardAndJoin(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	s.addWorker("w1", a, b)
	awaitPeers(t, a, b)
	id := a.prefix() + "x"
	done := make(chan jobapi.JobAnswer, 2)
	for _, e := range []*Entry{a, b} {
		go func() { _, ans := post(t, e, id, 20, 20); done <- ans }()
	}
	for range 2 {
		if ans := <-done; ans.State != jobapi.JobComplete || len(ans.Tasks) != 20 {
			t.Fatalf("%+v", ans)
		}
	}
	started, _ := s.backends[0].Counts()
	if started != 20 {
		t.Fatalf("%d starts of 20 tasks", started)
	}
	if status, _ := post(t, b, id, 19, 20); status != 409 {
		t.Fatalf("another payload under the same ID: status %d", status)
	}
}

// TestKillAnswersNothing guards against an answer of a killed instance, which
// would be final for a caller who can still learn the outcome elsewhere.
func TestKillAnswersNothing(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	const callers = 8
	failed := make(chan error, callers)
	for i := range callers {
		r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		r.SetRequestURI("http://" + a.CallerAddr() + "/v1/jobs")
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString(fmt.Sprintf(`{"submissionID":"%sx%d","team":"studio","kind":"seat","tasks":[{"payload":{"sleepMs":5000}}]}`, a.prefix(), i))
		go func() { failed <- fasthttp.Do(r, w) }()
	}
	for a.inFlight.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	a.Kill()
	for range callers {
		if err := <-failed; err == nil {
			t.Fatal("a killed instance answered")
		}
	}
}

// TestAskedBeforeArrival guards against "not run" about a submission that
// arrives after the question and runs.
func TestAskedBeforeArrival(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	id := a.prefix() + "x"
	if _, ans := do(t, fasthttp.MethodGet, "http://"+a.CallerAddr()+"/v1/jobs/"+id, nil); ans.NotRun || !ans.State.Final() {
		t.Fatalf("before the submission: %+v", ans)
	}
	if _, ans := post(t, a, id, 1, 1); ans.State != jobapi.JobComplete {
		t.Fatalf("the submission: %+v", ans)
	}
}

// TestDeadOwner guards against a false answer about a submission whose owner
// died: what the sidecars completed is found, nothing runs twice.
func TestDeadOwner(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	s.addWorker("w1", a, b)
	awaitPeers(t, a, b)
	time.Sleep(2100 * time.Millisecond) // a later window than that of the attach
	id := a.prefix() + "x"
	go func() {
		r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		r.SetRequestURI("http://" + a.CallerAddr() + "/v1/jobs")
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString(fmt.Sprintf(`{"submissionID":%q,"team":"studio","kind":"seat","tasks":[{"payload":{"sleepMs":300}}]}`, id))
		_ = fasthttp.Do(r, w)
	}()
	for started := int64(0); started == 0; started, _ = s.backends[0].Counts() {
		time.Sleep(time.Millisecond)
	}
	a.Kill()
	status, ans := post(t, b, id, 1, 300)
	if status != 200 || ans.State != jobapi.JobFailed && ans.State != jobapi.JobComplete {
		t.Fatalf("%d %+v", status, ans)
	}
	if ans.Tasks[0].State != jobapi.TaskCompleted {
		t.Fatalf("the finished task was not found: %+v", ans)
	}
	// Without the payload the number of tasks comes from the sidecars.
	_, asked := do(t, fasthttp.MethodGet, "http://"+b.CallerAddr()+"/v1/jobs/"+id, nil)
	if asked.State != jobapi.JobComplete || len(asked.Tasks) != 1 {
		t.Fatalf("the same submission on a GET: %+v", asked)
	}
	_, gone := do(t, fasthttp.MethodGet, "http://"+b.CallerAddr()+"/v1/jobs/"+id[:len(id)-1]+"other", nil)
	if !gone.NotRun {
		t.Fatalf("a submission that never arrived: %+v", gone)
	}
	if started, _ := s.backends[0].Counts(); started != 1 {
		t.Fatalf("%d starts", started)
	}
}

func awaitPeers(t testing.TB, entries ...*Entry) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		ok := true
		for _, e := range entries {
			st := e.Stats()
			ok = ok && st.Peers == len(entries)-1 && st.Sidecars > 0
		}
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the processes don't find each other")
		}
	}
}

// TestUnknownSubmission guards against a query that denies a job which may
// still be under way.
func TestUnknownSubmission(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	id := a.prefix() + "x1"
	for _, wait := range []string{"", "?wait=true"} {
		status, ans := do(t, fasthttp.MethodGet, "http://"+a.CallerAddr()+"/v1/jobs/"+id+wait, nil)
		if status != 404 || ans.NotRun || ans.SafeToResubmit || ans.Reason != jobapi.ReasonSubmissionUnknown {
			t.Errorf("query of an unknown ID: status %d, %+v", status, ans)
		}
	}
	if status, ans := post(t, a, id, 1, 1); status != 200 || ans.State != jobapi.JobComplete {
		t.Errorf("submission after the query: status %d, %+v", status, ans)
	}
}

// TestHandOver guards against a graceful shutdown after which the limit shares
// of the instance stay unused.
func TestHandOver(t *testing.T) {
	five := int64(5)
	s := &site{t: t, doc: testDocument()}
	s.doc.Limits = map[string]*resource.Limit{"seat": {Spec: resource.LimitSpec{Kind: "seat", Amounts: resource.Amounts{Concurrency: &five}}}}
	a := s.addEntry("a")
	b := s.addEntry("b", a.InternalAddr())
	s.addWorker("w1", a, b)
	a.Reload()
	b.Reload()
	for end := time.Now().Add(20 * time.Second); len(a.core.view.Load().peers) == 0 || len(b.core.view.Load().peers) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instances don't see each other")
		}
	}
	// The first instance gets the whole limit, as at the first allocation.
	plan := a.PlanAllocation(nil)
	if plan == nil {
		t.Fatal("no allocation")
	}
	a.ApplyAllocation(plan)
	b.ApplyAllocation(plan)
	if status, ans := post(t, a, "", 1, 1); status != 200 || ans.State != jobapi.JobComplete {
		t.Fatalf("before: status %d, %+v", status, ans)
	}
	if err := a.shutdown(); err != nil {
		t.Fatal(err)
	}
	if status, ans := post(t, b, "", 10, 1); status != 200 || ans.State != jobapi.JobComplete {
		t.Errorf("after: status %d, %s %s", status, ans.State, ans.Reason)
	}
}

// TestBadRequests guards against bad input without a clear error, and against
// it disturbing the next request.
func TestBadRequests(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	many := `{"team":"studio","kind":"seat","tasks":[{}` + strings.Repeat(",{}", 330) + `]}`
	future := ident.SubmissionPrefix(*a.core.self.Load(), 1<<40) + "x"
	for _, c := range []struct {
		name, body string
		status     int
		says       string
	}{
		{"malformed", `{"team":`, 400, "malformed JSON"},
		{"wrong type", `{"team":7}`, 400, "wrong type"},
		{"unknown field", `{"teem":"studio"}`, 400, "teem"},
		{"trailing data", `{"team":"studio","kind":"seat","tasks":[{}]}{}`, 400, "after the object"},
		{"too many tasks", many, 422, "got 331"},
		{"no tasks", `{"team":"studio","kind":"seat","tasks":[]}`, 422, "got 0"},
		{"bad ID", `{"submissionID":"x","team":"studio","kind":"seat","tasks":[{}]}`, 400, "submission ID"},
		{"future window", `{"submissionID":"` + future + `","team":"studio","kind":"seat","tasks":[{}]}`, 400, "not begun"},
		{"too large", strings.Repeat("x", DefaultMaxBody+1), 413, "too large"},
	} {
		r, w := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		r.SetRequestURI("http://" + a.CallerAddr() + "/v1/jobs")
		r.Header.SetMethod(fasthttp.MethodPost)
		r.SetBodyString(c.body)
		if err := fasthttp.DoTimeout(r, w, 10*time.Second); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if w.StatusCode() != c.status || !strings.Contains(string(w.Body()), c.says) || !strings.Contains(string(w.Body()), `"notRun":true`) {
			t.Errorf("%s: status %d, %s", c.name, w.StatusCode(), w.Body())
		}
	}
	if status, ans := post(t, a, "", 2, 1); status != 200 || ans.State != jobapi.JobComplete {
		t.Fatalf("a job after bad requests: %d %+v", status, ans)
	}
}

// TestInventedOwners guards against invented submission IDs that make the
// instance fence ever more incarnations at the sidecars.
func TestInventedOwners(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	awaitPeers(t, a)
	for n := range uint64(2 * maxDead) {
		a.ownerOf(ident.Process{Instance: "a", Incarnation: n + 1})
	}
	if n := len(a.core.view.Load().dead); n > maxDead {
		t.Fatalf("%d dead incarnations from invented IDs", n)
	}
}

// TestSubmitBeforeConfiguration guards against an instance without a
// configuration that calls a submission not run which another instance runs.
func TestSubmitBeforeConfiguration(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	b, err := New(Config{
		Instance: "b", Zone: "z1", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", InternalAddress: "127.0.0.1:0",
		Peers: []string{a.InternalAddr()}, BeatInterval: 50 * time.Millisecond,
	}, Deps{Configuration: noConfig{}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); b.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	s.addWorker("w1", a)
	awaitPeers(t, a, b)
	id := a.prefix() + "x"
	if _, ans := post(t, a, id, 2, 1); ans.State != jobapi.JobComplete {
		t.Fatalf("%+v", ans)
	}
	if _, ans := post(t, b, id, 2, 1); ans.NotRun || ans.State != jobapi.JobComplete {
		t.Fatalf("the same submission at an instance without a configuration: %+v", ans)
	}
	if status, ans := post(t, b, "", 1, 1); status != 503 || !ans.NotRun || ans.Reason != jobapi.ReasonNoConfiguration {
		t.Fatalf("a new submission at an instance without a configuration: %d %+v", status, ans)
	}
}

// noConfig is a configuration that has not been received.
type noConfig struct{ fixedConfig }

func (noConfig) Document() *resource.Document { return nil }
func (noConfig) Revisions() wire.Revisions    { return wire.Revisions{} }

// TestDeadSidecar guards against a job waiting for its deadline after the
// sidecar that ran its task has ended.
func TestDeadSidecar(t *testing.T) {
	s := &site{t: t}
	a := s.addEntry("a")
	s.addWorker("w1", a)
	awaitPeers(t, a)
	answer := make(chan jobapi.JobAnswer, 1)
	go func() { _, ans := post(t, a, "", 1, 9000); answer <- ans }()
	for started := int64(0); started == 0; started, _ = s.backends[0].Counts() {
		time.Sleep(time.Millisecond)
	}
	s.sidecars[0].Kill()
	ans := <-answer
	s.backends[0].Kill()
	if ans.State != jobapi.JobFailed || ans.Reason != jobapi.ReasonOutcomeUnknown || ans.Tasks[0].State != jobapi.TaskMayHaveRun {
		t.Fatalf("%+v", ans)
	}
}
