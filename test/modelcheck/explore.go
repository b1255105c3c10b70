package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ownership/model"
)

// explore explores each scenario and fails if a rule is broken.
func explore(o model.Options, scenarios []model.Scenario) error {
	broken := 0
	for _, s := range scenarios {
		o.Scenario = s
		begin := time.Now()
		r := model.Explore(o)
		fmt.Printf("%s (%s): %d worlds, %s, %.1f s\n", s.Name, s.Description, r.Worlds, depth(r), time.Since(begin).Seconds())
		for _, b := range r.Broken {
			fmt.Printf("rule broken in %d worlds with: %s\n%s\n", b.Worlds, b.Faults, b.Trace)
		}
		if r.Violation != "" || len(r.Broken) > 0 {
			broken++
		}
		if r.Violation != "" {
			fmt.Printf("rule broken with %d faults:\n%s\n", r.Faults, r.Violation)
		}
	}
	if broken > 0 {
		return errors.Errorf("a rule is broken in %d of %d scenarios", broken, len(scenarios))
	}
	return nil
}

func depth(r model.Result) string {
	if r.Completed < 0 {
		return "none completed"
	}
	return fmt.Sprintf("all with up to %d faults", r.Completed)
}

// takeOutEach takes out each rule in turn, and fails if a removal is not found in any of
// the scenarios.
func takeOutEach(o model.Options, scenarios []model.Scenario) error {
	missed := 0
	for _, name := range model.RemovalNames() {
		o.Without = name
		begin := time.Now()
		f := model.FindRemoval(o, scenarios)
		if f.Violation == "" {
			missed++
			fmt.Printf("without %s: not found, %d worlds, %s in each scenario, %.1f s\n", name, f.Worlds, depth(f.Result), time.Since(begin).Seconds())
			continue
		}
		fmt.Printf("without %s: found with %d faults in scenario %s, %d worlds, %.1f s\n%s\n", name, f.Faults, f.Scenario, f.Worlds, time.Since(begin).Seconds(), f.Violation)
	}
	if missed > 0 {
		return errors.Errorf("%d of %d removals are not found", missed, len(model.Removals))
	}
	return nil
}
