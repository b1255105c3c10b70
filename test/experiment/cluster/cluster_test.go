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

// fakeEntry is an entry instance whose answers a test chooses.
type fakeEntry struct {
	mu   sync.Mutex
	jobs []jobapi.JobRequest
	// answer returns the body of the nth job, or nil to cut the connection.
	answer func(n int, id string) *jobapi.JobAnswer
}

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
		a := f.answer(len(f.jobs), job.SubmissionID)
		f.mu.Unlock()
		if a == nil {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(a)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// received returns the jobs so far.
func (f *fakeEntry) received() []jobapi.JobRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.jobs)
}

func complete(id string) *jobapi.JobAnswer {
	return &jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobComplete}
}

var testJob = load.Arrival{Request: "r", Team: "t", Kind: "k", Runs: []time.Duration{time.Millisecond}}

// TestLostAnswer guards against a caller that submits under a new ID after a
// lost answer, which could run a request twice.
func TestLostAnswer(t *testing.T) {
	first := &fakeEntry{answer: func(int, string) *jobapi.JobAnswer { return nil }}
	second := &fakeEntry{answer: func(_ int, id string) *jobapi.JobAnswer { return complete(id) }}
	rec := history.NewRecorder()
	c := NewCallers([]string{first.serve(t), second.serve(t)}, rec)
	out := c.Submit(testJob, false)
	if !out.Complete() || len(first.received()) != 1 || len(second.received()) != 1 {
		t.Fatalf("%+v after %d and %d requests", out, len(first.received()), len(second.received()))
	}
	if first.received()[0].SubmissionID != second.received()[0].SubmissionID {
		t.Fatal("the caller asked again under another ID")
	}
	types := []history.Type{history.Submit, history.Lost, history.Submit, history.Response}
	for i, e := range rec.History().Events {
		if i >= len(types) || e.Type != types[i] {
			t.Fatalf("event %d is %+v", i, e)
		}
	}
}

// TestRefusedAnswer guards against a caller that repeats a refused ID, or
// that submits again after an outcome that may have run.
func TestRefusedAnswer(t *testing.T) {
	f := &fakeEntry{answer: func(n int, id string) *jobapi.JobAnswer {
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
		t.Fatal("the caller used the refused ID again")
	}
}

// TestBackend guards against a fake backend server that records no start, no
// end, or no abort, which would blind the checker.
func TestBackend(t *testing.T) {
	paths := make(chan string, 100)
	sidecar := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.URL.Path }))
	defer sidecar.Close()
	rec := history.NewRecorder()
	b := NewBackend(wire.Backend{Name: "backend-0"}, strings.TrimPrefix(sidecar.URL, "http://"), "sidecar-0", rec)
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	if got := <-paths; got != "/v1/announce" {
		t.Fatalf("got a call of %s", got)
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

// waitFor waits until the history has n events of a type.
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
	t.Fatalf("no %d events of type %s", n, typ)
}

// TestUnreachable guards against a caller that gives up, although nothing was
// submitted, when the first entry instance can't be reached.
func TestUnreachable(t *testing.T) {
	f := &fakeEntry{answer: func(_ int, id string) *jobapi.JobAnswer { return complete(id) }}
	gone := httptest.NewServer(nil)
	gone.Close()
	c := NewCallers([]string{gone.Listener.Addr().String(), f.serve(t)}, history.NewRecorder())
	if out := c.Submit(testJob, false); !out.Complete() {
		t.Fatalf("%+v", out)
	}
}
