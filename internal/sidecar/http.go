package sidecar

import (
	"encoding/json"
	"net"

	"github.com/fasthttp/router"
	tally "github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/ingress"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

const (
	// httpConcurrency bounds the connections that the HTTP server of one port serves at a time.
	httpConcurrency = 256
	// portConnections bounds the open connections of one HTTP port. It is lower than
	// httpConcurrency, so that the gate closes one for a new one before the server refuses it.
	portConnections = httpConcurrency / 2
)

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// State is the body of GET /v1/state.
type State struct {
	Process ident.Process `json:"process"`
	Backend *wire.Backend `json:"backend,omitempty"`
	Slots   int           `json:"slots"`
	Running int           `json:"running"`
	Free    int           `json:"free"`
	// Credits is the number of unspent credits of all entry instances.
	Credits   int            `json:"credits"`
	Draining  bool           `json:"draining"`
	Revisions wire.Revisions `json:"revisions"`
	Entries   []EntryState   `json:"entries"`
	// LedgerTasks is the number of tasks in the ledger.
	LedgerTasks int `json:"ledgerTasks"`
	// Traffic is the traffic of all RPC connections of this process.
	Traffic rpcnet.Traffic `json:"traffic"`
	Memory  metrics.Memory `json:"memory"`
}

// EntryState is the state of the link to one entry instance.
type EntryState struct {
	Address  string        `json:"address"`
	Process  ident.Process `json:"process"`
	Attached bool          `json:"attached"`
	Credits  int           `json:"credits"`
	// SilentMs is the time since the last successful call in milliseconds.
	SilentMs int64 `json:"silentMs"`
	// Results is the number of results that the entry instance has not acknowledged.
	Results int `json:"results"`
}

func (s *Sidecar) serveHTTP(port string, lis net.Listener, r *router.Router) {
	srv := &fasthttp.Server{
		Name:               "cardamomturn",
		Handler:            r.Handler,
		MaxRequestBodySize: announce.MaxBodyBytes,
		ReadTimeout:        s.cfg.ReadTimeout,
		WriteTimeout:       s.cfg.ReadTimeout,
		Concurrency:        httpConcurrency,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	s.gates.Clients.Guard(srv, ingress.Port{Name: port, Refuse: writeRefusal})
	s.httpServers = append(s.httpServers, srv)
	go srv.Serve(lis)
}

// openGates puts gates before the listeners.
func (s *Sidecar) openGates() {
	var scope tally.Scope
	if s.deps.Metrics != nil {
		scope = s.deps.Metrics.Scope()
	}
	s.gates = s.cfg.Resources.OpenGates(announce.MaxBodyBytes, rpcnet.MaxFrameBytes, scope)
	s.localListener = s.gates.Clients.Listen("local", portConnections, s.localListener)
	s.operatorListener = s.gates.Clients.Listen("operator", portConnections, s.operatorListener)
	s.internalListener = s.gates.Internal.Listen("internal", 0, s.internalListener)
}

// writeRefusal answers a request that is refused before a handler receives it.
func writeRefusal(ctx *fasthttp.RequestCtx, status int) {
	writeJSON(ctx, status, errorBody{"the request is outside the limits, or there is no room for it"})
}

// discardLogger discards the log messages of fasthttp, most of which report broken
// connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// localRoutes returns the API for the backend server.
func (s *Sidecar) localRoutes() *router.Router {
	r := router.New()
	r.POST(announce.PathAnnounce, func(ctx *fasthttp.RequestCtx) {
		a, err := announce.Parse(ctx.PostBody())
		if err != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{err.Error()})
			return
		}
		var invalid error
		s.runAndRespond(ctx, func() { invalid = s.handleAnnouncement(a) })
		if invalid != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{invalid.Error()})
		}
	})
	r.POST(announce.PathLeave, func(ctx *fasthttp.RequestCtx) {
		l, err := announce.ParseLeave(ctx.PostBody())
		if err != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{err.Error()})
			return
		}
		found := true
		s.runAndRespond(ctx, func() { found = s.handleLeave(l.Name) })
		if !found {
			writeJSON(ctx, fasthttp.StatusNotFound, errorBody{"no backend server with this name is announced"})
		}
	})
	return r
}

// operatorRoutes returns the API for operators.
func (s *Sidecar) operatorRoutes() *router.Router {
	r := router.New()
	if s.deps.Metrics != nil {
		r.GET("/metrics", s.deps.Metrics.Handle)
	}
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { s.runAndRespond(ctx, func() {}) })
	r.POST("/v1/drain", func(ctx *fasthttp.RequestCtx) {
		drain := string(ctx.QueryArgs().Peek("drain")) != "false"
		s.runAndRespond(ctx, func() { s.setDraining(drain) })
	})
	r.GET("/v1/state", func(ctx *fasthttp.RequestCtx) {
		var state State
		if err := s.postAndWait(func() { state = s.currentState() }); err != nil {
			writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{err.Error()})
			return
		}
		state.Traffic = rpcnet.TotalTraffic()
		state.Memory = metrics.ReadMemory(ctx.QueryArgs().GetBool("gc"))
		writeJSON(ctx, fasthttp.StatusOK, state)
	})
	return r
}

// runAndRespond runs an event on the core goroutine and responds with status 200, or
// with 503 if the sidecar has stopped.
func (s *Sidecar) runAndRespond(ctx *fasthttp.RequestCtx, f func()) {
	if err := s.postAndWait(f); err != nil {
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{err.Error()})
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, struct{}{})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Sidecar) currentState() State {
	now := s.deps.Clock()
	held, free, elsewhere := s.machine.CreditCounts(ident.Process{})
	st := State{
		Process: s.self.Process, Backend: s.backend.announced(), Slots: s.machine.Slots(), Running: s.machine.Running(),
		Free: free, Credits: held + elsewhere, Draining: s.draining || s.shuttingDown, Revisions: s.config.revisions(),
		Entries: []EntryState{}, LedgerTasks: s.machine.LedgerTasks(),
	}
	for _, l := range s.links {
		e := EntryState{Address: l.addr, Process: l.peer.Process, Attached: l.attached, SilentMs: (now - l.lastReply).Milliseconds()}
		e.Credits, _, _ = s.machine.CreditCounts(l.peer.Process)
		if o := s.outboxes[l.peer.Process]; o != nil {
			e.Results = o.size()
		}
		st.Entries = append(st.Entries, e)
	}
	return st
}
