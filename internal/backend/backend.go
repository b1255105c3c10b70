// Package backend is a sample backend server. It announces itself to a
// sidecar and runs sample tasks; tests use it as a test double.
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

// Defaults of Config.
const (
	DefaultSlots = 8
	DefaultLease = 3 * time.Second
	// maxBody is the largest task payload in bytes.
	maxBody = 4 << 20
	// callTimeout bounds a call of the sidecar.
	callTimeout = 2 * time.Second
)

// Config holds the settings of a backend server. Zero values select the
// defaults.
type Config struct {
	Name    string
	Service string
	// Address is where to listen; port 0 selects a free one.
	Address string
	// SidecarAddress is the local address of the sidecar; empty: the backend
	// server does not announce itself.
	SidecarAddress string
	Zone, Rack     string
	Slots          int
	Connections    int
	Processors     float64
	MemoryMB       int64
	Accelerators   int
	Lease          time.Duration
	// Hook is told of the start and the end of each task, if not nil.
	Hook func(Event)
	// Log receives events; nil drops them.
	Log func(event string, format string, args ...any)
}

// Event is the start or the end of a task.
type Event struct {
	Backend    string
	Submission string
	Task       int
	Kind       string
	Team       string
	// End is false at the start.
	End bool
	// Failed is true if the task answered with an error.
	Failed bool
}

// Task is the payload of a sample task.
type Task struct {
	SleepMs int64 `json:"sleepMs,omitempty"`
	Fail    bool  `json:"fail,omitempty"`
	// Echo is returned with the answer.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Answer is the body of the response to a task.
type Answer struct {
	Echo json.RawMessage `json:"echo,omitempty"`
	// Started and Ended count the tasks of this backend server, this one
	// included.
	Started int64  `json:"started"`
	Ended   int64  `json:"ended"`
	Backend string `json:"backend"`
}

// Faults make the backend server misbehave.
type Faults struct {
	// FailAll makes each task fail at once.
	FailAll bool
	// NotRun refuses each task with a proof that it did not run.
	NotRun bool
	// Slow multiplies the run times; zero means 1.
	Slow float64
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

// New opens the listener and starts to serve; call Announce next, or Run.
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
	b.srv = &fasthttp.Server{Name: "cardamomturn-backend", Handler: handler, MaxRequestBodySize: maxBody,
		CloseOnShutdown: true, ConnState: b.track, Logger: quiet{}}
	go b.srv.Serve(lis)
	return b, nil
}

// NewRaw returns a backend server with a handler of its own, for tests of
// unusual responses.
func NewRaw(name, sidecarAddress string, handler fasthttp.RequestHandler) (*Backend, error) {
	return newBackend(Config{Name: name, Service: "raw", SidecarAddress: sidecarAddress, Lease: time.Minute}, handler)
}

// quiet drops the messages of fasthttp about broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

// Addr returns the address of the backend server.
func (b *Backend) Addr() string { return b.lis.Addr().String() }

// SetFaults changes the fault behavior of tasks that start later.
func (b *Backend) SetFaults(f Faults) { b.faults.Store(&f) }

// Counts returns the number of started and ended tasks.
func (b *Backend) Counts() (started, ended int64) { return b.started.Load(), b.ended.Load() }

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != sidecar.PathRun || !ctx.IsPost() {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	faults := b.faults.Load()
	if faults.NotRun || !b.enter() {
		// Error resets the response, so the header comes after it.
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
	event := b.event(ctx)
	started := b.started.Add(1)
	b.report(event)
	failed := task.Fail || faults.FailAll
	if !faults.FailAll {
		b.sleep(task.SleepMs, faults.Slow)
	}
	ended := b.ended.Add(1)
	event.End, event.Failed = true, failed
	b.report(event)
	if failed {
		ctx.Error("the task fails as asked", fasthttp.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(Answer{Echo: task.Echo, Started: started, Ended: ended, Backend: b.cfg.Name})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (b *Backend) sleep(ms int64, slow float64) {
	if slow <= 0 {
		slow = 1
	}
	if d := time.Duration(float64(ms) * slow * float64(time.Millisecond)); d > 0 {
		time.Sleep(d)
	}
}

func (b *Backend) event(ctx *fasthttp.RequestCtx) Event {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	index, err := strconv.Atoi(header(sidecar.HeaderTask))
	if err != nil {
		index = -1
	}
	return Event{Backend: b.cfg.Name, Submission: header(sidecar.HeaderSubmission), Task: index,
		Kind: header(sidecar.HeaderKind), Team: header(sidecar.HeaderTeam)}
}

func (b *Backend) report(e Event) {
	if b.cfg.Hook != nil {
		b.cfg.Hook(e)
	}
}

// enter counts a task in, unless the backend server is leaving.
func (b *Backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return false
	}
	b.tasks.Add(1)
	return true
}
