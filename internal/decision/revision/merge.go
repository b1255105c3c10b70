package revision

import (
	"fmt"
	"hash/fnv"
	"maps"
	"reflect"
	"slices"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// MergeResult is the result of Merge.
type MergeResult struct {
	Document *resource.Document
	// Dropped are the resources whose stored change was not merged, because it
	// would have lowered an amount that the held document changed, or because
	// the merged document would have been invalid.
	Dropped []resource.Ref
}

// Merge merges the held document with a stored document that has forked from
// it. It applies the changes of the stored document that the held document
// lacks, because these changes were accepted last. A change that would lower an
// amount which the held document changed is dropped. The result has a higher
// revision than both documents.
func Merge(held, stored *resource.Document) MergeResult {
	m := &merger{
		next:        held.Clone(),
		heldOnly:    exclusiveRevisions(held, stored),
		storedOnly:  exclusiveRevisions(stored, held),
		newRevision: max(held.Revision, stored.Revision) + 1,
	}
	m.next.Revision = m.newRevision
	mergeType(m, resource.TypeUrgency, &m.next.Urgencies, stored.Urgencies, noDecreases)
	mergeType(m, resource.TypeKind, &m.next.Kinds, stored.Kinds, noDecreases)
	mergeType(m, resource.TypeTeam, &m.next.Teams, stored.Teams, teamDecreases)
	mergeType(m, resource.TypeLimit, &m.next.Limits, stored.Limits, limitDecreases)
	mergeType(m, resource.TypePolicy, &m.next.Policies, stored.Policies, policyDecreases)
	if m.next.Validate() != nil {
		// For example, one document deletes a resource to which the other one
		// adds a reference.
		m.next = held.Clone()
		m.next.Revision = m.newRevision
		m.dropped = append(m.dropped, m.applied...)
	}
	m.next.Changes = appendChanges(m.next.Changes, m.storedChanges(stored)...)
	return MergeResult{Document: m.next, Dropped: m.dropped}
}

// merger is the state of one merge.
type merger struct {
	next *resource.Document
	// heldOnly and storedOnly are the revisions whose changes only one of the
	// two documents contains.
	heldOnly, storedOnly map[uint64]bool
	newRevision          uint64
	// applied are the resources that the stored document has changed or deleted
	// in next. dropped are those whose stored change is not merged.
	applied, dropped []resource.Ref
}

// exclusiveRevisions returns the revisions of the changes in doc that other
// lacks.
func exclusiveRevisions(doc, other *resource.Document) map[uint64]bool {
	out := map[uint64]bool{}
	for _, c := range doc.Changes {
		if !includesChange(other, c) {
			out[c.Revision] = true
		}
	}
	return out
}

// storedChanges returns the changes that only the stored document contains,
// under the new revision, followed by one change for the merge itself. The last
// change of a document must identify its whole content. Without the change for
// the merge, a later state of the stored document alone would count as a
// descendant of the merged document.
func (m *merger) storedChanges(stored *resource.Document) []resource.Change {
	var out []resource.Change
	for _, c := range stored.Changes {
		if m.storedOnly[c.Revision] {
			out = append(out, resource.Change{ID: c.ID, Revision: m.newRevision})
		}
	}
	return append(out, resource.Change{ID: mergeID(m.next, stored), Revision: m.newRevision})
}

// mergeID derives a change ID from the last changes of both documents, so that
// all processes that merge the same documents get the same result.
func mergeID(held, stored *resource.Document) string {
	h := fnv.New64a()
	for _, d := range []*resource.Document{held, stored} {
		if n := len(d.Changes); n > 0 {
			fmt.Fprintf(h, "%s/", d.Changes[n-1].ID)
		}
	}
	return fmt.Sprintf("merge-%d-%016x", held.Revision, h.Sum64())
}

// mergeType merges the stored objects of one type into objects.
func mergeType[S any](m *merger, t resource.Type, objects *map[string]*resource.Object[S], stored map[string]*resource.Object[S], decreasesOf func(old, updated *S) []Decrease) {
	if *objects == nil {
		*objects = map[string]*resource.Object[S]{}
	}
	next := *objects
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		storedObject, heldObject := stored[name], next[name]
		if !m.storedOnly[storedObject.Metadata.ResourceVersion] {
			continue
		}
		ref := resource.Ref{Type: t, Name: name}
		if heldObject != nil && m.heldOnly[heldObject.Metadata.ResourceVersion] && len(decreasesOf(&heldObject.Spec, &storedObject.Spec)) > 0 {
			m.dropped = append(m.dropped, ref)
			continue
		}
		merged := *storedObject
		merged.Metadata.ResourceVersion = m.newRevision
		if heldObject != nil && !reflect.DeepEqual(heldObject.Spec, storedObject.Spec) {
			merged.Metadata.Generation = max(merged.Metadata.Generation, heldObject.Metadata.Generation+1)
		}
		next[name] = &merged
		m.applied = append(m.applied, ref)
	}
	for _, name := range slices.Sorted(maps.Keys(next)) {
		// An object that existed before the fork and is missing from the stored
		// document was deleted there.
		if stored[name] == nil && !m.heldOnly[next[name].Metadata.ResourceVersion] {
			delete(next, name)
			m.applied = append(m.applied, resource.Ref{Type: t, Name: name})
		}
	}
}
