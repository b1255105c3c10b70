package report

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/test/experiment/history"
)

// TestOK guards against a report that counts as passed with a violation, a missed
// target, a missing figure, or no target at all.
func TestOK(t *testing.T) {
	tests := []struct {
		name  string
		build func(*Report)
		want  bool
	}{
		{"met", func(r *Report) { r.Figure("x", 1); r.Target("x", AtMost, 1); r.Target("x", AtLeast, 1) }, true},
		{"above", func(r *Report) { r.Figure("x", 1.1); r.Target("x", AtMost, 1) }, false},
		{"below", func(r *Report) { r.Figure("x", 0.9); r.Target("x", AtLeast, 1) }, false},
		{"missing figure", func(r *Report) { r.Target("x", AtMost, 1) }, false},
		{"not a number", func(r *Report) { r.Figure("x", math.NaN()); r.Target("x", AtLeast, 0) }, false},
		{"no target", func(r *Report) { r.Figure("x", 1) }, false},
		{"violation", func(r *Report) {
			r.Figure("x", 1)
			r.Target("x", AtMost, 1)
			r.Violations = append(r.Violations, history.Violation{Invariant: "P1"})
		}, false},
	}
	for _, tt := range tests {
		r := New(tt.name, 1)
		tt.build(r)
		if r.OK() != tt.want {
			t.Errorf("%s: OK is %v", tt.name, r.OK())
		}
		var buf bytes.Buffer
		if err := r.WriteJSON(&buf); err != nil || !json.Valid(buf.Bytes()) {
			t.Errorf("%s: JSON: %v", tt.name, err)
		}
	}
}

// TestQuantile guards against quantiles of the wrong rank or in the wrong unit.
func TestQuantile(t *testing.T) {
	var ds []time.Duration
	var fs []float64
	for i := 1; i <= 100; i++ {
		ds = append(ds, time.Duration(i)*time.Millisecond)
		fs = append(fs, float64(i)/100)
	}
	if got := Ms(Quantile(ds, 0.99)); math.Abs(got-99) > 0.2 {
		t.Errorf("p99 is %v ms, want 99", got)
	}
	if got := RatioQuantile(fs, 0.5); math.Abs(got-0.5) > 0.001 {
		t.Errorf("p50 is %v, want 0.5", got)
	}
}
