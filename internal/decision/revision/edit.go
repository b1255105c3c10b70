// Package revision holds the rules by which the configuration document
// changes: how an edit makes the next revision, which of two documents a
// process uses, and how documents are joined after the store went back to an
// older state. All functions are pure; documents passed in are not modified.
package revision

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// ConditionDecreaseAllowed is the condition of a resource whose amounts were
// lowered with allowDecrease.
const ConditionDecreaseAllowed = "DecreaseAllowed"

// InitialChange is the change ID of the first revision of an installation.
const InitialChange = "initial"

// Edit puts or deletes one resource.
type Edit struct {
	Ref resource.Ref
	// Delete removes the resource; else Spec, the JSON of its spec, replaces it.
	Delete bool
	Spec   json.RawMessage
	// Expected is the resourceVersion that the edit is based on; 0 means that
	// the resource must not exist. A nil pointer makes the edit unconditional.
	Expected *uint64
	ChangeID string
	// AllowDecrease permits lower amounts.
	AllowDecrease bool
	// At is the time of the edit, for conditions.
	At time.Time
}

// Result describes an applied edit.
type Result struct {
	ChangeID string
	// Revision contains the edit.
	Revision uint64
	// Lowered are the amounts that the edit lowered.
	Lowered []Lowered
	// Document is the one of Revision, or a later one if the edit was accepted
	// earlier under the same change ID.
	Document *resource.Document
}

// Initial returns revision 1 of a new installation.
func Initial() *resource.Document {
	d := resource.Default()
	d.Revision = 1
	stamp(d.Urgencies, d.Revision)
	stamp(d.Policies, d.Revision)
	d.Changes = []resource.Change{{ID: InitialChange, Revision: d.Revision}}
	return d
}

func stamp[S any](all map[string]*resource.Object[S], revision uint64) {
	for _, o := range all {
		o.Metadata.ResourceVersion = revision
	}
}

// Apply returns the document that follows base. Errors are *AppliedError,
// *ConflictError, *DecreaseError, *InUseError or *resource.ValidationError, or satisfy
// errors.IsNotFound or errors.IsNotValid.
func Apply(base *resource.Document, e Edit) (*resource.Document, Result, error) {
	if !resource.ValidChangeID(e.ChangeID) {
		return nil, Result{}, errors.NotValidf("change ID %.140q", e.ChangeID)
	}
	if rev, ok := base.FindChange(e.ChangeID); ok {
		return nil, Result{}, &AppliedError{ChangeID: e.ChangeID, Revision: rev}
	}
	if err := checkVersion(base, e); err != nil {
		return nil, Result{}, err
	}
	next := base.Clone()
	next.Revision++
	lowered, err := change(next, e)
	if err != nil {
		return nil, Result{}, err
	}
	next.Changes = remember(next.Changes, resource.Change{ID: e.ChangeID, Revision: next.Revision})
	if err := next.Validate(); err != nil {
		return nil, Result{}, err
	}
	if len(lowered) > 0 && !e.AllowDecrease {
		return nil, Result{}, &DecreaseError{Ref: e.Ref, Lowered: lowered}
	}
	return next, Result{ChangeID: e.ChangeID, Revision: next.Revision, Lowered: lowered, Document: next}, nil
}

func checkVersion(base *resource.Document, e Edit) error {
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

// remember appends changes and drops the oldest beyond resource.MaxChanges.
func remember(all []resource.Change, more ...resource.Change) []resource.Change {
	all = append(slices.Clone(all), more...)
	return all[max(0, len(all)-resource.MaxChanges):]
}

// change edits one resource of next in place.
func change(next *resource.Document, e Edit) ([]Lowered, error) {
	switch e.Ref.Type {
	case resource.TypeKind:
		return edit(&next.Kinds, next.Revision, e, noAmounts[resource.KindSpec])
	case resource.TypeTeam:
		return edit(&next.Teams, next.Revision, e, loweredTeam)
	case resource.TypeUrgency:
		return edit(&next.Urgencies, next.Revision, e, noAmounts[resource.UrgencySpec])
	case resource.TypeLimit:
		return edit(&next.Limits, next.Revision, e, loweredLimit)
	case resource.TypePolicy:
		return edit(&next.Policies, next.Revision, e, loweredPolicy)
	}
	return nil, errors.NotFoundf("resource type %q", e.Ref.Type)
}

// edit puts or deletes one object. The function lowered compares two specs, of
// which one may be nil.
func edit[S any](all *map[string]*resource.Object[S], revision uint64, e Edit, lowered func(old, now *S) []Lowered) ([]Lowered, error) {
	old := (*all)[e.Ref.Name]
	var oldSpec *S
	if old != nil {
		oldSpec = &old.Spec
	}
	if e.Delete {
		delete(*all, e.Ref.Name)
		return lowered(oldSpec, nil), nil
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
	low := lowered(oldSpec, &o.Spec)
	if len(low) > 0 {
		o.Conditions = setCondition(o.Conditions, resource.Condition{
			Type: ConditionDecreaseAllowed, Status: "True", Reason: "AllowDecrease",
			Message: join(low), Generation: o.Metadata.Generation, At: e.At,
		})
	}
	if *all == nil {
		*all = map[string]*resource.Object[S]{}
	}
	(*all)[e.Ref.Name] = o
	return low, nil
}

func setCondition(all []resource.Condition, c resource.Condition) []resource.Condition {
	all = slices.DeleteFunc(slices.Clone(all), func(have resource.Condition) bool { return have.Type == c.Type })
	return append(all, c)
}
