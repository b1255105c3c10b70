package sidecar

import (
	"encoding/json"
	"net"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/rpcnet"
	"github.com/cardamomturn/cardamomturn/internal/sidecar/announce"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// httpConcurrency bounds the connections of one HTTP port.
const httpConcurrency = 256

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
	// Credits is the number of unspent credits.
	Credits   int            `json:"credits"`
	Draining  bool           `json:"draining"`
	Revisions wire.Revisions `json:"revisions"`
	Entries   []EntryState   `json:"entries"`
	// LedgerTasks is the number of started tasks in the ledger.
	LedgerTasks int `json:"ledgerTasks"`
	// Traffic counts all connections between own processes.
	Traffic rpcnet.Traffic `json:"traffic"`
	Memory  metrics.Memory `json:"memory"`
}

// EntryState is the state of the link to one entry instance.
type EntryState struct {
	Address  string        `json:"address"`
	Process  ident.Process `json:"process"`
	Attached bool          `json:"attached"`
	Credits  int           `json:"credits"`
	// SilentMs is the time since the last answer in milliseconds.
	SilentMs int64 `json:"silentMs"`
	// Results is the number of results that are not acknowledged.
	Results int `json:"results"`
}

func (s *Sidecar) serveHTTP(lis net.Listener, r *router.Router) {
	srv := &fasthttp.Server{
		Name:               "cardamomturn",
		Handler:            r.Handler,
		MaxRequestBodySize: announce.MaxBody,
		ReadTimeout:        s.cfg.ReadTimeout,
		WriteTimeout:       s.cfg.ReadTimeout,
		Concurrency:        httpConcurrency,
		CloseOnShutdown:    true,
		Logger:             quiet{},
	}
	s.http = append(s.http, srv)
	go srv.Serve(lis)
}

// quiet drops the messages of fasthttp about broken connections.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}

func (s *Sidecar) localRoutes() *router.Router {
	r := router.New()
	r.POST(announce.PathAnnounce, func(ctx *fasthttp.RequestCtx) {
		a, err := announce.Parse(ctx.PostBody())
		if err != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{err.Error()})
			return
		}
		var refused error
		s.answer(ctx, func() { refused = s.announce(a) })
		if refused != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{refused.Error()})
		}
	})
	r.POST(announce.PathLeave, func(ctx *fasthttp.RequestCtx) {
		l, err := announce.ParseLeave(ctx.PostBody())
		if err != nil {
			writeJSON(ctx, fasthttp.StatusBadRequest, errorBody{err.Error()})
			return
		}
		found := true
		s.answer(ctx, func() { found = s.leave(l.Name) })
		if !found {
			writeJSON(ctx, fasthttp.StatusNotFound, errorBody{"no such backend server is announced"})
		}
	})
	return r
}

func (s *Sidecar) operatorRoutes() *router.Router {
	r := router.New()
	if s.deps.Metrics != nil {
		r.GET("/metrics", s.deps.Metrics.Handle)
	}
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { s.answer(ctx, func() {}) })
	r.POST("/v1/drain", func(ctx *fasthttp.RequestCtx) {
		on := string(ctx.QueryArgs().Peek("drain")) != "false"
		s.answer(ctx, func() { s.setDraining(on) })
	})
	r.GET("/v1/state", func(ctx *fasthttp.RequestCtx) {
		var state State
		if err := s.ask(func() { state = s.state() }); err != nil {
			writeJSON(ctx, fasthttp.StatusServiceUnavailable, errorBody{err.Error()})
			return
		}
		state.Traffic = rpcnet.TotalTraffic()
		state.Memory = metrics.ReadMemory(ctx.QueryArgs().GetBool("gc"))
		writeJSON(ctx, fasthttp.StatusOK, state)
	})
	return r
}

// answer runs an event on the core goroutine and answers 200, or 503 if the
// core has stopped.
func (s *Sidecar) answer(ctx *fasthttp.RequestCtx, f func()) {
	if err := s.ask(f); err != nil {
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

func (s *Sidecar) state() State {
	now := s.deps.Clock()
	held, free, foreign := s.m.CreditCounts(ident.Process{})
	st := State{
		Process: s.self.Process, Backend: s.backend.announced(), Slots: s.m.Slots(), Running: s.m.Running(),
		Free: free, Credits: held + foreign, Draining: s.draining || s.closing, Revisions: s.config.revisions(),
		Entries: []EntryState{}, LedgerTasks: s.m.LedgerTasks(),
	}
	for _, l := range s.links {
		e := EntryState{Address: l.addr, Process: l.peer.Process, Attached: l.attached, SilentMs: (now - l.lastHeard).Milliseconds()}
		e.Credits, _, _ = s.m.CreditCounts(l.peer.Process)
		if b := s.outboxes[l.peer.Process]; b != nil {
			e.Results = b.size()
		}
		st.Entries = append(st.Entries, e)
	}
	return st
}
