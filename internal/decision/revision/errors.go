package revision

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// ConflictError means that the resource doesn't have the version that the edit
// expects.
type ConflictError struct {
	Ref      resource.Ref
	Expected uint64
	// Current is the present resourceVersion, or 0 if the resource doesn't
	// exist.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == 0 {
		return fmt.Sprintf("%s: resourceVersion %d expected, but the resource does not exist", e.Ref, e.Expected)
	}
	return fmt.Sprintf("%s: resourceVersion %d expected, current is %d", e.Ref, e.Expected, e.Current)
}

// Decrease describes an amount that an edit lowers. A nil amount means that
// there is no limit.
type Decrease struct {
	// Field is the path of the amount, for example "spec.quota.rate".
	Field string `json:"field"`
	Old   *int64 `json:"old"`
	New   *int64 `json:"new"`
}

// String returns "field old -> new".
func (d Decrease) String() string {
	return d.Field + " " + formatAmount(d.Old) + " -> " + formatAmount(d.New)
}

func formatAmount(p *int64) string {
	if p == nil {
		return "none"
	}
	return strconv.FormatInt(*p, 10)
}

func joinDecreases(decreases []Decrease) string {
	parts := make([]string, len(decreases))
	for i, d := range decreases {
		parts[i] = d.String()
	}
	return strings.Join(parts, ", ")
}

// DecreaseError means that an edit lowers amounts without allowDecrease.
type DecreaseError struct {
	Ref       resource.Ref
	Decreases []Decrease
}

// Error implements error.
func (e *DecreaseError) Error() string {
	return fmt.Sprintf("%s: lowers %s; allowDecrease=true is required", e.Ref, joinDecreases(e.Decreases))
}

// InUseError means that a resource can't be deleted because other resources
// refer to it.
type InUseError struct {
	Ref resource.Ref
	By  []resource.Ref
}

// Error implements error.
func (e *InUseError) Error() string {
	names := make([]string, len(e.By))
	for i, r := range e.By {
		names[i] = r.String()
	}
	return fmt.Sprintf("%s: still referred to by %s", e.Ref, strings.Join(names, ", "))
}

// AlreadyAppliedError means that an edit with the same change ID was accepted
// earlier, so the edit must not be applied again.
type AlreadyAppliedError struct {
	ChangeID string
	// Revision is the revision that contains the change.
	Revision uint64
}

// Error implements error.
func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("change %s is already part of revision %d", e.ChangeID, e.Revision)
}

func notFound(r resource.Ref) error { return errors.NotFoundf("%s", r) }
