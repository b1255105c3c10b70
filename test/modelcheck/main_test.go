package main

import (
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/decision/ownership/model"
)

// testOptions plays all worlds with one fault.
func testOptions() model.Options {
	return model.Options{Faults: 1, Grid: 100 * time.Millisecond, Parallel: 2}
}

// TestEachWorldWithOneFault guards against a task with two runs at a time, and against
// entry instances that serve no jobs after a fault.
func TestEachWorldWithOneFault(t *testing.T) {
	const minWorlds = 500 // fewer would mean that faults no longer strike
	scenarios, err := chosenScenarios([]string{"short", "wide"})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		o := testOptions()
		o.Scenario = s
		r := model.Explore(o)
		if r.Violation != "" {
			t.Errorf("%s: %s", s.Name, r.Violation)
		} else if r.Completed != 1 || r.Worlds < minWorlds {
			t.Errorf("%s: %d worlds, all with up to %d faults; want %d worlds and 1 fault", s.Name, r.Worlds, r.Completed, minWorlds)
		}
	}
}

// TestTakenOutRules guards against an exploration that finds nothing: without a rule it
// finds what the rule prevents.
func TestTakenOutRules(t *testing.T) {
	for rule, scenario := range map[string]string{
		"owner-timeout-and-lease-limit": "long", "abandoning-jobs": "wide", "caller-check": "short", "predecessor-runs": "short",
		"unanswered-start": "short", "worker-restart": "short", "lease-expiry": "short", "batch-age": "short",
	} {
		scenarios, err := chosenScenarios([]string{scenario})
		if err != nil {
			t.Fatal(err)
		}
		o := testOptions()
		o.Without = rule
		if f := model.FindRemoval(o, scenarios); f.Violation == "" {
			t.Errorf("without %s no rule is broken in %d worlds", rule, f.Worlds)
		}
	}
}
