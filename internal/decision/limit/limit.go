// Package limit divides hard limits among the entry instances. Each entry
// instance holds a share of each limit and starts or queues no more work than
// its share allows. The shares never add up to more than the limit, even if
// messages are lost or repeated or a holder crashes.
//
// An Allocation in the store gives each holder a base share. Holders with idle
// share transfer it directly to holders that need it, without a write to the
// store. A holder lowers its own share first and then sends the cumulative
// total of its transfers to the peer, so lost or repeated messages never raise
// the sum of the shares.
package limit

import (
	"sort"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// Dimension is the quantity that a limit bounds.
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

// Scope selects the work that a limit counts. An empty field matches every
// value.
type Scope struct {
	Team, Kind string
}

func (s Scope) matches(c wire.Class) bool {
	return (s.Team == "" || s.Team == c.Team) && (s.Kind == "" || s.Kind == c.Kind)
}

// Limit is one bound set in the configuration.
type Limit struct {
	// Name is "team/NAME/DIMENSION" or "limit/NAME/DIMENSION".
	Name      string
	Scope     Scope
	Dimension Dimension
	Total     int64
}

// FromDocument returns the limits of a configuration document, sorted by name.
func FromDocument(doc *resource.Document) []Limit {
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
