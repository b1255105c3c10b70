package resource

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// Problem describes one invalid field.
type Problem struct {
	// Resource is "type/name", or "document" for a field of the document itself.
	Resource string `json:"resource"`
	// Field is the path of the field within the resource, for example
	// "spec.runMs".
	Field string `json:"field"`
	// Value is the text of the invalid value.
	Value string `json:"value"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s is %s, allowed is %s", p.Resource, p.Field, p.Value, p.Allowed)
}

// ValidationError lists every problem found by a validation. It satisfies
// errors.Is(err, errors.NotValid).
type ValidationError struct{ Problems []Problem }

// Error joins all problems on one line.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// Is makes the error satisfy errors.Is(err, errors.NotValid).
func (e *ValidationError) Is(target error) bool { return target == errors.NotValid }

// maxValueLength is the number of bytes of an invalid value that a message shows.
const maxValueLength = 80

// checker checks the fields of one resource and appends the invalid ones to
// problems.
type checker struct {
	resource string
	problems *[]Problem
}

func (c checker) addProblem(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if s, ok := value.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxValueLength {
		text = text[:maxValueLength] + "..."
	}
	*c.problems = append(*c.problems, Problem{Resource: c.resource, Field: field, Value: text, Allowed: allowed})
}

func (c checker) intRange(field string, v, low, high int64) {
	if v < low || v > high {
		c.addProblem(field, v, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c checker) optionalInt64(field string, v *int64, low, high int64) {
	if v != nil {
		c.intRange(field, *v, low, high)
	}
}

func (c checker) optionalInt(field string, v *int, low, high int64) {
	if v != nil {
		c.intRange(field, int64(*v), low, high)
	}
}

// floatRange also rejects NaN, for which every comparison is false.
func (c checker) floatRange(field string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.addProblem(field, v, fmt.Sprintf("%g to %g", low, high))
	}
}
