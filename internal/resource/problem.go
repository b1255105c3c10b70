package resource

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// Problem is one invalid field.
type Problem struct {
	// Resource is "type/name", or "document".
	Resource string `json:"resource"`
	// Field is the path within the resource, for example "spec.runMs".
	Field string `json:"field"`
	// Value is the invalid value as text.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is %s, allowed is %s", p.Resource, p.Field, p.Value, p.Allowed)
}

// Invalid is the error of a validation, with every problem found. It satisfies
// errors.Is(err, errors.NotValid).
type Invalid struct{ Problems []Problem }

// Error implements error.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// Is makes the error a kind of errors.NotValid.
func (e *Invalid) Is(target error) bool { return target == errors.NotValid }

// maxShown bounds an invalid value in a message.
const maxShown = 80

// checker collects the problems of one resource.
type checker struct {
	resource string
	problems *[]Problem
}

func (c checker) add(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxShown {
		text = text[:maxShown] + "..."
	}
	*c.problems = append(*c.problems, Problem{Resource: c.resource, Field: field, Value: text, Allowed: allowed})
}

func (c checker) intRange(field string, v, low, high int64) {
	if v < low || v > high {
		c.add(field, v, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c checker) optional(field string, v *int64, low, high int64) {
	if v != nil {
		c.intRange(field, *v, low, high)
	}
}

func (c checker) optionalInt(field string, v *int, low, high int64) {
	if v != nil {
		c.intRange(field, int64(*v), low, high)
	}
}

// floatRange rejects NaN too, which compares false with everything.
func (c checker) floatRange(field string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.add(field, v, fmt.Sprintf("%g to %g", low, high))
	}
}
