package cluster

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// fakeEntry is an entry instance with answers chosen by a test.
type fakeEntry struct {
	mu   sync.Mutex
	jobs []jobapi.JobRequest
	// chooseAnswer returns the answer to the nth job, or nil to close the
	// connection without an answer.
	chooseAnswer func(n int, id string) *jobapi.JobAnswer
}

// serve starts the instance and returns its "ip:port".
func (f *fakeEntry) serve(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(jobapi.HeaderSubmissionPrefix, "entry.1.1.")
		if r.URL.Path == "/v1/submissions" {
			return
		}
		var job jobapi.JobRequest
		if err := json.NewDecoder(r.Body).Decode(&job); err != nil {
			t.Error(err)
		}
		f.mu.Lock()
		f.jobs = append(f.jobs, job)
		a := f.chooseAnswer(len(f.jobs), job.SubmissionID)
		f.mu.Unlock()
		if a == nil {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(a)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// received returns the jobs that were submitted so far.
func (f *fakeEntry) received() []jobapi.JobRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.jobs)
}

func completeAnswer(id string) *jobapi.JobAnswer {
	return &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobComplete}
}

var testJob = load.Arrival{Request: "r", Team: "t", Kind: "k", RunTimes: []time.Duration{time.Millisecond}}

// TestLostAnswer guards against a caller that resubmits a job under a new ID after
// a lost answer. The request could then run twice.
func TestLostAnswer(t *testing.T) {
	first := &fakeEntry{chooseAnswer: func(int, string) *jobapi.JobAnswer { return nil }}
	second := &fakeEntry{chooseAnswer: func(_ int, id string) *jobapi.JobAnswer { return completeAnswer(id) }}
	rec := history.NewRecorder()
	c := NewCallers([]string{first.serve(t), second.serve(t)}, rec)
	out := c.Submit(testJob, false)
	if !out.Complete() || len(first.received()) != 1 || len(second.received()) != 1 {
		t.Fatalf("%+v after %d and %d requests", out, len(first.received()), len(second.received()))
	}
	if first.received()[0].SubmissionID != second.received()[0].SubmissionID {
		t.Fatal("the caller resubmitted the job under another ID")
	}
	types := []history.Type{history.Submit, history.Lost, history.Submit, history.Response}
	for i, e := range rec.History().Events {
		if i >= len(types) || e.Type != types[i] {
			t.Fatalf("event %d is %+v", i, e)
		}
	}
}

// TestRefusedAnswer guards against a caller that uses the ID of a refused job
// again, or that resubmits a job that may have run.
func TestRefusedAnswer(t *testing.T) {
	f := &fakeEntry{chooseAnswer: func(n int, id string) *jobapi.JobAnswer {
		if n == 1 {
			return &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobRefused, NotRun: true, Reason: jobapi.ReasonDraining}
		}
		return &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobFailed, Reason: jobapi.ReasonOutcomeUnknown}
	}}
	c := NewCallers([]string{f.serve(t)}, history.NewRecorder())
	out := c.Submit(testJob, false)
	jobs := f.received()
	if out.Answer.State != jobapi.JobFailed || len(jobs) != 2 {
		t.Fatalf("%+v after %d requests", out, len(jobs))
	}
	if jobs[0].SubmissionID == jobs[1].SubmissionID {
		t.Fatal("the caller used the ID of the refused job again")
	}
}

// TestBackendServer guards against a fake backend server that doesn't record the
// start, end or abort of a task, so that the checker can't see violations.
func TestBackendServer(t *testing.T) {
	paths := make(chan string, 100)
	sidecar := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	defer sidecar.Close()
	rec := history.NewRecorder()
	b := NewBackendServer(wire.Backend{Name: "backend-0"}, strings.TrimPrefix(sidecar.URL, "http://"), "sidecar-0", rec)
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	if got := <-paths; got != "/v1/announce" {
		t.Fatalf("first call is of %s, want /v1/announce", got)
	}
	req := func(body string) *http.Request {
		r, err := http.NewRequest(http.MethodPost, b.Address()+"/run", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Cardamom-Submission", "s")
		r.Header.Set("Cardamom-Task", "3")
		return r
	}
	resp, err := http.DefaultClient.Do(req(`{"request":"r","task":3,"runUs":1000}`))
	if err != nil {
		t.Fatal(err)
	}
	var echo history.Echo
	if err := json.NewDecoder(resp.Body).Decode(&echo); err != nil || echo != (history.Echo{Request: "r", Task: 3}) {
		t.Fatalf("%+v, %v", echo, err)
	}
	_ = resp.Body.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.Address(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := req(`{"request":"r","task":3,"runUs":60000000}`).Write(conn); err != nil {
		t.Fatal(err)
	}
	waitFor(t, rec, history.Start, 2)
	_ = conn.Close()
	waitFor(t, rec, history.Abort, 1)
	waitFor(t, rec, history.End, 1)
	if err := b.Leave(0); err != nil {
		t.Fatal(err)
	}
	waitFor(t, rec, history.Leave, 1)
}

// waitFor waits up to 10 s until the history has exactly n events of a type.
func waitFor(t *testing.T, rec *history.Recorder, typ history.Type, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		count := 0
		for _, e := range rec.History().Events {
			if e.Type == typ {
				count++
			}
		}
		if count == n {
			return
		}
	}
	t.Fatalf("the history never had exactly %d events of type %s", n, typ)
}

// TestUnreachableEntry guards against a caller that fails a request when it can't
// reach the first entry instance. Nothing was submitted then, so that the caller
// may submit the job to another instance.
func TestUnreachableEntry(t *testing.T) {
	f := &fakeEntry{chooseAnswer: func(_ int, id string) *jobapi.JobAnswer { return completeAnswer(id) }}
	closed := httptest.NewServer(nil)
	closed.Close()
	c := NewCallers([]string{closed.Listener.Addr().String(), f.serve(t)}, history.NewRecorder())
	if out := c.Submit(testJob, false); !out.Complete() {
		t.Fatalf("%+v", out)
	}
}
