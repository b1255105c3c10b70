package slopes

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// linearFrom is the R² from which a relation is called linear.
const linearFrom = 0.95

// flatBelow is the share of the mean that the fitted line changes by over the
// measured range, below which a relation is called flat. R² says nothing then.
const flatBelow = 0.15

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Relation is a measured quantity against a size, with the fitted line.
type Relation struct {
	Name   string  `json:"name"`
	XLabel string  `json:"xLabel"`
	YLabel string  `json:"yLabel"`
	Points []Point `json:"points"`
	// Intercept and Slope are those of the least squares line, R2 the share of
	// the variance that the line explains.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
	Shape     Shape   `json:"shape"`
}

// Shape says how a relation grows over the measured range.
type Shape string

// Shapes.
const (
	Linear    Shape = "linear"
	Flat      Shape = "flat"
	NotLinear Shape = "not linear"
)

// Quantity names what a relation measures.
type quantity struct{ name, x, y string }

// fit computes the line through the points; it needs two different x.
func fit(q quantity, points []Point) Relation {
	r := Relation{Name: q.name, XLabel: q.x, YLabel: q.y, Points: points}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	r.Intercept, r.Slope = stat.LinearRegression(xs, ys, nil, false)
	r.R2 = stat.RSquared(xs, ys, nil, r.Intercept, r.Slope)
	r.Shape = r.shape(xs, ys)
	if math.IsNaN(r.R2) || math.IsInf(r.R2, 0) {
		r.R2 = 0 // all values are the same
	}
	return r
}

func (r *Relation) shape(xs, ys []float64) Shape {
	low, high := xs[0], xs[0]
	for _, x := range xs {
		low, high = min(low, x), max(high, x)
	}
	mean := stat.Mean(ys, nil)
	switch {
	case math.Abs(r.Slope*(high-low)) <= flatBelow*math.Abs(mean):
		return Flat
	case r.R2 >= linearFrom:
		return Linear
	}
	return NotLinear
}

// String is one line for people.
func (r *Relation) String() string {
	return fmt.Sprintf("%-34s %12.5g + %11.5g·x   R² %.3f  %s", r.Name, r.Intercept, r.Slope, r.R2, r.Shape)
}

// series collects the points of several relations in their order of creation.
type series struct {
	order  []quantity
	points map[string][]Point
}

func (s *series) add(q quantity, x, y float64) {
	if s.points == nil {
		s.points = map[string][]Point{}
	}
	if s.points[q.name] == nil {
		s.order = append(s.order, q)
	}
	s.points[q.name] = append(s.points[q.name], Point{x, y})
}

func (s *series) fit() []Relation {
	var out []Relation
	for _, q := range s.order {
		out = append(out, fit(q, s.points[q.name]))
	}
	return out
}
