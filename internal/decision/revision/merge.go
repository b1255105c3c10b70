package revision

import (
	"fmt"
	"hash/fnv"
	"maps"
	"reflect"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// Merged is the result of Merge.
type Merged struct {
	Document *resource.Document
	// Dropped are resources whose stored change was not taken, because it would
	// have lowered an amount that the held document raised, or because the
	// documents don't fit together.
	Dropped []resource.Ref
}

// Merge joins the held document with a stored one that has forked from it. It
// takes the changes of the stored document that the held one lacks, since they
// were accepted last, unless they lower amounts that the held side changed.
// The result has a higher revision than both.
func Merge(held, stored *resource.Document) Merged {
	g := &merger{
		next:        held.Clone(),
		heldOnly:    revisionsLacking(held, stored),
		storedOnly:  revisionsLacking(stored, held),
		newRevision: max(held.Revision, stored.Revision) + 1,
	}
	g.next.Revision = g.newRevision
	mergeType(g, resource.TypeUrgency, &g.next.Urgencies, stored.Urgencies, noAmounts)
	mergeType(g, resource.TypeKind, &g.next.Kinds, stored.Kinds, noAmounts)
	mergeType(g, resource.TypeTeam, &g.next.Teams, stored.Teams, loweredTeam)
	mergeType(g, resource.TypeLimit, &g.next.Limits, stored.Limits, loweredLimit)
	mergeType(g, resource.TypePolicy, &g.next.Policies, stored.Policies, loweredPolicy)
	if g.next.Validate() != nil {
		// For example, one side deleted what the other began to refer to.
		g.next = held.Clone()
		g.next.Revision = g.newRevision
		g.dropped = append(g.dropped, g.taken...)
	}
	g.next.Changes = remember(g.next.Changes, g.changes(stored)...)
	return Merged{Document: g.next, Dropped: g.dropped}
}

type merger struct {
	next *resource.Document
	// heldOnly and storedOnly are the revisions that one side alone has.
	heldOnly, storedOnly map[uint64]bool
	newRevision          uint64
	taken, dropped       []resource.Ref
}

// revisionsLacking returns the revisions of changes in a that b doesn't know.
func revisionsLacking(a, b *resource.Document) map[uint64]bool {
	out := map[uint64]bool{}
	for _, c := range a.Changes {
		if !knows(b, c) {
			out[c.Revision] = true
		}
	}
	return out
}

// changes returns the stored side's own changes under the new revision. The
// last change of a document has to identify all of it, so the merge adds one
// of its own; else a later state of the stored side alone would pass for a
// descendant of the merged document.
func (g *merger) changes(stored *resource.Document) []resource.Change {
	var out []resource.Change
	for _, c := range stored.Changes {
		if g.storedOnly[c.Revision] {
			out = append(out, resource.Change{ID: c.ID, Revision: g.newRevision})
		}
	}
	return append(out, resource.Change{ID: mergeID(g.next, stored), Revision: g.newRevision})
}

// mergeID derives a change ID from the last changes of both sides, so that
// processes that merge the same documents get the same result.
func mergeID(held, stored *resource.Document) string {
	h := fnv.New64a()
	for _, d := range []*resource.Document{held, stored} {
		if n := len(d.Changes); n > 0 {
			fmt.Fprintf(h, "%s/", d.Changes[n-1].ID)
		}
	}
	return fmt.Sprintf("merge-%d-%016x", held.Revision, h.Sum64())
}

// mergeType merges the objects of one type into next.
func mergeType[S any](g *merger, t resource.Type, all *map[string]*resource.Object[S], stored map[string]*resource.Object[S], lowered func(old, now *S) []Lowered) {
	if *all == nil {
		*all = map[string]*resource.Object[S]{}
	}
	next := *all
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		theirs, ours := stored[name], next[name]
		if !g.storedOnly[theirs.Metadata.ResourceVersion] {
			continue
		}
		ref := resource.Ref{Type: t, Name: name}
		if ours != nil && g.heldOnly[ours.Metadata.ResourceVersion] && len(lowered(&ours.Spec, &theirs.Spec)) > 0 {
			g.dropped = append(g.dropped, ref)
			continue
		}
		taken := *theirs
		taken.Metadata.ResourceVersion = g.newRevision
		if ours != nil && !reflect.DeepEqual(ours.Spec, theirs.Spec) {
			taken.Metadata.Generation = max(taken.Metadata.Generation, ours.Metadata.Generation+1)
		}
		next[name] = &taken
		g.taken = append(g.taken, ref)
	}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		// An object from before the fork that is missing was deleted there.
		if stored[name] == nil && !g.heldOnly[next[name].Metadata.ResourceVersion] {
			delete(next, name)
			g.taken = append(g.taken, resource.Ref{Type: t, Name: name})
		}
	}
}
