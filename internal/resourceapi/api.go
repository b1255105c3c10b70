// Package resourceapi serves the Resource API, with which operators read,
// change and watch the resources of the configuration over HTTP and JSON.
//
// The response to a watch is a stream with one JSON Event per line. It begins
// with the current resources, or with the changes after the revision that the
// query parameter "since" contains, and with the status of the resources that
// all processes have in force. A HEARTBEAT line follows, and another one whenever
// the stream is idle.
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
	// DefaultHeartbeatInterval is the longest time in which a watch sends
	// nothing.
	DefaultHeartbeatInterval = 5 * time.Second
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 64 << 10
	// MaxWatches is the maximum number of open watches of a process.
	MaxWatches = 256
)

// Configuration is the configuration of the process;
// controller.ConfigController implements it.
type Configuration interface {
	Document() *resource.Document
	Commit(ctx context.Context, e revision.Edit) (revision.Result, error)
	Subscribe(f func(*resource.Document)) (cancel func())
}

// Process describes a live process.
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

// StatusSource provides the status of processes and resources. Its methods are
// called from several goroutines and must not call the API.
type StatusSource interface {
	// Processes returns the live processes.
	Processes() []Process
	// InForce returns the number of live processes, the number of them that
	// have at least revision rev in force, and the time since which all of them
	// have it. The time is zero if not all of them have it.
	InForce(rev uint64) (processes, inForce int, since time.Time)
	// Work returns the total work of a kind or team, or nil if there is none.
	Work(ref resource.Ref) *resource.WorkSummary
	// Shares returns how the amounts of a limit or team are divided among the
	// entry instances, and the resulting conditions.
	Shares(ref resource.Ref) ([]resource.AmountShares, []resource.Condition)
}

// Options are the dependencies of an API.
type Options struct {
	Config Configuration
	Status StatusSource
	Clock  clock.Clock
	// HeartbeatInterval is the longest time in which a watch sends nothing;
	// zero selects DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// NewID returns a new change ID; nil selects random UUIDs.
	NewID func() string
}

// API serves the resources. It is safe for concurrent use.
type API struct {
	opts        Options
	events      *eventLog
	ctx         context.Context
	stop        context.CancelFunc
	unsubscribe func()
	// watchSlots holds one element for each open watch.
	watchSlots chan struct{}
}

// New returns an API that follows the configuration until Close.
func New(o Options) *API {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &API{opts: o, events: newEventLog(maxEvents), ctx: ctx, stop: stop, watchSlots: make(chan struct{}, MaxWatches)}
	a.unsubscribe = o.Config.Subscribe(a.events.recordDocument)
	return a
}

// Close ends the subscription to the configuration and all watches.
func (a *API) Close() {
	a.unsubscribe()
	a.stop()
}

// StatusChanged sends a STATUS event to the watches for each resource whose
// version or InForceSince has changed since its last STATUS event. It has to be
// called when all live processes have a newer revision in force. The caller must
// not hold a lock that the StatusSource acquires.
func (a *API) StatusChanged() { a.events.recordStatusChanges(a.resourceStatus) }

// RegisterRoutes adds the API's routes to r.
func (a *API) RegisterRoutes(r *router.Router) {
	for _, t := range resource.Types() {
		path := "/v1/" + string(t)
		r.GET(path, func(rc *fasthttp.RequestCtx) { a.list(rc, t) })
		r.GET(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.get(rc, refFromPath(rc, t)) })
		r.PUT(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.put(rc, refFromPath(rc, t)) })
		r.DELETE(path+"/{name}", func(rc *fasthttp.RequestCtx) { a.delete(rc, refFromPath(rc, t)) })
	}
	r.GET("/v1/processes", func(rc *fasthttp.RequestCtx) {
		writeJSON(rc, fasthttp.StatusOK, struct {
			Items []Process `json:"items"`
		}{a.opts.Status.Processes()})
	})
}

// refFromPath returns the resource that the request path names.
func refFromPath(rc *fasthttp.RequestCtx, t resource.Type) resource.Ref {
	name, _ := rc.UserValue("name").(string)
	return resource.Ref{Type: t, Name: name}
}

// ListBody is the body of the response to a list request.
type ListBody struct {
	// Revision is the revision from which a watch can continue.
	Revision uint64 `json:"revision"`
	Items    []any  `json:"items"`
}

func (a *API) list(rc *fasthttp.RequestCtx, t resource.Type) {
	doc := a.requireDocument(rc)
	if doc == nil {
		return
	}
	if rc.QueryArgs().GetBool("watch") {
		a.watch(rc, resource.Ref{Type: t})
		return
	}
	l := ListBody{Revision: doc.Revision, Items: []any{}}
	for _, name := range doc.Names(t) {
		r := resource.Ref{Type: t, Name: name}
		l.Items = append(l.Items, objectWithStatus(doc, r, a.resourceStatus(doc, r)))
	}
	writeJSON(rc, fasthttp.StatusOK, l)
}

func (a *API) get(rc *fasthttp.RequestCtx, r resource.Ref) {
	doc := a.requireDocument(rc)
	if doc == nil {
		return
	}
	if rc.QueryArgs().GetBool("watch") {
		a.watch(rc, r)
		return
	}
	if _, ok := doc.Metadata(r); !ok {
		writeError(rc, fasthttp.StatusNotFound, ErrorBody{Error: r.String() + " not found"})
		return
	}
	writeJSON(rc, fasthttp.StatusOK, objectWithStatus(doc, r, a.resourceStatus(doc, r)))
}

// requireDocument returns the document in force. If there is none, it responds
// with status 503 and returns nil.
func (a *API) requireDocument(rc *fasthttp.RequestCtx) *resource.Document {
	doc := a.opts.Config.Document()
	if doc == nil {
		writeError(rc, fasthttp.StatusServiceUnavailable, ErrorBody{Error: "no configuration yet"})
	}
	return doc
}

// resourceStatus returns the status of a resource.
func (a *API) resourceStatus(doc *resource.Document, r resource.Ref) *resource.Status {
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

// objectWithStatus returns a copy of a resource with the given status, or nil
// if the resource doesn't exist. The status may be nil.
func objectWithStatus(doc *resource.Document, r resource.Ref, s *resource.Status) any {
	switch r.Type {
	case resource.TypeKind:
		return copyWithStatus(doc.Kinds[r.Name], s)
	case resource.TypeTeam:
		return copyWithStatus(doc.Teams[r.Name], s)
	case resource.TypeUrgency:
		return copyWithStatus(doc.Urgencies[r.Name], s)
	case resource.TypeLimit:
		return copyWithStatus(doc.Limits[r.Name], s)
	case resource.TypePolicy:
		return copyWithStatus(doc.Policies[r.Name], s)
	}
	return nil
}

// copyWithStatus returns a copy of o with the given status, to which it moves
// the conditions of o.
func copyWithStatus[S any](o *resource.Object[S], s *resource.Status) any {
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

func writeJSON(rc *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		rc.Error(`{"error":"response can't be encoded"}`, fasthttp.StatusInternalServerError)
		return
	}
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBody(append(data, '\n'))
}
