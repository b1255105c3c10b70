package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ownership/model"
)

// explore explores each scenario, all if none is given, and fails if a rule is broken.
func explore(o model.Options, scenarios []model.Scenario) error {
	if len(scenarios) == 0 {
		scenarios = model.Scenarios
	}
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
