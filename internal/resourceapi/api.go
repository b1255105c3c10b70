// Package resourceapi serves the Resource API: operators read, change and watch
// the resources of the configuration over HTTP and JSON.
//
// A watch is a stream of one JSON Event per line. It opens with the present
// resources, or with the changes after the revision given by since, and with
// the status of what is in force; a HEARTBEAT line follows, and another one
// whenever the stream is idle.
package resourceapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/clock"
	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/decision/revision"
	"github.com/cardamomturn/cardamomturn/internal/resource"
)

const (
	// HeaderChangeID carries the ID of a change in requests and responses.
	HeaderChangeID = "Cardamom-Change-ID"
	// DefaultHeartbeat is the longest silence of a watch.
	DefaultHeartbeat = 5 * time.Second
	// MaxBody is the largest request body in bytes.
	MaxBody = 64 << 10
	// MaxWatches bounds the open watches of a process.
	MaxWatches = 256
)

// Config is the configuration of the process; controller.Config implements it.
type Config interface {
	Document() *resource.Document
	Commit(ctx context.Context, e revision.Edit) (revision.Result, error)
	Subscribe(f func(*resource.Document)) (cancel func())
}

// Process is a live process as the API shows it.
type Process struct {
	Process ident.Process `json:"process"`
	// Role is "entry" or "sidecar".
	Role    string `json:"role"`
	Address string `json:"address,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// Known, InForce and Rejected are configuration revisions.
	Known    uint64 `json:"known"`
	InForce  uint64 `json:"inForce"`
	Rejected uint64 `json:"rejected,omitempty"`
	Draining bool   `json:"draining,omitempty"`
}

// StatusSource tells how the system fares. Its methods are called from several
// goroutines and must not call the API.
type StatusSource interface {
	// Processes returns the live processes.
	Processes() []Process
	// InForce returns the number of live processes, the number of those that
	// have at least revision rev in force, and the time since when all have
	// it, which is zero if they don't.
	InForce(rev uint64) (processes, inForce int, since time.Time)
	// Work sums up the work of a kind or team; nil if there is none.
	Work(ref resource.Ref) *resource.WorkSummary
	// Shares returns how the amounts of a limit or team are divided among the
	// entry instances, and the conditions that follow.
	Shares(ref resource.Ref) ([]resource.AmountShares, []resource.Condition)
}

// Options are the dependencies of an API.
type Options struct {
	Config Config
	Status StatusSource
	Clock  clock.Clock
	// Heartbeat is the longest silence of a watch; zero selects
	// DefaultHeartbeat.
	Heartbeat time.Duration
	// NewID makes change IDs; nil selects random UUIDs.
	NewID func() string
}

// API serves the resources. All methods may be called from several goroutines.
type API struct {
	opts   Options
	log    *eventLog
	ctx    context.Context
	stop   context.CancelFunc
	cancel func()
	// watches holds a token for each open watch.
	watches chan struct{}
}

// New returns an API that follows the configuration until Close.
func New(o Options) *API {
	if o.Heartbeat <= 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &API{opts: o, log: newEventLog(maxEvents), ctx: ctx, stop: stop, watches: make(chan struct{}, MaxWatches)}
	a.cancel = o.Config.Subscribe(a.log.onDocument)
	return a
}

// Close ends the watches.
func (a *API) Close() {
	a.cancel()
	a.stop()
}

// StatusChanged makes the watches show resources whose InForceSince changed.
// The runtime calls it when the revisions of the live processes change, without
// holding a lock that the StatusSource takes.
func (a *API) StatusChanged() { a.log.onStatus(a.status) }

// Register adds the API's routes.
func (a *API) Register(r *router.Router) {
	for _, t := range resource.Types() {
		path := "/v1/" + string(t)
		r.GET(path, func(rc *fasthttp.RequestCtx) { a.list(rc, t) })
		r.GET(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.get(rc, ref(rc, t)) })
		r.PUT(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.put(rc, ref(rc, t)) })
		r.DELETE(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.delete(rc, ref(rc, t)) })
	}
	r.GET("/v1/processes", func(rc *fasthttp.RequestCtx) {
		reply(rc, fasthttp.StatusOK, struct {
			Items []Process `json:"items"`
		}{a.opts.Status.Processes()})
	})
}

func ref(rc *fasthttp.RequestCtx, t resource.Type) resource.Ref {
	name, _ := rc.UserValue("name").(string)
	return resource.Ref{Type: t, Name: name}
}

// List is the body of a list.
type List struct {
	// Revision is where a watch continues.
	Revision uint64 `json:"revision"`
	Items    []any  `json:"items"`
}

func (a *API) list(rc *fasthttp.RequestCtx, t resource.Type) {
	doc := a.document(rc)
	if doc == nil {
		return
	}
	if rc.QueryArgs().GetBool("watch") {
		a.watch(rc, resource.Ref{Type: t})
		return
	}
	l := List{Revision: doc.Revision, Items: []any{}}
	for _, name := range doc.Names(t) {
		r := resource.Ref{Type: t, Name: name}
		l.Items = append(l.Items, object(doc, r, a.status(doc, r)))
	}
	reply(rc, fasthttp.StatusOK, l)
}

func (a *API) get(rc *fasthttp.RequestCtx, r resource.Ref) {
	doc := a.document(rc)
	if doc == nil {
		return
	}
	if rc.QueryArgs().GetBool("watch") {
		a.watch(rc, r)
		return
	}
	if _, ok := doc.Metadata(r); !ok {
		fail(rc, fasthttp.StatusNotFound, ErrorBody{Error: r.String() + " not found"})
		return
	}
	reply(rc, fasthttp.StatusOK, object(doc, r, a.status(doc, r)))
}

// document returns the document in force, or answers 503.
func (a *API) document(rc *fasthttp.RequestCtx) *resource.Document {
	doc := a.opts.Config.Document()
	if doc == nil {
		fail(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "no configuration yet"})
	}
	return doc
}

// status returns how a resource fares.
func (a *API) status(doc *resource.Document, r resource.Ref) *resource.Status {
	meta, _ := doc.Metadata(r)
	s := &resource.Status{ObservedGeneration: meta.Generation}
	s.Processes, s.InForce, s.InForceSince = a.opts.Status.InForce(meta.ResourceVersion)
	if r.Type == resource.TypeKind || r.Type == resource.TypeTeam {
		s.Work = a.opts.Status.Work(r)
	}
	s.Shares, s.Conditions = a.opts.Status.Shares(r)
	for i := range s.Conditions {
		s.Conditions[i].Generation = meta.Generation
	}
	return s
}

// object returns a copy of a resource with its status, or nil.
func object(doc *resource.Document, r resource.Ref, s *resource.Status) any {
	switch r.Type {
	case resource.TypeKind:
		return withStatus(doc.Kinds[r.Name], s)
	case resource.TypeTeam:
		return withStatus(doc.Teams[r.Name], s)
	case resource.TypeUrgency:
		return withStatus(doc.Urgencies[r.Name], s)
	case resource.TypeLimit:
		return withStatus(doc.Limits[r.Name], s)
	case resource.TypePolicy:
		return withStatus(doc.Policies[r.Name], s)
	}
	return nil
}

func withStatus[S any](o *resource.Object[S], s *resource.Status) any {
	if o == nil {
		return nil
	}
	c := *o
	if s != nil {
		s.Conditions = append(s.Conditions, o.Conditions...)
		c.Status, c.Conditions = s, nil
	}
	return &c
}

func reply(rc *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rc.Error(`{"error":"response can't be encoded"}`, fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(append(data, '\n'))
}
