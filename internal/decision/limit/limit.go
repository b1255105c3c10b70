// Package limit divides hard limits among the entry instances. Every process
// holds a share of each limit; the shares never add up to more than the limit,
// whatever messages are lost or repeated and whichever holder dies. Idle share
// moves directly between holders.
package limit

import (
	"sort"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Dimension is what a limit counts.
type Dimension string

// Dimensions of a limit.
const (
	// Concurrency counts running tasks.
	Concurrency Dimension = "concurrency"
	// Rate counts the task starts of the last second.
	Rate Dimension = "rate"
	// Queue counts waiting tasks.
	Queue Dimension = "queue"
)

// Scope selects the work that a limit counts; empty fields match all.
type Scope struct {
	Team, Kind string
}

func (s Scope) matches(c wire.Class) bool {
	return (s.Team == "" || s.Team == c.Team) && (s.Kind == "" || s.Kind == c.Kind)
}

// Limit is one bound of the configuration.
type Limit struct {
	// Name is "team/NAME/DIMENSION" or "limit/NAME/DIMENSION".
	Name      string
	Scope     Scope
	Dimension Dimension
	Total     int64
}

// Limits returns the bounds of a document, sorted by name.
func Limits(doc *resource.Document) []Limit {
	var out []Limit
	for name, t := range doc.Teams {
		out = appendAmounts(out, "team/"+name, Scope{Team: name}, t.Spec.Quota)
	}
	for name, l := range doc.Limits {
		out = appendAmounts(out, "limit/"+name, Scope{Team: l.Spec.Team, Kind: l.Spec.Kind}, l.Spec.Amounts)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func appendAmounts(out []Limit, prefix string, scope Scope, a resource.Amounts) []Limit {
	for _, d := range []struct {
		dimension Dimension
		total     *int64
	}{{Concurrency, a.Concurrency}, {Rate, a.Rate}, {Queue, a.Queue}} {
		if d.total != nil {
			out = append(out, Limit{Name: prefix + "/" + string(d.dimension), Scope: scope, Dimension: d.dimension, Total: *d.total})
		}
	}
	return out
}
