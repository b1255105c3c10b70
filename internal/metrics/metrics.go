// Package metrics holds the metric scopes of a process: tally with the
// Prometheus reporter, and a histogram for each team and kind.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	tally "github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Prefix begins the names of all metrics.
const Prefix = "cardamomturn"

// Other is the label value of the classes beyond the cap.
const Other = "other"

// DefaultMaxClasses bounds the classes (team and kind) with metrics of their
// own: 110 teams with nine kinds each fit. A class allocates 27 KB
// (BenchmarkNewClass), so all take 28 MB of the 256 MB that control may use.
const DefaultMaxClasses = 1024

// reportInterval is the time between two reports of the scopes to Prometheus.
const reportInterval = time.Second

// Options configure a Registry. Zero values select the defaults.
type Options struct {
	// Role is the value of the label "role" of every metric.
	Role string
	// MaxClasses caps the label combinations of team and kind.
	MaxClasses int
	// Capped is called once when the cap is reached first.
	Capped func()
}

// Registry is the metrics of one process. Its methods may be called from all
// goroutines.
type Registry struct {
	scope    tally.Scope
	close    func() error
	handler  fasthttp.RequestHandler
	max      int
	capped   func()
	capOnce  sync.Once
	mu       sync.RWMutex
	classes  map[classKey]*Class
	overflow *Class
}

type classKey struct{ team, kind string }

// New returns an empty registry. Close ends its reporting.
func New(o Options) *Registry {
	registry := prometheus.NewRegistry()
	// A failed registration must not end the process; Prometheus then lacks
	// that metric.
	reporter := promreporter.NewReporter(promreporter.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 Prefix,
		Tags:                   map[string]string{"role": o.Role},
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	if o.MaxClasses <= 0 {
		o.MaxClasses = DefaultMaxClasses
	}
	r := &Registry{scope: scope, close: closer.Close, max: o.MaxClasses, capped: o.Capped, classes: map[classKey]*Class{}}
	r.overflow = newClass(scope, classKey{Other, Other})
	r.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return r
}

// sanitizer returns the reporter's options with hyphens kept in label values;
// without them the teams "a-b" and "a_b" would share their metrics.
func sanitizer() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = append([]rune{'-'}, o.ValueCharacters.Characters...)
	return &o
}

// Close reports once more and ends the reporting.
func (r *Registry) Close() error { return r.close() }

// Scope returns the root scope for counters and gauges with fixed names.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handle serves /metrics in the Prometheus text format. The values are at most
// a second old.
func (r *Registry) Handle(ctx *fasthttp.RequestCtx) { r.handler(ctx) }

// Class returns the metrics of a team and kind, or those of Other when the cap
// is reached.
func (r *Registry) Class(team, kind string) *Class {
	key := classKey{team, kind}
	r.mu.RLock()
	c := r.classes[key]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	return r.add(key)
}

func (r *Registry) add(key classKey) *Class {
	r.mu.Lock()
	c := r.classes[key]
	if c == nil && len(r.classes) < r.max {
		c = newClass(r.scope, key)
		r.classes[key] = c
	}
	r.mu.Unlock()
	if c != nil {
		return c
	}
	if r.capped != nil {
		r.capOnce.Do(r.capped)
	}
	return r.overflow
}

// Snapshot returns the summaries of all classes, in no particular order.
func (r *Registry) Snapshot() []ClassStats {
	r.mu.RLock()
	defer r.mu.RUnlock()
	stats := make([]ClassStats, 0, len(r.classes)+1)
	for _, c := range r.classes {
		stats = append(stats, c.stats())
	}
	if s := r.overflow.stats(); s.Response.Count+s.Run.Count+s.Wait.Count > 0 {
		stats = append(stats, s)
	}
	return stats
}

// ClassStats summarises the metrics of one team and kind.
type ClassStats struct {
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Response is of jobs; Run and Wait are of tasks.
	Response resource.Histogram `json:"response"`
	Run      resource.Histogram `json:"run"`
	Wait     resource.Histogram `json:"wait"`
}
