package limit

import (
	"maps"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// maxSettled is the number of settled incarnations that an allocation remembers.
const maxSettled = 512

// Allocation is the document in the store that gives each holder its base
// share. It is immutable once published.
type Allocation struct {
	// Seq increases by one with each change.
	Seq uint64 `json:"seq"`
	// Revision is the configuration revision whose limits are allocated.
	Revision uint64 `json:"revision"`
	// Limits maps the name of a limit to its division.
	Limits map[string]*Division `json:"limits"`
	// Settled are incarnations whose shares have been taken back, newest last.
	Settled []string `json:"settled,omitempty"`
}

// Division is one limit with the base shares, which add up to Total. A base
// share may be negative while its holder has received share from others.
type Division struct {
	// Epoch is the sequence number with which the division began. A limit that
	// was removed and added again has a new epoch, so that earlier transfers
	// don't count.
	Epoch uint64           `json:"epoch"`
	Total int64            `json:"total"`
	Base  map[string]int64 `json:"base"`
}

func (a *Allocation) clone() *Allocation {
	next := &Allocation{Limits: map[string]*Division{}}
	if a == nil {
		return next
	}
	next.Seq, next.Revision, next.Settled = a.Seq, a.Revision, slices.Clone(a.Settled)
	for name, d := range a.Limits {
		next.Limits[name] = &Division{Epoch: d.Epoch, Total: d.Total, Base: maps.Clone(d.Base)}
	}
	return next
}

// Reallocate returns the allocation for the limits of a configuration
// revision, or nil if a needs no change. What is added to a limit goes to
// self and what is taken from it is taken from self; transfers between the
// holders spread the change.
func (a *Allocation) Reallocate(revision uint64, limits []Limit, self ident.Process) *Allocation {
	if a != nil && a.Revision >= revision {
		return nil
	}
	next := a.clone()
	next.Seq++
	next.Revision = revision
	keep := map[string]bool{}
	for _, l := range limits {
		keep[l.Name] = true
		d := next.Limits[l.Name]
		if d == nil {
			d = &Division{Epoch: next.Seq, Base: map[string]int64{}}
			next.Limits[l.Name] = d
		}
		d.Base[self.String()] += l.Total - d.Total
		d.Total = l.Total
	}
	maps.DeleteFunc(next.Limits, func(name string, _ *Division) bool { return !keep[name] })
	return next
}

// Holders returns the incarnations that have a base share.
func (a *Allocation) Holders() map[string]bool {
	out := map[string]bool{}
	if a != nil {
		for _, d := range a.Limits {
			for h := range d.Base {
				out[h] = true
			}
		}
	}
	return out
}

// Settle returns an allocation without the dead holders. flows holds the
// final flows of every live holder with the dead ones; they are folded into
// the base shares, and what the dead held goes to self. It may be used only
// when the dead can start nothing more and their tasks have ended.
func (a *Allocation) Settle(dead []string, flows map[string][]wire.ShareFlow, self ident.Process) *Allocation {
	next := a.clone()
	next.Seq++
	dead = slices.DeleteFunc(slices.Clone(dead), func(x string) bool { return slices.Contains(next.Settled, x) })
	for _, d := range next.Limits {
		freed := int64(0)
		for _, x := range dead {
			freed += d.Base[x]
			delete(d.Base, x)
		}
		if freed != 0 {
			d.Base[self.String()] += freed
		}
	}
	for holder, fs := range flows {
		for _, f := range fs {
			d := next.Limits[f.Limit]
			if d == nil || d.Epoch != f.Epoch || !slices.Contains(dead, f.Dead) {
				continue
			}
			net := f.Received - f.Given
			d.Base[holder] += net
			d.Base[self.String()] -= net
		}
	}
	next.Settled = append(next.Settled, dead...)
	if n := len(next.Settled); n > maxSettled {
		next.Settled = next.Settled[n-maxSettled:]
	}
	return next
}
