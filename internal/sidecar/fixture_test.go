package sidecar_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/backend"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/sidecar"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// waitLimit bounds the wait for a condition; no verdict depends on it while
// the condition comes true.
const waitLimit = 20 * time.Second

var demoClass = wire.Class{Team: "team", Kind: "kind"}

// fakeEntry is an entry instance that only records and answers.
type fakeEntry struct {
	t      *testing.T
	peer   wire.Peer
	server *rpcnet.Server

	mu          sync.Mutex // guards the fields below
	changed     chan struct{}
	others      []wire.Peer // told at an attach besides the own
	grants      []wire.Grant
	results     []wire.TaskResult
	attaches    int
	lastAttach  wire.AttachRequest
	lastBeat    wire.HeartbeatRequest
	failResults int // calls to take and then answer with an error
	document    wire.PullConfigReply
	demand      []wire.Demand
}

func newEntry(t *testing.T, name string) *fakeEntry {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEntry{t: t, server: rpcnet.NewServer(), changed: make(chan struct{})}
	f.peer = wire.Peer{Process: ident.Process{Instance: name, Incarnation: 7}, Address: lis.Addr().String()}
	if err := f.server.Register(wire.ServiceEntry, (*fakeService)(f)); err != nil {
		t.Fatal(err)
	}
	go f.server.Serve(lis)
	t.Cleanup(func() { f.server.Close() })
	return f
}

// update changes the state under the lock and wakes those that wait for it.
func (f *fakeEntry) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// wait waits until a condition over the state holds.
func (f *fakeEntry) wait(what string, cond func() bool) {
	f.t.Helper()
	limit := time.After(waitLimit)
	for {
		f.mu.Lock()
		ok, changed := cond(), f.changed
		f.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-limit:
			f.t.Fatalf("no %s within %v", what, waitLimit)
		}
	}
}

// take waits for a grant and removes it.
func (f *fakeEntry) take() (credit wire.Credit) {
	f.t.Helper()
	f.wait("grant", func() bool { return len(f.grants) > 0 })
	f.update(func() {
		credit = f.grants[len(f.grants)-1].Credit
		f.grants = f.grants[:len(f.grants)-1]
	})
	return credit
}

// submission returns an ID that the fake entry instance issued.
func (f *fakeEntry) submission(suffix string) string {
	return ident.SubmissionPrefix(f.peer.Process, 1) + suffix
}

type fakeService fakeEntry

func (v *fakeService) Attach(req *wire.AttachRequest, reply *wire.AttachReply) error {
	f := (*fakeEntry)(v)
	f.update(func() {
		f.attaches++
		f.lastAttach = *req
		reply.Revisions.InForce = f.document.Revision
		reply.Entry = f.peer
		reply.Entries = append([]wire.Peer{f.peer}, f.others...)
	})
	reply.Window = 1
	return nil
}

func (v *fakeService) Beat(req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	f := (*fakeEntry)(v)
	f.update(func() {
		f.lastBeat = *req
		f.grants = append(f.grants, req.Grants...)
		reply.Revisions.InForce = f.document.Revision
		reply.Demand = f.demand
		reply.Unattached = req.Entry != f.peer.Process
	})
	reply.EntriesHash = 1
	return nil
}

func (v *fakeService) Results(req *wire.ResultsRequest, reply *wire.ResultsReply) error {
	f := (*fakeEntry)(v)
	var err error
	f.update(func() {
		f.results = append(f.results, req.Results...)
		reply.Demand = f.demand
		f.grants = append(f.grants, req.Grants...)
		if f.failResults > 0 {
			f.failResults--
			err = errors.New("planted loss of the acknowledgement")
		}
	})
	return err
}

func (v *fakeService) Recall(*wire.RecallRequest, *wire.RecallReply) error { return nil }

func (v *fakeService) PullConfig(_ *wire.PullRequest, reply *wire.PullConfigReply) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	*reply = v.document
	return nil
}

// world is a sidecar with a backend server.
type world struct {
	t       *testing.T
	sidecar *sidecar.Sidecar
	backend *backend.Backend
	client  *rpcnet.Client
	ended   chan struct{}
}

func newWorld(t *testing.T, hook func(backend.TaskEvent), entries ...*fakeEntry) *world {
	t.Helper()
	return newWorldOf(t, sidecar.Config{Instance: "sidecar-1", CreditTTL: time.Hour, ReadTimeout: time.Second}, hook, entries...)
}

func newWorldOf(t *testing.T, cfg sidecar.Config, hook func(backend.TaskEvent), entries ...*fakeEntry) *world {
	t.Helper()
	for _, e := range entries {
		cfg.EntryAddresses = append(cfg.EntryAddresses, e.peer.Address)
	}
	s, err := sidecar.New(cfg, sidecar.Deps{Metrics: metrics.New(metrics.Options{Role: "sidecar"})})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, sidecar: s, ended: make(chan struct{}), client: rpcnet.NewClient(s.InternalAddr())}
	go func() {
		defer close(w.ended)
		if err := s.Run(context.Background()); err != nil {
			t.Errorf("run: %v", err)
		}
	}()
	w.backend, err = backend.New(backend.Config{Name: "backend-1", Service: "demo", Slots: 4, Lease: time.Minute,
		SidecarAddress: s.LocalAddr(), OnTaskEvent: hook})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Kill()
		<-w.ended
		w.client.Close()
		w.backend.Kill()
	})
	if err := w.backend.Announce(); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) dispatch(e *fakeEntry, credit wire.Credit, sub, payload string) wire.StartCode {
	w.t.Helper()
	req := &wire.DispatchRequest{Entry: e.peer.Process, Sidecar: w.sidecar.Process(), Starts: []wire.Start{{
		Credit: credit, Task: wire.TaskKey{Submission: sub}, Class: demoClass, Payload: []byte(payload), TimeLeftMs: 60000}}}
	e.update(func() { req.Demand = e.demand })
	var reply wire.DispatchReply
	if err := w.client.Call(context.Background(), "Sidecar.Dispatch", req, &reply); err != nil {
		w.t.Fatal(err)
	}
	e.update(func() { e.grants = append(e.grants, reply.Grants...) })
	return reply.Codes[0]
}
