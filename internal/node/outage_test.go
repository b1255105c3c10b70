package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/controller"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/store/memstore"
)

const (
	patience = 20 * time.Second
	testBeat = 20 * time.Millisecond
)

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// reserve returns a loopback address for a process that starts later. Its port
// is below those that systems give to outgoing connections.
func reserve(t *testing.T) string {
	t.Helper()
	for range 1000 {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 28000+rand.IntN(4000)))
		if err == nil {
			defer lis.Close()
			return lis.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// startEntry runs an entry instance at an internal address until the test ends.
func startEntry(t *testing.T, st *memstore.Store, name, internal string, peers ...string) *Entry {
	t.Helper()
	e, err := NewEntry(entry.Config{
		Instance: name, Zone: "z", CallerAddress: loopback, OperatorAddress: loopback, InternalAddress: internal,
		Peers: peers, HeartbeatInterval: testBeat,
	}, st, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- e.Run(context.Background()) }()
	t.Cleanup(func() {
		e.Kill()
		<-done
	})
	return e
}

func startSidecar(t *testing.T, name string, entries ...string) *sidecar.Sidecar {
	t.Helper()
	s, err := NewSidecar(sidecar.Config{
		Instance: name, Zone: "z", Rack: "r", LocalAddress: loopback, InternalAddress: loopback,
		EntryAddresses: entries, HeartbeatInterval: testBeat,
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Run(context.Background()) }()
	t.Cleanup(func() {
		s.Kill()
		<-done
	})
	return s
}

// commit adds a team and returns the revision.
func commit(t *testing.T, e *Entry, name string) uint64 {
	t.Helper()
	eventually(t, "a configuration", e.Config.Ready)
	res, err := e.Config.Commit(context.Background(), revision.Edit{
		Ref: resource.Ref{Type: resource.TypeTeam, Name: name}, Spec: json.RawMessage(`{}`), ChangeID: "add-" + name})
	if err != nil {
		t.Fatal(err)
	}
	return res.Revision
}

func inForce(e *Entry) uint64 { return e.Config.Revisions().InForce }

// submit sends a job of an unknown kind and returns the answer.
func submit(t *testing.T, e *Entry) jobapi.JobAnswer {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + e.CallerAddr() + "/v1/jobs")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(`{"team":"a","kind":"none","tasks":[{}]}`)
	if err := fasthttp.DoTimeout(req, resp, patience); err != nil {
		t.Fatal(err)
	}
	var a jobapi.JobAnswer
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		t.Fatalf("%s: %v", resp.Body(), err)
	}
	return a
}

// Guards against a new instance that works without a configuration during an
// outage of the store, or that does not take that of a live process.
func TestStartDuringOutage(t *testing.T) {
	st := memstore.New(clock.Real{}, 0)
	a := startEntry(t, st, "a", loopback)
	want := commit(t, a, "a")
	st.SetDown(true)
	address := reserve(t)
	alone := startEntry(t, st, "b", address)
	if ans := submit(t, alone); !ans.NotRun || ans.Reason != jobapi.ReasonNoConfiguration {
		t.Fatalf("a job before the first configuration: %+v", ans)
	}
	startEntry(t, st, "c", loopback, a.InternalAddr(), address)
	eventually(t, "the configuration of a live process", func() bool { return inForce(alone) == want })
	if ans := submit(t, alone); !ans.NotRun || ans.Reason != jobapi.ReasonUnknownKind {
		t.Fatalf("a job of an unknown kind: %+v", ans)
	}
}

// Guards against the loss of accepted edits when all entry instances are
// replaced during an outage of the store and it comes back in an older state.
func TestReplaceAllDuringOutage(t *testing.T) {
	st := memstore.New(clock.Real{}, 0)
	addresses := []string{reserve(t), reserve(t)}
	var old []*Entry
	for i, name := range []string{"a", "b"} {
		old = append(old, startEntry(t, st, name, addresses[i], addresses...))
	}
	sidecars := []*sidecar.Sidecar{startSidecar(t, "s", addresses...), startSidecar(t, "u", addresses...)}
	commit(t, old[0], "a")
	before := st.Snapshot()
	want := commit(t, old[0], "b")
	eventually(t, "the sidecars' copies", func() bool {
		return sidecars[0].Revisions().InForce == want && sidecars[1].Revisions().InForce == want
	})
	st.SetDown(true)
	for _, e := range old {
		e.Kill()
	}
	var fresh []*Entry
	for i, name := range []string{"a", "b"} {
		fresh = append(fresh, startEntry(t, st, name, addresses[i], addresses...))
	}
	eventually(t, "the sidecars' copies at the new instances", func() bool {
		return inForce(fresh[0]) == want && inForce(fresh[1]) == want
	})
	st.Restore(before)
	st.SetDown(false)
	eventually(t, "the newest accepted document in the store", func() bool {
		e, err := st.Get(context.Background(), controller.ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) >= want
	})
	if rev := commit(t, fresh[1], "c"); rev <= want {
		t.Fatalf("the edit after the restore has revision %d, accepted was %d", rev, want)
	}
	if doc := fresh[1].Config.Document(); doc.Teams["a"] == nil || doc.Teams["b"] == nil || doc.Teams["c"] == nil {
		t.Fatalf("teams %v", doc.Names(resource.TypeTeam))
	}
}
