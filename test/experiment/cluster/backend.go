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
	announceLease    = 3 * time.Second
	announceInterval = time.Second
	sidecarTimeout   = time.Second
)

// Payload is the body of a task.
type Payload struct {
	Request string `json:"request"`
	Task    int    `json:"task"`
	RunUs   int64  `json:"runUs"`
}

// Behavior selects how a backend server handles tasks. With the zero value, the
// server runs each task for the run time that its payload states.
type Behavior struct {
	// Fail makes the server answer every task with status 500 at once.
	Fail bool
	// Slowdown is the factor by which the run times are multiplied; zero means 1.
	Slowdown float64
}

// BackendServer is a fake backend server. For each task it sleeps for the run
// time that the payload states, records the start and the end of the task, and
// returns a history.Echo. It uses net/http because net/http reports during a
// request that the client has closed the connection.
type BackendServer struct {
	description    wire.Backend
	sidecarAddress string // local address of the sidecar
	sidecarName    string // name of the sidecar in the history
	rec            *history.Recorder
	behavior       atomic.Pointer[Behavior]
	client         http.Client

	mu     sync.Mutex // guards the fields below
	server *http.Server
	stop   chan struct{}
}

// NewBackendServer returns a backend server that is not started. sidecarAddress
// is the "ip:port" of the sidecar's local port, and sidecarName is the name of
// the sidecar in the history.
func NewBackendServer(description wire.Backend, sidecarAddress, sidecarName string, rec *history.Recorder) *BackendServer {
	b := &BackendServer{description: description, sidecarAddress: sidecarAddress, sidecarName: sidecarName, rec: rec}
	b.client.Timeout = sidecarTimeout
	b.behavior.Store(&Behavior{})
	return b
}

// SetBehavior sets the behavior for the tasks that start from now on.
func (b *BackendServer) SetBehavior(v Behavior) { b.behavior.Store(&v) }

// Start serves on a new port and announces the server to the sidecar until Kill
// or Leave is called.
func (b *BackendServer) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotatef(err, "listen for %s", b.description.Name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server != nil {
		_ = l.Close()
		return errors.AlreadyExistsf("running %s", b.description.Name)
	}
	b.description.Address = "http://" + l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", b.runTask)
	b.server = &http.Server{Handler: mux}
	b.stop = make(chan struct{})
	b.rec.Add(history.Event{Type: history.Announce, Process: b.description.Name})
	go b.server.Serve(l)
	go b.announce(b.description, b.stop)
	return nil
}

// Address returns the base URL of the running server.
func (b *BackendServer) Address() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.description.Address
}

// Kill closes the server and its connections at once, without an announcement.
func (b *BackendServer) Kill() {
	if s := b.takeServer(); s != nil {
		_ = s.Close()
	}
}

// Leave announces that the server leaves. It returns without waiting for the
// running tasks; the server and its connections are closed after the timeout.
func (b *BackendServer) Leave(timeout time.Duration) error {
	s := b.takeServer()
	if s == nil {
		return errors.NotFoundf("running %s", b.description.Name)
	}
	b.rec.Add(history.Event{Type: history.Leave, Process: b.description.Name})
	err := b.post(announce.PathLeave, announce.Leave{Name: b.description.Name})
	time.AfterFunc(timeout, func() { _ = s.Close() })
	return errors.Annotatef(err, "leave of %s", b.description.Name)
}

// takeServer stops the announcements and removes and returns the server. It
// returns nil if no server runs.
func (b *BackendServer) takeServer() *http.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.server
	if s != nil {
		close(b.stop)
		b.server = nil
	}
	return s
}

// announce repeats the announcement until stop is closed, so that the sidecar
// renews the lease of the server. After an error it waits a tenth of the interval.
func (b *BackendServer) announce(description wire.Backend, stop <-chan struct{}) {
	body := announce.Announcement{
		Name: description.Name, Address: description.Address, Service: description.Service, Zone: description.Zone, Rack: description.Rack,
		Slots: description.Slots, Connections: description.MaxConnections, Processors: description.Size.CPUs,
		MemoryMB: description.Size.MemoryMB, Accelerators: description.Size.Accelerators, LeaseSeconds: announceLease.Seconds(),
	}
	for {
		wait := announceInterval
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

// post sends a JSON body to the local port of the sidecar.
func (b *BackendServer) post(path string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := b.client.Post("http://"+b.sidecarAddress+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return errors.Annotatef(err, "%s at %s", path, b.sidecarAddress)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s at %s: status %d", path, b.sidecarAddress, resp.StatusCode)
	}
	return nil
}

func (b *BackendServer) runTask(w http.ResponseWriter, r *http.Request) {
	var p Payload
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// net/http detects a closed connection only after the whole body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	index, err := strconv.Atoi(r.Header.Get("Cardamom-Task"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e := history.Event{
		Type: history.Start, Process: b.description.Name, Sidecar: b.sidecarName,
		Submission: r.Header.Get("Cardamom-Submission"), Task: index,
	}
	b.rec.Add(e)
	behavior := *b.behavior.Load()
	if behavior.Fail {
		e.Type = history.End
		b.rec.Add(e)
		http.Error(w, "the experiment makes this backend server fail every task", http.StatusInternalServerError)
		return
	}
	runTime := time.Duration(p.RunUs) * time.Microsecond
	if behavior.Slowdown > 0 {
		runTime = time.Duration(float64(runTime) * behavior.Slowdown)
	}
	timer := time.NewTimer(runTime)
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
