package resource

import (
	"maps"
	"slices"
)

// Types returns all resource types.
func Types() []Type { return []Type{TypeKind, TypeTeam, TypeUrgency, TypeLimit, TypePolicy} }

// Ref identifies a resource by type and name.
type Ref struct {
	Type Type   `json:"type"`
	Name string `json:"name"`
}

// String returns "type/name".
func (r Ref) String() string { return string(r.Type) + "/" + r.Name }

// Names returns the sorted names of the resources of a type.
func (d *Document) Names(t Type) []string {
	switch t {
	case TypeKind:
		return slices.Sorted(maps.Keys(d.Kinds))
	case TypeTeam:
		return slices.Sorted(maps.Keys(d.Teams))
	case TypeUrgency:
		return slices.Sorted(maps.Keys(d.Urgencies))
	case TypeLimit:
		return slices.Sorted(maps.Keys(d.Limits))
	case TypePolicy:
		return slices.Sorted(maps.Keys(d.Policies))
	}
	return nil
}

// Metadata returns the metadata of a resource and whether the resource exists.
func (d *Document) Metadata(r Ref) (Metadata, bool) {
	switch r.Type {
	case TypeKind:
		return metadata(d.Kinds, r.Name)
	case TypeTeam:
		return metadata(d.Teams, r.Name)
	case TypeUrgency:
		return metadata(d.Urgencies, r.Name)
	case TypeLimit:
		return metadata(d.Limits, r.Name)
	case TypePolicy:
		return metadata(d.Policies, r.Name)
	}
	return Metadata{}, false
}

func metadata[S any](objects map[string]*Object[S], name string) (Metadata, bool) {
	o := objects[name]
	if o == nil {
		return Metadata{}, false
	}
	return o.Metadata, true
}

// ReferredBy returns the resources whose spec refers to r, sorted by type and
// name.
func (d *Document) ReferredBy(r Ref) []Ref {
	var refs []Ref
	if r.Type == TypeUrgency {
		for _, name := range d.Names(TypeKind) {
			if d.Kinds[name].Spec.Urgency == r.Name {
				refs = append(refs, Ref{Type: TypeKind, Name: name})
			}
		}
	}
	for _, name := range d.Names(TypeLimit) {
		s := d.Limits[name].Spec
		if r.Type == TypeKind && s.Kind == r.Name || r.Type == TypeTeam && s.Team == r.Name {
			refs = append(refs, Ref{Type: TypeLimit, Name: name})
		}
	}
	return refs
}

// FindChange returns the revision that the change with the given ID produced,
// if the document still lists that change.
func (d *Document) FindChange(id string) (uint64, bool) {
	for i := len(d.Changes) - 1; i >= 0; i-- {
		if d.Changes[i].ID == id {
			return d.Changes[i].Revision, true
		}
	}
	return 0, false
}
