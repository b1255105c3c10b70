package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

var self = ident.Process{Instance: "e1", Incarnation: 7}

// document returns a configuration with kind "quick" (critical) and kind "long"
// (low) for teams a and b.
func document() *resource.Document {
	urgency := func(w float64, rank int) *resource.Urgency {
		return &resource.Urgency{Spec: resource.UrgencySpec{Weight: w, Rank: rank}}
	}
	kind := func(u string, run int64) *resource.Kind {
		return &resource.Kind{Spec: resource.KindSpec{Service: "s", Urgency: u, RunMs: run, DeadlineMs: 10_000}}
	}
	return &resource.Document{
		Kinds:     map[string]*resource.Kind{"quick": kind("critical", 50), "long": kind("low", 500)},
		Teams:     map[string]*resource.Team{"a": {}, "b": {}},
		Urgencies: map[string]*resource.Urgency{"critical": urgency(8, 3), "low": urgency(1, 0)},
	}
}

func newMachine(limiter Limiter) *Machine {
	m := New(Config{Self: self, Zone: "z1", Limiter: limiter}, rand.New(rand.NewSource(1)))
	m.SetDocument(0, document())
	m.SetWindow(0, 20)
	return m
}

func id(n int) string { return ident.SubmissionPrefix(self, 20) + fmt.Sprint("j", n) }

func request(kind string, tasks int) *jobapi.JobRequest {
	return &jobapi.JobRequest{Team: "a", Kind: kind, Tasks: make([]jobapi.TaskRequest, tasks)}
}

func process(n int) ident.Process {
	return ident.Process{Instance: fmt.Sprint("s", n), Incarnation: uint64(n) + 1}
}

func attach(m *Machine, now time.Duration, p ident.Process, slots int) {
	m.Attach(now, Worker{Sidecar: wire.Peer{Process: p, Zone: "z1"},
		Backend: &wire.Backend{Name: p.Instance, Service: "s", Slots: slots}})
}

// grants returns n grants of credits for different slots.
func grants(from, n int) []wire.Grant {
	g := make([]wire.Grant, n)
	for i := range g {
		g[i].Credit = wire.NewCredit(uint64((from+i)%256), uint64(from+i))
	}
	return g
}

// startsBySidecar returns the starts of all Dispatch actions by sidecar.
func startsBySidecar(actions []Action) map[ident.Process][]wire.Start {
	out := map[ident.Process][]wire.Start{}
	for _, a := range actions {
		if d, ok := a.(Dispatch); ok {
			out[d.Sidecar] = append(out[d.Sidecar], d.Starts...)
		}
	}
	return out
}

// singleStart returns the only start for a sidecar in the queued actions.
func singleStart(t *testing.T, m *Machine, p ident.Process) wire.Start {
	t.Helper()
	s := startsBySidecar(m.Actions())[p]
	if len(s) != 1 {
		t.Fatalf("got %d starts at %v, want 1", len(s), p)
	}
	return s[0]
}

func taskResult(s wire.Start, state jobapi.TaskState) []wire.TaskResult {
	return []wire.TaskResult{{Task: s.Task, Credit: s.Credit, State: state, RunMs: 10}}
}
