package limit

import (
	"maps"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/decision/ident"
	"github.com/cardamomturn/cardamomturn/internal/wire"
)

// maxReclaimed is the largest number of reclaimed incarnations that an allocation
// lists.
const maxReclaimed = 512

// Allocation is the document in the store that gives each holder its base share
// of each limit. It must not be modified after it was published.
type Allocation struct {
	// Seq increases by one with each change.
	Seq uint64 `json:"seq"`
	// Revision is the configuration revision from which the limits were taken.
	Revision uint64 `json:"revision"`
	// Limits maps the name of each limit to its division.
	Limits map[string]*Division `json:"limits"`
	// Reclaimed are the incarnations whose shares were reclaimed, newest last.
	Reclaimed []string `json:"settled,omitempty"`
}

// Division is the division of one limit into base shares, which add up to
// Total. The base share of a holder can be negative if the holder received share
// from its peers and gave it to a holder whose share was reclaimed later, or if
// the decrease of a limit was taken from it.
type Division struct {
	// Epoch is the sequence number of the allocation that introduced the
	// division. A limit that is removed and added again gets a new epoch, so
	// that transfers of the earlier division no longer count.
	Epoch uint64           `json:"epoch"`
	Total int64            `json:"total"`
	Base  map[string]int64 `json:"base"`
}

func (a *Allocation) clone() *Allocation {
	next := &Allocation{Limits: map[string]*Division{}}
	if a == nil {
		return next
	}
	next.Seq, next.Revision, next.Reclaimed = a.Seq, a.Revision, slices.Clone(a.Reclaimed)
	for name, d := range a.Limits {
		next.Limits[name] = &Division{Epoch: d.Epoch, Total: d.Total, Base: maps.Clone(d.Base)}
	}
	return next
}

// Reallocate returns the allocation for the limits of a configuration revision,
// or nil if a already covers that revision. The share of self changes by the
// whole difference between the old and the new total of each limit. Transfers
// between the holders then even out the shares.
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
			for holder := range d.Base {
				out[holder] = true
			}
		}
	}
	return out
}

// Reclaim returns an allocation without the dead holders. flows holds, for each
// live holder, its final flows to and from the dead holders. Reclaim adds these
// flows to the base shares of the live holders and gives the remaining share of
// the dead holders to self. The caller must make sure that the dead holders can
// start no more tasks and that all their tasks have ended.
func (a *Allocation) Reclaim(dead []string, flows map[string][]wire.ShareFlow, self ident.Process) *Allocation {
	next := a.clone()
	next.Seq++
	dead = slices.DeleteFunc(slices.Clone(dead), func(holder string) bool { return slices.Contains(next.Reclaimed, holder) })
	for _, d := range next.Limits {
		reclaimed := int64(0)
		for _, holder := range dead {
			reclaimed += d.Base[holder]
			delete(d.Base, holder)
		}
		if reclaimed != 0 {
			d.Base[self.String()] += reclaimed
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
	next.Reclaimed = append(next.Reclaimed, dead...)
	if n := len(next.Reclaimed); n > maxReclaimed {
		next.Reclaimed = next.Reclaimed[n-maxReclaimed:]
	}
	return next
}
