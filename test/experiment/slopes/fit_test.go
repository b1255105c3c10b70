package slopes

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"
)

var testQuantity = quantity{"q", "x", "y"}

// TestFit guards against a wrong line or a wrong shape for given points.
func TestFit(t *testing.T) {
	for _, c := range []struct {
		name             string
		points           []Point
		intercept, slope float64
		shape            Shape
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {4, 11}}, 3, 2, Linear},
		{"constant", []Point{{1, 4}, {2, 4}, {3, 4}}, 4, 0, Flat},
		{"square", []Point{{0, 0}, {1, 1}, {2, 4}, {3, 9}, {8, 64}}, -6.79, 8, NotLinear},
	} {
		r := fit(testQuantity, c.points)
		if c.shape != NotLinear && (math.Abs(r.Intercept-c.intercept) > 1e-9 || math.Abs(r.Slope-c.slope) > 1e-9) {
			t.Errorf("%s: %v + %v x, want %v + %v x", c.name, r.Intercept, r.Slope, c.intercept, c.slope)
		}
		if r.Shape != c.shape {
			t.Errorf("%s: shape %q (R² %v), want %q", c.name, r.Shape, r.R2, c.shape)
		}
	}
}

// TestReport guards against a JSON report that loses points, and against a page or
// plots that lack a relation. WritePage returns a NotFound error because the report
// lacks relations from which the figures of the design scale are calculated.
func TestReport(t *testing.T) {
	var s series
	s.add(testQuantity, 1, 2)
	s.add(testQuantity, 2, 4)
	rep := &Report{Name: "slopes", Seed: 3, Commit: "c", Command: "run", Relations: s.fit()}
	var text, page bytes.Buffer
	if err := rep.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&text)
	if err != nil || !reflect.DeepEqual(got, rep) {
		t.Errorf("read %+v, %v; want %+v", got, err, rep)
	}
	if err := rep.WritePage(&page); !errors.Is(err, errors.NotFound) || !strings.Contains(page.String(), "| [q](capacity/q.svg) | x | y | 0 | 2 |") {
		t.Errorf("page %q, %v", page.String(), err)
	}
	if err := rep.WritePlots(t.TempDir()); err != nil {
		t.Error(err)
	}
}
