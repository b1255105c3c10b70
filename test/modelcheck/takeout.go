package main

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/decision/ownership/model"
)

// takeOutEach takes out each rule in turn, and fails if a removal is not found. Without
// scenarios, each is looked for in its own.
func takeOutEach(o model.Options, scenarios []model.Scenario) error {
	missed := 0
	for _, removal := range model.Removals {
		chosen, err := scenarios, error(nil)
		if len(chosen) == 0 {
			chosen, err = chosenScenarios([]string{removal.Scenario})
		}
		if err != nil {
			return errors.Trace(err)
		}
		o.Without = removal.Name
		if !find(o, chosen) {
			missed++
		}
	}
	if missed > 0 {
		return errors.Errorf("%d of %d removals are not found", missed, len(model.Removals))
	}
	return nil
}

// find reports whether the worlds of a scenario break a rule.
func find(o model.Options, scenarios []model.Scenario) bool {
	for _, s := range scenarios {
		o.Scenario = s
		begin := time.Now()
		r := model.Explore(o)
		seconds := time.Since(begin).Seconds()
		if r.Violation != "" {
			fmt.Printf("without %s: found with %d faults in scenario %s, %d worlds, %.1f s\n%s\n", o.Without, r.Faults, s.Name, r.Worlds, seconds, r.Violation)
			return true
		}
		fmt.Printf("without %s: not found in scenario %s, %d worlds, %s, %.1f s\n", o.Without, s.Name, r.Worlds, depth(r), seconds)
	}
	return false
}
