package memstore

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/store"
	"github.com/cardamomturn/cardamomturn/internal/store/httpstore"
)

const (
	readTimeout = 10 * time.Second
	idleTimeout = time.Minute
)

// Server serves a Store over the protocol of package httpstore.
type Server struct {
	http   fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server for s; Serve runs it.
func NewServer(s *Store) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	srv := &Server{ctx: ctx, cancel: cancel}
	srv.http = fasthttp.Server{
		Handler:            Handler(ctx, s),
		Name:               "cardamom-store-standin",
		ReadTimeout:        readTimeout,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: httpstore.MaxRequestBytes,
		CloseOnShutdown:    true,
	}
	return srv
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error { return errors.Trace(s.http.Serve(l)) }

// Close ends pending watches and stops the server.
func (s *Server) Close() error {
	s.cancel()
	return errors.Trace(s.http.Shutdown())
}

// Handler returns an HTTP handler that serves s. The pending watches end when ctx
// ends.
func Handler(ctx context.Context, s *Store) fasthttp.RequestHandler {
	r := router.New()
	r.POST(httpstore.PathGet, jsonHandler(ctx, func(ctx context.Context, in httpstore.GetRequest) (store.KeyValue, error) {
		return s.Get(ctx, in.Key)
	}))
	r.POST(httpstore.PathList, jsonHandler(ctx, func(ctx context.Context, in httpstore.ListRequest) (httpstore.ListResponse, error) {
		entries, version, err := s.List(ctx, in.Prefix)
		return httpstore.ListResponse{Entries: entries, Version: version}, err
	}))
	r.POST(httpstore.PathCompareAndSwap, jsonHandler(ctx, func(ctx context.Context, in httpstore.CompareAndSwapRequest) (httpstore.CompareAndSwapResponse, error) {
		version, err := s.CompareAndSwap(ctx, in.Key, in.Value, in.Version, in.Lease)
		return httpstore.CompareAndSwapResponse{Version: version}, err
	}))
	r.POST(httpstore.PathGrant, jsonHandler(ctx, func(ctx context.Context, in httpstore.GrantRequest) (httpstore.LeaseMessage, error) {
		if in.TTLMs > MaxLeaseTTL.Milliseconds() {
			return httpstore.LeaseMessage{}, errors.NotValidf("lease of %d ms (at most %d)", in.TTLMs, MaxLeaseTTL.Milliseconds())
		}
		id, err := s.Grant(ctx, time.Duration(in.TTLMs)*time.Millisecond)
		return httpstore.LeaseMessage{Lease: id}, err
	}))
	r.POST(httpstore.PathKeepAlive, jsonHandler(ctx, func(ctx context.Context, in httpstore.LeaseMessage) (httpstore.EmptyResponse, error) {
		return httpstore.EmptyResponse{}, s.KeepAlive(ctx, in.Lease)
	}))
	r.POST(httpstore.PathRevoke, jsonHandler(ctx, func(ctx context.Context, in httpstore.LeaseMessage) (httpstore.EmptyResponse, error) {
		return httpstore.EmptyResponse{}, s.Revoke(ctx, in.Lease)
	}))
	r.POST(httpstore.PathWatch, jsonHandler(ctx, s.serveWatch))
	return r.Handler
}

func (s *Store) serveWatch(ctx context.Context, in httpstore.WatchRequest) (httpstore.WatchResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if in.WaitMs > 0 && in.WaitMs < s.maxWatchWait.Milliseconds() {
		after := s.clock.After(time.Duration(in.WaitMs) * time.Millisecond)
		go func() {
			select {
			case <-after:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	events, version, err := s.Watch(ctx, in.Prefix, in.Version)
	return httpstore.WatchResponse{Events: events, Version: version}, err
}

// jsonHandler returns an HTTP handler that decodes the JSON request, runs call and
// encodes its result.
func jsonHandler[In, Out any](ctx context.Context, call func(context.Context, In) (Out, error)) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		var in In
		if err := json.Unmarshal(rc.PostBody(), &in); err != nil {
			writeJSON(rc, fasthttp.StatusBadRequest, httpstore.ErrorBody{Code: httpstore.CodeInvalid, Message: err.Error()})
			return
		}
		out, err := call(ctx, in)
		if err == nil {
			writeJSON(rc, fasthttp.StatusOK, out)
			return
		}
		status, code := errorStatus(err)
		if code == httpstore.CodeUnknown {
			// The client sees an unknown outcome as a connection that is closed
			// without a response.
			_ = rc.Conn().Close()
			return
		}
		writeJSON(rc, status, httpstore.ErrorBody{Code: code, Message: err.Error()})
	}
}

func errorStatus(err error) (int, httpstore.Code) {
	switch {
	case errors.Is(err, store.ErrConflict):
		return fasthttp.StatusConflict, httpstore.CodeConflict
	case errors.Is(err, store.ErrNotFound):
		return fasthttp.StatusNotFound, httpstore.CodeNotFound
	case errors.Is(err, store.ErrUnavailable):
		return fasthttp.StatusServiceUnavailable, httpstore.CodeUnavailable
	case errors.Is(err, errors.NotValid):
		return fasthttp.StatusBadRequest, httpstore.CodeInvalid
	}
	return 0, httpstore.CodeUnknown
}

func writeJSON(rc *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(data)
}
