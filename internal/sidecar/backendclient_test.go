package sidecar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// TestResultBodies guards against results that break the JSON of an answer or
// that exceed the bound.
func TestResultBodies(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	big := strings.Repeat("x", sidecar.MaxResult)
	raw, err := backend.NewWithHandler("backend-1", w.sidecar.LocalAddr(), func(ctx *fasthttp.RequestCtx) {
		if string(ctx.PostBody()) == "big" {
			ctx.SetBodyString(big + "x")
			return
		}
		ctx.SetBody(ctx.PostBody())
	})
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Kill()
	e.update(func() { e.grants = nil })
	if err := raw.Announce(); err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		payload, body string
		state         jobapi.TaskState
	}{
		{`{"a": 1}`, `{"a": 1}`, jobapi.TaskCompleted},
		{`plain "text"`, `"plain \"text\""`, jobapi.TaskCompleted},
		{``, ``, jobapi.TaskCompleted},
		{`big`, ``, jobapi.TaskFailed},
	} {
		if code := w.dispatch(e, e.take(), e.submission(strings.Repeat("s", i+1)), c.payload); code != wire.Accepted {
			t.Fatalf("dispatch %d: code %d", i, code)
		}
		e.wait("result", func() bool { return len(e.results) == i+1 })
		if r := e.results[i]; r.State != c.state || string(r.Body) != c.body || (r.Error == "") != (c.state == jobapi.TaskCompleted) {
			t.Fatalf("result of %q: %s %q %q", c.payload, r.State, r.Body, r.Error)
		}
	}
}

// TestBackendRestarts guards against an idle connection to the earlier
// backend server making a task that never ran look as if it may have.
func TestBackendRestarts(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	w.dispatch(e, e.take(), e.submission("a"), `{}`)
	e.wait("result", func() bool { return len(e.results) == 1 })
	w.backend.Kill()
	b, err := backend.New(backend.Config{Name: "backend-1", Service: "demo", Slots: 4, Lease: time.Minute,
		Address: w.backend.Addr(), SidecarAddress: w.sidecar.LocalAddr()})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	w.dispatch(e, e.take(), e.submission("b"), `{}`)
	e.wait("second result", func() bool { return len(e.results) == 2 })
	if r := e.results[1]; r.State != jobapi.TaskCompleted {
		t.Fatalf("result after the restart: %+v", r)
	}
}

// TestDeadline guards against a task that runs past its deadline holding its
// slot, or being reported as not run.
func TestDeadline(t *testing.T) {
	e := newEntry(t, "entry-1")
	release := make(chan struct{})
	defer close(release)
	w := newWorldOf(t, sidecar.Config{Instance: "sidecar-1", CreditTTL: time.Hour, MaxRun: 50 * time.Millisecond},
		func(ev backend.TaskEvent) {
			if !ev.End {
				<-release
			}
		}, e)
	w.dispatch(e, e.take(), e.submission("a"), `{}`)
	e.wait("result", func() bool { return len(e.results) == 1 })
	if r := e.results[0]; r.State != jobapi.TaskMayHaveRun || !strings.Contains(r.Error, "deadline") {
		t.Fatalf("result %+v", r)
	}
	e.wait("all slots", func() bool { return e.lastBeat.HeldCredits == 4 })
}

// TestLeaseEnds guards against work for a backend server that no longer
// renews its announcement.
func TestLeaseEnds(t *testing.T) {
	e := newEntry(t, "entry-1")
	w := newWorld(t, nil, e)
	b, err := backend.New(backend.Config{Name: "backend-1", Service: "demo", Slots: 4, Lease: 10 * time.Millisecond,
		SidecarAddress: w.sidecar.LocalAddr()})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Kill()
	if err := b.Announce(); err != nil {
		t.Fatal(err)
	}
	e.wait("leaving beat", func() bool { return e.lastBeat.Leaving && e.lastBeat.HeldCredits == 0 })
}
