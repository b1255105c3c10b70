package replay

import (
	"encoding/json"
	"maps"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
)

// applyFault replays the start or the end of a process. A graceful stop is replayed
// as an end without a drain. Other faults are counted as unsupported.
func (sim *simulator) applyFault(f load.TraceFault) {
	up := f.Action == "start"
	supported := up || f.Action == "kill" || f.Action == "stop"
	switch {
	case supported && f.Target == "entry" && f.Index >= 0 && f.Index < len(sim.entries):
		sim.setEntryUp(sim.entries[f.Index], up)
	case supported && f.Target == "sidecar" && f.Index >= 0 && f.Index < len(sim.sidecars):
		sim.setSidecarUp(sim.sidecars[f.Index], up)
	case supported && f.Target == "backend" && f.Index >= 0 && f.Index < len(sim.sidecars):
		sim.setBackendUp(sim.sidecars[f.Index], up)
	default:
		sim.result.UnsupportedFaults[f.Action+" "+f.Target]++
	}
	sim.runActions()
}

// setEntryUp starts or ends an entry instance. The sidecars detach an ended instance
// at once.
func (sim *simulator) setEntryUp(e *entry, up bool) {
	if up == (e.machine != nil) {
		return
	}
	if up {
		sim.startEntry(e)
		return
	}
	e.machine = nil
	for _, s := range sim.sidecars {
		if s.machine != nil {
			s.machine.Detach(sim.now, e.peer.Process)
		}
	}
}

// setSidecarUp starts or ends a sidecar. The entry instances detach an ended sidecar
// after detachDelay.
func (sim *simulator) setSidecarUp(s *sidecar, up bool) {
	if up == (s.machine != nil) {
		return
	}
	if up {
		sim.startSidecar(s)
		return
	}
	s.machine = nil
	stopped := s.peer.Process
	sim.schedule(sim.now+detachDelay, func() {
		for _, e := range sim.entries {
			if e.machine != nil {
				e.machine.Detach(sim.now, stopped)
			}
		}
		sim.runActions()
	})
}

// setBackendUp starts or ends the backend server of a sidecar.
func (sim *simulator) setBackendUp(s *sidecar, up bool) {
	s.backend = nil
	s.backendGeneration++
	if up {
		b := sim.deployment.Backend(s.index)
		s.backend = &b
	}
	if s.machine == nil {
		return
	}
	s.machine.SetBackend(sim.now, s.backend)
	for _, e := range sim.entries {
		if e.machine == nil {
			continue
		}
		if up {
			e.machine.Attach(sim.now, s.peer, s.backend)
		}
		e.machine.SetLeaving(sim.now, s.peer.Process, !up)
	}
}

// setDocument puts a configuration in force at all entry instances.
func (sim *simulator) setDocument(doc *resource.Document) {
	sim.document = doc
	for _, e := range sim.entries {
		if e.machine != nil {
			e.machine.SetDocument(sim.now, doc)
		}
	}
	sim.runActions()
}

// applyEdit returns a copy of a document in which one resource is replaced or added.
func applyEdit(old *resource.Document, e load.TraceEdit) (*resource.Document, error) {
	doc := *old
	doc.Revision++
	var err error
	switch resource.Type(e.Type) {
	case resource.TypeKind:
		doc.Kinds, err = replaceObject(doc.Kinds, e, doc.Revision)
	case resource.TypeTeam:
		doc.Teams, err = replaceObject(doc.Teams, e, doc.Revision)
	case resource.TypeUrgency:
		doc.Urgencies, err = replaceObject(doc.Urgencies, e, doc.Revision)
	case resource.TypeLimit:
		doc.Limits, err = replaceObject(doc.Limits, e, doc.Revision)
	case resource.TypePolicy:
		doc.Policies, err = replaceObject(doc.Policies, e, doc.Revision)
	default:
		return nil, errors.NotValidf("resource type %q", e.Type)
	}
	return &doc, err
}

// replaceObject returns a copy of a map of resources in which the edited resource is
// replaced or added.
func replaceObject[S any](old map[string]*resource.Object[S], e load.TraceEdit, revision uint64) (map[string]*resource.Object[S], error) {
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
