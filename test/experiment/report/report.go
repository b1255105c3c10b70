// Package report holds the result of an experiment: its figures, its targets
// and the violations found, as JSON or as a table.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

// Sense is the direction of a bound: at most or at least.
type Sense string

// Values of Sense.
const (
	AtMost  Sense = "<="
	AtLeast Sense = ">="
)

// Target is a bound on a figure.
type Target struct {
	Figure string  `json:"figure"`
	Sense  Sense   `json:"sense"`
	Bound  float64 `json:"bound"`
	Met    bool    `json:"met"`
}

// Report is the result of one run.
type Report struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Short is true if the run was shortened; its figures are then trial values.
	Short      bool                `json:"short,omitempty"`
	Sizes      map[string]float64  `json:"sizes"`
	Figures    map[string]float64  `json:"figures"`
	Targets    []Target            `json:"targets"`
	Violations []history.Violation `json:"violations"`

	mu sync.Mutex // guards Figures during a run
}

// New returns an empty report.
func New(name string, seed uint64) *Report {
	return &Report{
		Name: name, Seed: seed,
		Sizes: map[string]float64{}, Figures: map[string]float64{},
		Targets: []Target{}, Violations: []history.Violation{},
	}
}

// Figure sets a figure. It ignores NaN and infinite values, so that a target on
// the figure is not met.
func (r *Report) Figure(name string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !math.IsNaN(value) && !math.IsInf(value, 0) {
		r.Figures[name] = value
	}
}

// Target adds a bound on a figure and compares it with the value that has been
// set before. A missing figure does not meet the bound.
func (r *Report) Target(figure string, sense Sense, bound float64) {
	value, ok := r.Figures[figure]
	met := ok && (sense == AtMost && value <= bound || sense == AtLeast && value >= bound)
	r.Targets = append(r.Targets, Target{Figure: figure, Sense: sense, Bound: bound, Met: met})
}

// OK reports whether the report has no violation and at least one target, and
// all its targets are met.
func (r *Report) OK() bool {
	for _, t := range r.Targets {
		if !t.Met {
			return false
		}
	}
	return len(r.Violations) == 0 && len(r.Targets) > 0
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(r), "write report")
}

// WriteTable writes the report as a table of aligned text columns.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tseed %d\tshort %v\n", r.Name, r.Seed, r.Short)
	for _, name := range slices.Sorted(maps.Keys(r.Sizes)) {
		fmt.Fprintf(t, "size\t%s\t%.6g\n", name, r.Sizes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Figures)) {
		fmt.Fprintf(t, "figure\t%s\t%.6g\n", name, r.Figures[name])
	}
	for _, g := range r.Targets {
		fmt.Fprintf(t, "target\t%s %s %g\tmet %v\n", g.Figure, g.Sense, g.Bound, g.Met)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(t, "violation\t%s\t%s\n", v.Invariant, v.Detail)
	}
	return errors.Annotate(t.Flush(), "write report")
}

// Range and precision of the histograms.
const (
	histogramMin    = int64(time.Microsecond)
	histogramMax    = int64(time.Hour)
	histogramDigits = 3
)

// Quantile returns the q-quantile (0 to 1) of durations to three significant
// digits, zero if there are no durations.
func Quantile(values []time.Duration, q float64) time.Duration {
	h := hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
	for _, v := range values {
		_ = h.RecordValue(min(max(int64(v), histogramMin), histogramMax)) // within the range
	}
	return time.Duration(h.ValueAtQuantile(q * 100))
}

// ratioScale converts a ratio to an integer with six decimals for a histogram.
const ratioScale = 1e6

// RatioQuantile returns the q-quantile of ratios up to 3.6e6, NaN if there are
// no ratios.
func RatioQuantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	h := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, v := range values {
		_ = h.RecordValue(int64(min(max(v*ratioScale, 1), float64(histogramMax)))) // within the range
	}
	return float64(h.ValueAtQuantile(q*100)) / ratioScale
}

// Ms converts a duration to milliseconds.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
