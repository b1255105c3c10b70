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
	waitTimeout       = 20 * time.Second
	heartbeatInterval = 20 * time.Millisecond
)

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout waiting for: %s", condition)
		}
	}
}

// reserveAddress returns a free loopback address for a process that starts later. Its
// port is below the range from which systems choose the ports of outgoing connections.
func reserveAddress(t *testing.T) string {
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

// startEntry runs an entry instance with an internal address until the test ends.
func startEntry(t *testing.T, st *memstore.Store, name, internal string, peers ...string) *Entry {
	t.Helper()
	e, err := NewEntry(entry.Config{
		Instance: name, Zone: "z", CallerAddress: loopback, OperatorAddress: loopback, InternalAddress: internal,
		Peers: peers, HeartbeatInterval: heartbeatInterval,
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
		EntryAddresses: entries, HeartbeatInterval: heartbeatInterval,
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

// addTeam adds a team to the configuration and returns the new revision.
func addTeam(t *testing.T, e *Entry, name string) uint64 {
	t.Helper()
	waitFor(t, "a configuration", e.Config.Ready)
	res, err := e.Config.Commit(context.Background(), revision.Edit{
		Ref: resource.Ref{Type: resource.TypeTeam, Name: name}, Spec: json.RawMessage(`{}`), ChangeID: "add-" + name})
	if err != nil {
		t.Fatal(err)
	}
	return res.Revision
}

// revisionInForce returns the revision of the configuration in force.
func revisionInForce(e *Entry) uint64 { return e.Config.Revisions().InForce }

// submit sends a job of an unknown kind and returns the answer.
func submit(t *testing.T, e *Entry) jobapi.JobAnswer {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + e.CallerAddr() + "/v1/jobs")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(`{"team":"a","kind":"none","tasks":[{}]}`)
	if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
		t.Fatal(err)
	}
	var a jobapi.JobAnswer
	if err := json.Unmarshal(resp.Body(), &a); err != nil {
		t.Fatalf("%s: %v", resp.Body(), err)
	}
	return a
}

// TestStartDuringOutage guards against an entry instance that starts during an outage of
// the store and accepts jobs without a configuration, or that does not adopt the
// configuration of a running entry instance.
func TestStartDuringOutage(t *testing.T) {
	st := memstore.New(clock.Real{}, 0)
	a := startEntry(t, st, "a", loopback)
	want := addTeam(t, a, "a")
	st.SetDown(true)
	address := reserveAddress(t)
	isolated := startEntry(t, st, "b", address)
	if ans := submit(t, isolated); !ans.NotRun || ans.Reason != jobapi.ReasonNoConfiguration {
		t.Fatalf("a job before the first configuration: %+v", ans)
	}
	startEntry(t, st, "c", loopback, a.InternalAddr(), address)
	waitFor(t, "the configuration of a running process", func() bool { return revisionInForce(isolated) == want })
	if ans := submit(t, isolated); !ans.NotRun || ans.Reason != jobapi.ReasonUnknownKind {
		t.Fatalf("a job of an unknown kind: %+v", ans)
	}
}

// TestInForceOnceInUse guards against an entry instance that reports a revision as in
// force before its core loop uses the document, and so still decides by the older one.
func TestInForceOnceInUse(t *testing.T) {
	e := startEntry(t, memstore.New(clock.Real{}, 0), "a", loopback)
	waitFor(t, "a configuration", func() bool { return revisionInForce(e) > 0 })
	old := revisionInForce(e)
	resume := e.Pause()
	defer resume()
	committed := make(chan error, 1)
	go func() {
		_, err := e.Config.Commit(context.Background(), revision.Edit{
			Ref: resource.Ref{Type: resource.TypeTeam, Name: "a"}, Spec: json.RawMessage(`{}`), ChangeID: "add-a"})
		committed <- err
	}()
	waitFor(t, "the new document", func() bool { return e.Config.Document().Revision > old })
	if now := revisionInForce(e); now != old {
		t.Fatalf("revision %d is reported as in force while the core loop uses revision %d", now, old)
	}
	resume()
	waitFor(t, "the new revision in force", func() bool { return revisionInForce(e) > old })
	if err := <-committed; err != nil {
		t.Fatal(err)
	}
}

// TestReplaceAllDuringOutage guards against the loss of accepted edits when all entry
// instances are replaced during an outage of the store, and the store is then restored
// from an older snapshot.
func TestReplaceAllDuringOutage(t *testing.T) {
	st := memstore.New(clock.Real{}, 0)
	addresses := []string{reserveAddress(t), reserveAddress(t)}
	var old []*Entry
	for i, name := range []string{"a", "b"} {
		old = append(old, startEntry(t, st, name, addresses[i], addresses...))
	}
	sidecars := []*sidecar.Sidecar{startSidecar(t, "s", addresses...), startSidecar(t, "u", addresses...)}
	addTeam(t, old[0], "a")
	snapshot := st.Snapshot()
	want := addTeam(t, old[0], "b")
	waitFor(t, "the newest revision at the sidecars", func() bool {
		return sidecars[0].Revisions().InForce == want && sidecars[1].Revisions().InForce == want
	})
	st.SetDown(true)
	for _, e := range old {
		e.Kill()
	}
	var replacements []*Entry
	for i, name := range []string{"a", "b"} {
		replacements = append(replacements, startEntry(t, st, name, addresses[i], addresses...))
	}
	waitFor(t, "the sidecars' configuration at the new entry instances", func() bool {
		return revisionInForce(replacements[0]) == want && revisionInForce(replacements[1]) == want
	})
	st.Restore(snapshot)
	st.SetDown(false)
	waitFor(t, "the newest accepted document in the store", func() bool {
		e, err := st.Get(context.Background(), controller.ConfigKey)
		return err == nil && resource.PeekRevision(e.Value) >= want
	})
	if rev := addTeam(t, replacements[1], "c"); rev <= want {
		t.Fatalf("the edit after the restore has revision %d, want more than %d", rev, want)
	}
	if doc := replacements[1].Config.Document(); doc.Teams["a"] == nil || doc.Teams["b"] == nil || doc.Teams["c"] == nil {
		t.Fatalf("teams %v", doc.Names(resource.TypeTeam))
	}
}
