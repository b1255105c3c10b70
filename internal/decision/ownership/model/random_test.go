package model

import "testing"

// TestModel guards against a task with two runs at a time, against a run of a job whose
// caller was told that it has not run, and against entry instances that serve no jobs when
// the faults are over. Processes and workers are paused, cut off and killed, calls to
// workers are carried out late, clocks step, and callers submit their jobs again.
func TestModel(t *testing.T) {
	const worlds = 60
	completed := 0
	for seed := range int64(worlds) {
		w := play(seed, allGuards)
		completed += w.completed
		for _, v := range w.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
	if completed < worlds*60 {
		t.Errorf("%d jobs completed in %d worlds, so the model tests little", completed, worlds)
	}
}

// TestModelFaults guards against the same in the situations that need a certain rule, and
// against a model that can't fail: without the rule it finds the fault.
func TestModelFaults(t *testing.T) {
	const worlds = 40
	for name, f := range faults {
		without := allGuards
		f.takeOut(&without)
		foundBy := int64(-1)
		for seed := range int64(worlds) {
			for _, v := range playFault(seed, allGuards, f).violations {
				t.Errorf("%s, seed %d: %s", name, seed, v)
			}
			if foundBy < 0 && len(playFault(seed, without, f).violations) > 0 {
				foundBy = seed
			}
		}
		if foundBy < 0 {
			t.Errorf("without %s the model finds no fault in %d worlds", name, worlds)
		}
		t.Logf("without %s: a fault with seed %d", name, foundBy)
	}
}
