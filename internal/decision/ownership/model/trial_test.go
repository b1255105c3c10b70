package model

import (
	"slices"
	"testing"
)

// TestTrialsRepeat guards against worlds that differ from play to play: the faults of a
// trial name its points by number, so the depth of an exploration would be untrue.
func TestTrialsRepeat(t *testing.T) {
	const grid = 300 * ms
	options := newOptionTable()
	scenario := Scenarios[0]
	play := func(faults ...choice) *world {
		w := newTrial(scenario, allGuards, grid, options, faults, false)
		playTrial(w)
		return w
	}
	for step, kind := range play().trial.points {
		for option := range options[kind] {
			first, second := play(choice{step, option}), play(choice{step, option})
			if !slices.Equal(first.trace, second.trace) || !slices.Equal(first.trial.points, second.trial.points) {
				t.Fatalf("two plays of option %d at point %d differ:\n%q\n%q", option, step, first.trace, second.trace)
			}
		}
	}
}
