package replay

import (
	"encoding/json"
	"maps"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// fault replays starts and ends of processes; a graceful stop is replayed as
// an end without drain.
func (v *driver) fault(f load.Fault) {
	up := f.Action == "start"
	known := up || f.Action == "kill" || f.Action == "stop"
	switch {
	case known && f.Target == "entry" && f.Index >= 0 && f.Index < len(v.entries):
		v.faultEntry(v.entries[f.Index], up)
	case known && f.Target == "sidecar" && f.Index >= 0 && f.Index < len(v.sidecars):
		v.faultSidecar(v.sidecars[f.Index], up)
	case known && f.Target == "backend" && f.Index >= 0 && f.Index < len(v.sidecars):
		v.faultBackend(v.sidecars[f.Index], up)
	default:
		v.res.Unsupported[f.Action+" "+f.Target]++
	}
	v.pump()
}

func (v *driver) faultEntry(e *entry, up bool) {
	if up == (e.machine != nil) {
		return
	}
	if up {
		v.startEntry(e)
		return
	}
	e.machine = nil
	for _, s := range v.sidecars {
		if s.machine != nil {
			s.machine.Detach(v.now, e.peer.Process)
		}
	}
}

func (v *driver) faultSidecar(s *sidecar, up bool) {
	if up == (s.machine != nil) {
		return
	}
	if up {
		v.startSidecar(s)
		return
	}
	s.machine = nil
	gone := s.peer.Process
	v.at(v.now+deadAfter, func() {
		for _, e := range v.entries {
			if e.machine != nil {
				e.machine.Detach(v.now, gone)
			}
		}
		v.pump()
	})
}

func (v *driver) faultBackend(s *sidecar, up bool) {
	s.backend = nil
	s.boot++
	if up {
		b := v.d.Backend(s.index)
		s.backend = &b
	}
	if s.machine == nil {
		return
	}
	s.machine.SetBackend(v.now, s.backend)
	for _, e := range v.entries {
		if e.machine == nil {
			continue
		}
		if up {
			e.machine.Attach(v.now, s.peer, s.backend)
		}
		e.machine.SetLeaving(v.now, s.peer.Process, !up)
	}
}

func (v *driver) setDocument(doc *resource.Document) {
	v.doc = doc
	for _, e := range v.entries {
		if e.machine != nil {
			e.machine.SetDocument(v.now, doc)
		}
	}
	v.pump()
}

// applyEdit returns a new document with one resource replaced.
func applyEdit(old *resource.Document, e load.Edit) (*resource.Document, error) {
	doc := *old
	doc.Revision++
	var err error
	switch resource.Type(e.Type) {
	case resource.TypeKind:
		doc.Kinds, err = replace(doc.Kinds, e, doc.Revision)
	case resource.TypeTeam:
		doc.Teams, err = replace(doc.Teams, e, doc.Revision)
	case resource.TypeUrgency:
		doc.Urgencies, err = replace(doc.Urgencies, e, doc.Revision)
	case resource.TypeLimit:
		doc.Limits, err = replace(doc.Limits, e, doc.Revision)
	case resource.TypePolicy:
		doc.Policies, err = replace(doc.Policies, e, doc.Revision)
	default:
		return nil, errors.NotValidf("resource type %q", e.Type)
	}
	return &doc, err
}

func replace[S any](old map[string]*resource.Object[S], e load.Edit, revision uint64) (map[string]*resource.Object[S], error) {
	o := &resource.Object[S]{Metadata: resource.Metadata{Name: e.Name, Generation: 1, ResourceVersion: revision}}
	if err := json.Unmarshal(e.Spec, &o.Spec); err != nil {
		return nil, errors.NewNotValid(err, "spec of "+e.Type+"/"+e.Name)
	}
	if before := old[e.Name]; before != nil {
		o.Metadata.Generation = before.Metadata.Generation + 1
	}
	m := maps.Clone(old)
	if m == nil {
		m = map[string]*resource.Object[S]{}
	}
	m[e.Name] = o
	return m, nil
}
