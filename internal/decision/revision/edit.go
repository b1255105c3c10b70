// Package revision holds the rules for changes of the configuration document:
// how an edit makes the next revision, which of two documents a process uses,
// and how two documents are merged after the store was restored to an older
// state. The functions are pure and don't modify the documents passed to them.
package revision

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// ConditionDecreaseAllowed is the condition type of a resource whose amounts
// were lowered with allowDecrease.
const ConditionDecreaseAllowed = "DecreaseAllowed"

// InitialChangeID is the change ID of the first revision of an installation.
const InitialChangeID = "initial"

// Edit puts or deletes one resource.
type Edit struct {
	Ref resource.Ref
	// Delete removes the resource. If it is false, Spec, the JSON of the new
	// spec, replaces the present one.
	Delete bool
	Spec   json.RawMessage
	// Expected is the resourceVersion on which the edit is based; 0 means that
	// the resource must not exist. If Expected is nil, the edit is
	// unconditional.
	Expected *uint64
	ChangeID string
	// AllowDecrease permits the edit to lower amounts.
	AllowDecrease bool
	// At is the time of the edit, which is stored in conditions.
	At time.Time
}

// Result describes an applied edit.
type Result struct {
	ChangeID string
	// Revision is the first revision that contains the edit.
	Revision uint64
	// Decreases are the amounts that the edit lowered.
	Decreases []Decrease
	// Document is the document of that revision, or of a later one if the edit
	// was already accepted earlier under the same change ID.
	Document *resource.Document
}

// Initial returns the document of a new installation, which has revision 1.
func Initial() *resource.Document {
	d := resource.Default()
	d.Revision = 1
	setResourceVersion(d.Urgencies, d.Revision)
	setResourceVersion(d.Policies, d.Revision)
	d.Changes = []resource.Change{{ID: InitialChangeID, Revision: d.Revision}}
	return d
}

func setResourceVersion[S any](objects map[string]*resource.Object[S], revision uint64) {
	for _, o := range objects {
		o.Metadata.ResourceVersion = revision
	}
}

// Apply applies an edit to base and returns the next document. The error is an
// *AlreadyAppliedError, *ConflictError, *DecreaseError, *InUseError or
// *resource.ValidationError, or satisfies errors.IsNotFound or errors.IsNotValid.
func Apply(base *resource.Document, e Edit) (*resource.Document, Result, error) {
	if !resource.ValidChangeID(e.ChangeID) {
		return nil, Result{}, errors.NotValidf("change ID %.140q", e.ChangeID)
	}
	if rev, ok := base.FindChange(e.ChangeID); ok {
		return nil, Result{}, &AlreadyAppliedError{ChangeID: e.ChangeID, Revision: rev}
	}
	if err := checkPreconditions(base, e); err != nil {
		return nil, Result{}, err
	}
	next := base.Clone()
	next.Revision++
	decreases, err := applyEdit(next, e)
	if err != nil {
		return nil, Result{}, err
	}
	next.Changes = appendChanges(next.Changes, resource.Change{ID: e.ChangeID, Revision: next.Revision})
	if err := next.Validate(); err != nil {
		return nil, Result{}, err
	}
	if len(decreases) > 0 && !e.AllowDecrease {
		return nil, Result{}, &DecreaseError{Ref: e.Ref, Decreases: decreases}
	}
	return next, Result{ChangeID: e.ChangeID, Revision: next.Revision, Decreases: decreases, Document: next}, nil
}

// checkPreconditions checks that the resource has the expected version. For a
// deletion it also checks that the resource exists and no other resource refers
// to it.
func checkPreconditions(base *resource.Document, e Edit) error {
	meta, exists := base.Metadata(e.Ref)
	if e.Delete && !exists {
		return notFound(e.Ref)
	}
	if e.Expected != nil && *e.Expected != meta.ResourceVersion {
		return &ConflictError{Ref: e.Ref, Expected: *e.Expected, Current: meta.ResourceVersion}
	}
	if by := base.ReferredBy(e.Ref); e.Delete && len(by) > 0 {
		return &InUseError{Ref: e.Ref, By: by}
	}
	return nil
}

// appendChanges returns the changes with more appended. It drops the oldest
// changes beyond resource.MaxChanges.
func appendChanges(all []resource.Change, more ...resource.Change) []resource.Change {
	all = append(slices.Clone(all), more...)
	return all[max(0, len(all)-resource.MaxChanges):]
}

// applyEdit edits one resource of next in place and returns the decreases.
func applyEdit(next *resource.Document, e Edit) ([]Decrease, error) {
	switch e.Ref.Type {
	case resource.TypeKind:
		return editObject(&next.Kinds, next.Revision, e, noDecreases[resource.KindSpec])
	case resource.TypeTeam:
		return editObject(&next.Teams, next.Revision, e, teamDecreases)
	case resource.TypeUrgency:
		return editObject(&next.Urgencies, next.Revision, e, noDecreases[resource.UrgencySpec])
	case resource.TypeLimit:
		return editObject(&next.Limits, next.Revision, e, limitDecreases)
	case resource.TypePolicy:
		return editObject(&next.Policies, next.Revision, e, policyDecreases)
	}
	return nil, errors.NotFoundf("resource type %q", e.Ref.Type)
}

// editObject puts or deletes one object and returns the decreases. decreasesOf
// compares the two specs, one of which may be nil.
func editObject[S any](objects *map[string]*resource.Object[S], revision uint64, e Edit, decreasesOf func(old, updated *S) []Decrease) ([]Decrease, error) {
	old := (*objects)[e.Ref.Name]
	var oldSpec *S
	if old != nil {
		oldSpec = &old.Spec
	}
	if e.Delete {
		delete(*objects, e.Ref.Name)
		return decreasesOf(oldSpec, nil), nil
	}
	o := &resource.Object[S]{Metadata: resource.Metadata{Name: e.Ref.Name}}
	if err := resource.DecodeStrict(e.Spec, &o.Spec); err != nil {
		return nil, errors.Annotatef(err, "%s: spec", e.Ref)
	}
	if old != nil {
		o.Metadata, o.Conditions = old.Metadata, old.Conditions
		if reflect.DeepEqual(old.Spec, o.Spec) {
			return nil, nil
		}
	}
	o.Metadata.Generation++
	o.Metadata.ResourceVersion = revision
	decreases := decreasesOf(oldSpec, &o.Spec)
	if len(decreases) > 0 {
		o.Conditions = setCondition(o.Conditions, resource.Condition{
			Type: ConditionDecreaseAllowed, Status: "True", Reason: "AllowDecrease",
			Message: joinDecreases(decreases), Generation: o.Metadata.Generation, At: e.At,
		})
	}
	if *objects == nil {
		*objects = map[string]*resource.Object[S]{}
	}
	(*objects)[e.Ref.Name] = o
	return decreases, nil
}

func setCondition(all []resource.Condition, c resource.Condition) []resource.Condition {
	all = slices.DeleteFunc(slices.Clone(all), func(existing resource.Condition) bool { return existing.Type == c.Type })
	return append(all, c)
}
