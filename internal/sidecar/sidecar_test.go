package sidecar_test

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestDispatchResult guards against a task that doesn't reach the backend
// server, a result that doesn't reach the owner, and a second start of a task.
func TestDispatchResult(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	sub := e.submission("a")
	if code := w.dispatch(e, e.take(), sub, `{"echo":[1,"x"]}`); code != wire.Accepted {
		t.Fatalf("first dispatch: code %d", code)
	}
	e.wait("result", func() bool { return len(e.results) == 1 })
	r := e.results[0]
	var a backend.Response
	if r.State != jobapi.TaskCompleted || r.Task.Submission != sub || json.Unmarshal(r.Body, &a) != nil || string(a.Echo) != `[1,"x"]` {
		t.Fatalf("result %+v with body %s", r, r.Body)
	}
	if code := w.dispatch(e, e.take(), sub, `{}`); code != wire.RefusedDuplicate {
		t.Fatalf("repeated task: code %d", code)
	}
	if code := w.dispatch(e, 12345, e.submission("b"), `{}`); code != wire.RefusedCredit {
		t.Fatalf("unknown credit: code %d", code)
	}
	if started, _ := w.backend.Counts(); started != 1 {
		t.Fatalf("%d starts, want 1", started)
	}
}

// TestResultRepeated guards against a result that is lost with the
// acknowledgement, and against one that is repeated after it.
func TestResultRepeated(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	e.update(func() { e.failResults = 2 })
	w.dispatch(e, e.take(), e.submission("a"), `{"fail":true}`)
	e.wait("third delivery", func() bool { return len(e.results) == 3 })
	for _, r := range e.results {
		if r.Task.Submission != e.submission("a") || r.State != jobapi.TaskFailed || !strings.Contains(r.Error, "status 500") {
			t.Fatalf("result %+v", r)
		}
	}
	w.dispatch(e, e.take(), e.submission("b"), `{}`)
	e.wait("result of b", func() bool { return e.results[len(e.results)-1].Task.Submission == e.submission("b") })
	if len(e.results) != 4 {
		t.Fatalf("%d results delivered, want 4", len(e.results))
	}
}

// TestLeave guards against starts after the backend server has left, and
// against the entry instance not hearing of it.
func TestLeave(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	credit := e.take()
	if err := w.backend.Leave(); err != nil {
		t.Fatal(err)
	}
	if code := w.dispatch(e, credit, e.submission("a"), `{}`); code != wire.RefusedLeaving {
		t.Fatalf("dispatch after leave: code %d", code)
	}
	e.wait("leaving beat", func() bool { return e.lastBeat.Leaving && e.lastBeat.HeldCredits == 0 })
	e.update(func() { e.grants = nil })
	if err := w.backend.Announce(); err != nil {
		t.Fatal(err)
	}
	if code := w.dispatch(e, e.take(), e.submission("a"), `{}`); code != wire.Accepted {
		t.Fatalf("dispatch after the return: code %d", code)
	}
}

// TestDrain guards against a drain that cuts a running task, that starts new
// ones, or that ends before the owner has the result.
func TestDrain(t *testing.T) {
	e := newEntry(t, "entry-1")
	running, release := make(chan struct{}), make(chan struct{})
	w := newWorld(t, func(ev backend.TaskEvent) {
		if !ev.End {
			close(running)
			<-release
		}
	}, e)
	w.dispatch(e, e.take(), e.submission("a"), `{}`)
	<-running
	drained := make(chan error, 1)
	go func() { drained <- w.sidecar.Drain(context.Background()) }()
	e.wait("leaving beat", func() bool { return e.lastBeat.Leaving })
	if code := w.dispatch(e, e.take(), e.submission("b"), `{}`); code == wire.Accepted {
		t.Fatal("a start was accepted in a drain")
	}
	e.update(func() { e.failResults = 1 })
	select {
	case err := <-drained:
		t.Fatalf("drained while a task runs: %v", err)
	default:
	}
	close(release)
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
	<-w.ended
	if len(e.results) != 2 || e.results[1].State != jobapi.TaskCompleted {
		t.Fatalf("results %+v", e.results)
	}
}

// TestNotRun guards against a task that provably did not run being reported
// as anything else, against the ledger refusing its next start, and against results that don't
// tell which of the two starts they belong to.
func TestNotRun(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	w.backend.SetFaults(backend.Faults{RefuseAll: true})
	e.update(func() { e.failResults = math.MaxInt })
	w.dispatch(e, e.take(), e.submission("a"), `{}`)
	e.wait("result", func() bool { return len(e.results) > 0 && e.results[0].State == jobapi.TaskNotRun })
	w.backend.SetFaults(backend.Faults{})
	first := e.results[0].Credit
	if code := w.dispatch(e, e.take(), e.submission("a"), `{}`); code != wire.Accepted {
		t.Fatalf("second start: code %d", code)
	}
	e.update(func() { e.failResults = 0 })
	e.wait("second result", func() bool {
		last := e.results[len(e.results)-1]
		return last.State == jobapi.TaskCompleted && last.Credit != first
	})
	e.update(func() { e.results = nil })
	w.backend.Kill()
	w.dispatch(e, e.take(), e.submission("b"), `{}`)
	e.wait("result of a dead backend server", func() bool { return len(e.results) == 1 })
	if r := e.results[0]; r.State != jobapi.TaskNotRun {
		t.Fatalf("result of a dead backend server: %+v", r)
	}
	e.wait("leaving beat", func() bool { return e.lastBeat.Leaving })
}

// TestBackendDies guards against a task in flight at the death of the backend
// server being reported as not run.
func TestBackendDies(t *testing.T) {
	e := newEntry(t, "entry-1")
	running := make(chan struct{})
	release := make(chan struct{})
	defer close(release)
	w := newWorld(t, func(ev backend.TaskEvent) {
		if !ev.End {
			close(running)
			<-release
		}
	}, e)
	w.dispatch(e, e.take(), e.submission("a"), `{}`)
	<-running
	w.backend.Kill()
	e.wait("result", func() bool { return len(e.results) == 1 })
	if r := e.results[0]; r.State != jobapi.TaskMayHaveRun {
		t.Fatalf("result %+v", r)
	}
}

// TestConfig guards against slots granted to the work of another service, and
// against a document that is not pulled, that replaces a newer one, or that is
// taken although it is invalid.
func TestConfig(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	five := `{"format":1,"revision":5,"kinds":{"kind":{"spec":{"service":"other"}}}}`
	e.update(func() { e.document = wire.PullConfigReply{Revision: 5, Document: []byte(five)} })
	e.wait("revision 5", func() bool { return e.lastBeat.Revisions.InForce == 5 })
	e.update(func() { e.document = wire.PullConfigReply{Revision: 6, Document: []byte(`{"format":99,"revision":6}`)} })
	e.wait("rejection of 6", func() bool { return e.lastBeat.Revisions.Rejected == 6 })
	var reply wire.PullConfigReply
	if err := w.client.Call(context.Background(), "Sidecar.PullConfig", &wire.PullRequest{HaveRevision: 4}, &reply); err != nil {
		t.Fatal(err)
	}
	if reply.Revision != 5 || string(reply.Document) != five {
		t.Fatalf("served revision %d: %s", reply.Revision, reply.Document)
	}
	e.update(func() {
		e.demand = []wire.Demand{{Class: demoClass, Waiting: 9, Rank: 9, Weight: 8}, {Class: wire.Class{Kind: "ours"}, Waiting: 1}}
	})
	w.dispatch(e, e.take(), e.submission("d"), `{}`)
	e.wait("grant for our kind", func() bool {
		return slices.ContainsFunc(e.grants, func(g wire.Grant) bool { return g.Class.Kind == "ours" })
	})
	if slices.ContainsFunc(e.grants, func(g wire.Grant) bool { return g.Class == demoClass }) {
		t.Fatal("a credit was granted for a kind of another service")
	}
}
