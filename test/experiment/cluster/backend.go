package cluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

const (
	announceLease = 3 * time.Second
	announceEvery = time.Second
	localTimeout  = time.Second
)

// Payload is the body of a task.
type Payload struct {
	Request string `json:"request"`
	Task    int    `json:"task"`
	RunUs   int64  `json:"runUs"`
}

// Behavior is how a backend server treats tasks. The zero value runs them.
type Behavior struct {
	// Fail answers every task with status 500 at once.
	Fail bool
	// Slowdown multiplies run times; zero means 1.
	Slowdown float64
}

// BackendServer is a fake backend server. It sleeps for the run time that the
// payload states, records starts and ends, and returns a history.Echo. It uses
// net/http because that reports when the client goes away during a request.
type BackendServer struct {
	about    wire.Backend
	sidecar  string // local address of the sidecar
	peer     string // name of the sidecar in the history
	rec      *history.Recorder
	behavior atomic.Pointer[Behavior]
	client   http.Client

	mu     sync.Mutex // guards the fields below
	server *http.Server
	stop   chan struct{}
}

// NewBackend returns a backend server that is not started. sidecar is the
// "ip:port" of the sidecar's local port and peer its name in the history.
func NewBackend(about wire.Backend, sidecar, peer string, rec *history.Recorder) *BackendServer {
	b := &BackendServer{about: about, sidecar: sidecar, peer: peer, rec: rec}
	b.client.Timeout = localTimeout
	b.behavior.Store(&Behavior{})
	return b
}

// SetBehavior changes how later tasks are treated.
func (b *BackendServer) SetBehavior(v Behavior) { b.behavior.Store(&v) }

// Start listens on a new port and announces the server until it ends.
func (b *BackendServer) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotatef(err, "listen for %s", b.about.Name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = l.Close()
		return errors.AlreadyExistsf("running %s", b.about.Name)
	}
	b.about.Address = "http://" + l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", b.run)
	b.server = &http.Server{Handler: mux}
	b.stop = make(chan struct{})
	b.rec.Add(history.Event{Type: history.Announce, Process: b.about.Name})
	go b.server.Serve(l)
	go b.announce(b.about, b.stop)
	return nil
}

// Address is the base URL of the running server.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.about.Address
}

// Kill closes the server and its connections at once.
func (b *BackendServer) Kill() {
	if s := b.detach(); s != nil {
		_ = s.Close()
	}
}

// Leave announces that the server leaves, lets running tasks end within the
// bound, and closes it.
func (b *BackendServer) Leave(bound time.Duration) error {
	s := b.detach()
	if s == nil {
		return errors.NotFoundf("running %s", b.about.Name)
	}
	b.rec.Add(history.Event{Type: history.Leave, Process: b.about.Name})
	err := b.post(announce.PathLeave, announce.Leave{Name: b.about.Name})
	time.AfterFunc(bound, func() { _ = s.Close() })
	return errors.Annotatef(err, "leave of %s", b.about.Name)
}

// detach ends the announcements and hands out the server, nil if none runs.
func (b *BackendServer) detach() *http.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server
	if s != nil {
		close(b.stop)
		b.server = nil
	}
	return s
}

func (b *BackendServer) announce(about wire.Backend, stop <-chan struct{}) {
	body := announce.Announcement{
		Name: about.Name, Address: about.Address, Service: about.Service, Zone: about.Zone, Rack: about.Rack,
		Slots: about.Slots, Connections: about.MaxConnections, Processors: about.Size.CPUs,
		MemoryMB: about.Size.MemoryMB, Accelerators: about.Size.Accelerators, LeaseSeconds: announceLease.Seconds(),
	}
	for {
		wait := announceEvery
		if err := b.post(announce.PathAnnounce, body); err != nil {
			wait /= 10
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

func (b *BackendServer) post(path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := b.client.Post("http://"+b.sidecar+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return errors.Annotatef(err, "%s at %s", path, b.sidecar)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s at %s: status %d", path, b.sidecar, resp.StatusCode)
	}
	return nil
}

func (b *BackendServer) run(w http.ResponseWriter, r *http.Request) {
	var p Payload
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The rest of the body has to be read before the client's end is noticed.
	_, _ = io.Copy(io.Discard, r.Body)
	index, err := strconv.Atoi(r.Header.Get("Cardamom-Task"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := history.Event{
		Type: history.Start, Process: b.about.Name, Peer: b.peer,
		Submission: r.Header.Get("Cardamom-Submission"), Task: index,
	}
	b.rec.Add(e)
	how := *b.behavior.Load()
	if how.Fail {
		e.Type = history.End
		b.rec.Add(e)
		http.Error(w, "the backend server fails every task", http.StatusInternalServerError)
		return
	}
	run := time.Duration(p.RunUs) * time.Microsecond
	if how.Slowdown > 0 {
		run = time.Duration(float64(run) * how.Slowdown)
	}
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
		e.Type = history.End
		b.rec.Add(e)
	case <-r.Context().Done():
		e.Type = history.Abort
		b.rec.Add(e)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"request":%q,"task":%d}`, p.Request, p.Task)
}
