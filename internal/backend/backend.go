// Package backend implements a sample backend server, which announces itself to a
// sidecar and runs sample tasks. Tests use it as a test double.
package backend

import (
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/sidecar"
)

// Defaults of Config, and fixed limits.
const (
	DefaultSlots = 8
	DefaultLease = 3 * time.Second
	// maxPayloadBytes is the largest task payload in bytes.
	maxPayloadBytes = 4 << 20
	// callTimeout is the time limit of a request to the sidecar.
	callTimeout = 2 * time.Second
)

// Config holds the settings of a backend server. Zero values select the
// defaults.
type Config struct {
	Name    string
	Service string
	// Address is the "ip:port" to listen on; port 0 selects a free port.
	Address string
	// SidecarAddress is the local address of the sidecar. If it is empty, the backend
	// server has no sidecar: the caller must not call Run, Announce or Leave, and
	// Shutdown does not call Leave.
	SidecarAddress string
	Zone, Rack     string
	Slots          int
	Connections    int
	Processors     float64
	MemoryMB       int64
	Accelerators   int
	Lease          time.Duration
	// OnTaskEvent is called at the start and at the end of each task; it may be nil.
	OnTaskEvent func(TaskEvent)
	// Log is called for each log line; nil discards them.
	Log func(event string, format string, args ...any)
}

// TaskEvent is the start or the end of a task.
type TaskEvent struct {
	Backend    string
	Submission string
	Task       int
	Kind       string
	Team       string
	// End is false at the start of the task and true at its end.
	End bool
	// Failed is true if the task ended with an error.
	Failed bool
}

// Task is the payload of a sample task.
type Task struct {
	SleepMs int64 `json:"sleepMs,omitempty"`
	Fail    bool  `json:"fail,omitempty"`
	// Echo is returned in the response.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Response is the body of the HTTP response to a successful task.
type Response struct {
	Echo json.RawMessage `json:"echo,omitempty"`
	// Started and Ended count the tasks of this backend server, including this
	// task.
	Started int64  `json:"started"`
	Ended   int64  `json:"ended"`
	Backend string `json:"backend"`
}

// Faults are faults that the backend server injects.
type Faults struct {
	// FailAll makes each task fail immediately.
	FailAll bool
	// RefuseAll refuses each task with the response header sidecar.HeaderNotRun,
	// which proves that the task did not run.
	RefuseAll bool
	// RunTimeFactor multiplies the run times of tasks; zero means 1.
	RunTimeFactor float64
}

// Backend is one backend server.
type Backend struct {
	cfg    Config
	lis    net.Listener
	srv    *fasthttp.Server
	client fasthttp.Client
	faults atomic.Pointer[Faults]

	started, ended atomic.Int64
	tasks          sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	leaving bool
	conns   map[net.Conn]struct{}

	stop     chan struct{}
	stopOnce sync.Once
}

// New opens the listener and starts to serve. The caller then calls Run, or
// Announce within each lease.
func New(cfg Config) (*Backend, error) { return newBackend(cfg, nil) }

func newBackend(cfg Config, handler fasthttp.RequestHandler) (*Backend, error) {
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.Slots == 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Log == nil {
		cfg.Log = func(string, string, ...any) {}
	}
	lis, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", cfg.Address)
	}
	b := &Backend{cfg: cfg, lis: lis, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	b.faults.Store(&Faults{})
	if handler == nil {
		handler = b.handle
	}
	b.srv = &fasthttp.Server{Name: "cardamomturn-backend", Handler: handler, MaxRequestBodySize: maxPayloadBytes,
		CloseOnShutdown: true, ConnState: b.trackConn, Logger: discardLogger{}}
	go b.srv.Serve(lis)
	return b, nil
}

// NewWithHandler returns a backend server that serves requests with handler, for
// tests of unusual responses.
func NewWithHandler(name, sidecarAddress string, handler fasthttp.RequestHandler) (*Backend, error) {
	return newBackend(Config{Name: name, Service: "raw", SidecarAddress: sidecarAddress, Lease: time.Minute}, handler)
}

// discardLogger discards the messages of fasthttp about broken connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Addr returns the address of the backend server.
func (b *Backend) Addr() string { return b.lis.Addr().String() }

// SetFaults sets the faults for tasks that start later.
func (b *Backend) SetFaults(f Faults) { b.faults.Store(&f) }

// Counts returns the numbers of started and ended tasks.
func (b *Backend) Counts() (started, ended int64) { return b.started.Load(), b.ended.Load() }

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != sidecar.PathRun || !ctx.IsPost() {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	faults := b.faults.Load()
	if faults.RefuseAll || !b.beginTask() {
		// Error resets the response, so the header is set after the call.
		ctx.Error("no new tasks", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(sidecar.HeaderNotRun, "true")
		return
	}
	defer b.tasks.Done()
	var task Task
	if body := ctx.PostBody(); len(body) > 0 {
		if err := json.Unmarshal(body, &task); err != nil {
			ctx.Error("payload: "+err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	b.run(ctx, task, faults)
}

func (b *Backend) run(ctx *fasthttp.RequestCtx, task Task, faults *Faults) {
	event := b.newTaskEvent(ctx)
	started := b.started.Add(1)
	b.reportEvent(event)
	failed := task.Fail || faults.FailAll
	if !faults.FailAll {
		b.sleep(task.SleepMs, faults.RunTimeFactor)
	}
	ended := b.ended.Add(1)
	event.End, event.Failed = true, failed
	b.reportEvent(event)
	if failed {
		ctx.Error("the task failed as requested", fasthttp.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(Response{Echo: task.Echo, Started: started, Ended: ended, Backend: b.cfg.Name})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (b *Backend) sleep(ms int64, factor float64) {
	if factor <= 0 {
		factor = 1
	}
	if d := time.Duration(float64(ms) * factor * float64(time.Millisecond)); d > 0 {
		time.Sleep(d)
	}
}

func (b *Backend) newTaskEvent(ctx *fasthttp.RequestCtx) TaskEvent {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	index, err := strconv.Atoi(header(sidecar.HeaderTask))
	if err != nil {
		index = -1
	}
	return TaskEvent{Backend: b.cfg.Name, Submission: header(sidecar.HeaderSubmission), Task: index,
		Kind: header(sidecar.HeaderKind), Team: header(sidecar.HeaderTeam)}
}

func (b *Backend) reportEvent(e TaskEvent) {
	if b.cfg.OnTaskEvent != nil {
		b.cfg.OnTaskEvent(e)
	}
}

// beginTask counts a new task, or returns false if the backend server is leaving.
func (b *Backend) beginTask() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return false
	}
	b.tasks.Add(1)
	return true
}
