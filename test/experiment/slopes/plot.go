package slopes

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// WritePlots writes one SVG per relation into dir.
func (r *Report) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Annotate(err, "plots")
	}
	for _, rel := range r.Relations {
		if err := rel.plot(filepath.Join(dir, rel.Name+".svg")); err != nil {
			return errors.Annotatef(err, "plot of %s", rel.Name)
		}
	}
	return nil
}

func (r *Relation) plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %.3g + %.3g x, R² %.3f", r.Name, r.Intercept, r.Slope, r.R2)
	p.X.Label.Text, p.Y.Label.Text = r.XLabel, r.YLabel
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(r.Points))
	for i, q := range r.Points {
		points[i] = plotter.XY{X: q.X, Y: q.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Trace(err)
	}
	line := plotter.NewFunction(func(x float64) float64 { return r.Intercept + r.Slope*x })
	p.Add(scatter, line)
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}
