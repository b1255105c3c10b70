package slopes

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// linearMinR2 is the lowest R² of a relation that is called linear.
const linearMinR2 = 0.95

// flatMaxChange is the largest change of the fitted line over the measured range,
// as a share of the mean, of a relation that is called flat. R² is not meaningful
// for such a relation.
const flatMaxChange = 0.15

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Relation holds the measurements of a quantity for several values of x and the
// fitted line.
type Relation struct {
	Name   string  `json:"name"`
	XLabel string  `json:"xLabel"`
	YLabel string  `json:"yLabel"`
	Points []Point `json:"points"`
	// Intercept and Slope are the parameters of the least squares line. R2 is the
	// share of the variance that the line explains.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
	Shape     Shape   `json:"shape"`
}

// Shape classifies the growth of a relation over the measured range.
type Shape string

// Values of Shape.
const (
	Linear    Shape = "linear"
	Flat      Shape = "flat"
	NotLinear Shape = "not linear"
)

// quantity is the name of a relation with the labels of its axes.
type quantity struct{ name, x, y string }

// fit computes the least squares line of the points, which must have at least two
// different values of x.
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
		r.R2 = 0 // all y values are equal
	}
	return r
}

func (r *Relation) shape(xs, ys []float64) Shape {
	minX, maxX := xs[0], xs[0]
	for _, x := range xs {
		minX, maxX = min(minX, x), max(maxX, x)
	}
	mean := stat.Mean(ys, nil)
	switch {
	case math.Abs(r.Slope*(maxX-minX)) <= flatMaxChange*math.Abs(mean):
		return Flat
	case r.R2 >= linearMinR2:
		return Linear
	}
	return NotLinear
}

// String returns the relation as one line of aligned columns.
func (r *Relation) String() string {
	return fmt.Sprintf("%-34s %12.5g + %11.5g·x   R² %.3f  %s", r.Name, r.Intercept, r.Slope, r.R2, r.Shape)
}

// series collects the points of several relations and keeps the order in which
// the relations first got a point.
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
