// Package metrics holds the metrics of a process: a tally scope with a Prometheus
// reporter, and histograms and counters for each team and kind.
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

// Prefix is the first part of all metric names.
const Prefix = "cardamomturn"

// OtherLabelValue is the label value under which combinations beyond a limit are
// counted.
const OtherLabelValue = "other"

// DefaultMaxClasses bounds the classes (team and kind) with metrics of their
// own: 110 teams with nine kinds each fit. A class allocates 27 KB
// (BenchmarkNewClass), so all classes take 28 MB of the memory budget of 256 MB
// that the control processes have on one node.
const DefaultMaxClasses = 1024

// reportInterval is the time between two reports of the scope to the Prometheus
// registry.
const reportInterval = time.Second

// Options configure a Registry. Zero values select the defaults.
type Options struct {
	// Role is the value of the label "role" of every metric.
	Role string
	// MaxClasses bounds the number of label combinations of team and kind.
	MaxClasses int
	// OnClassLimit is called once, when a class beyond MaxClasses is first used;
	// it may be nil.
	OnClassLimit func()
}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	scope          tally.Scope
	closeScope     func() error
	handler        fasthttp.RequestHandler
	maxClasses     int
	onClassLimit   func()
	classLimitOnce sync.Once
	mu             sync.RWMutex
	classes        map[classKey]*Class
	overflow       *Class
}

type classKey struct{ team, kind string }

// New returns an empty registry. Its scope reports to a Prometheus registry until
// Close.
func New(o Options) *Registry {
	registry := prometheus.NewRegistry()
	// By default a failed registration panics. It must not end the process, so
	// Prometheus lacks that metric instead.
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
	r := &Registry{scope: scope, closeScope: closer.Close, maxClasses: o.MaxClasses, onClassLimit: o.OnClassLimit, classes: map[classKey]*Class{}}
	r.overflow = newClass(scope, classKey{OtherLabelValue, OtherLabelValue})
	r.handler = fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return r
}

// sanitizer returns the reporter's sanitize options with hyphens allowed in label
// values. With hyphens replaced, the teams "a-b" and "a_b" would share metrics.
func sanitizer() *tally.SanitizeOptions {
	o := promreporter.DefaultSanitizerOpts
	o.ValueCharacters.Characters = append([]rune{'-'}, o.ValueCharacters.Characters...)
	return &o
}

// Close reports the metrics a last time and ends the reporting.
func (r *Registry) Close() error { return r.closeScope() }

// Scope returns the root scope, for metrics without team and kind.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handle serves /metrics in the Prometheus text format. The values are at most
// one second old.
func (r *Registry) Handle(ctx *fasthttp.RequestCtx) { r.handler(ctx) }

// Class returns the metrics of a team and kind. Beyond the maximum number of
// classes it returns the shared metrics labelled OtherLabelValue.
func (r *Registry) Class(team, kind string) *Class {
	key := classKey{team, kind}
	r.mu.RLock()
	c := r.classes[key]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	return r.addClass(key)
}

func (r *Registry) addClass(key classKey) *Class {
	r.mu.Lock()
	c := r.classes[key]
	if c == nil && len(r.classes) < r.maxClasses {
		c = newClass(r.scope, key)
		r.classes[key] = c
	}
	r.mu.Unlock()
	if c != nil {
		return c
	}
	if r.onClassLimit != nil {
		r.classLimitOnce.Do(r.onClassLimit)
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

// ClassStats is the summary of the metrics of one team and kind.
type ClassStats struct {
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Response counts jobs; Run and Wait count tasks.
	Response resource.Histogram `json:"response"`
	Run      resource.Histogram `json:"run"`
	Wait     resource.Histogram `json:"wait"`
}
