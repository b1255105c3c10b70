package model

import "testing"

// TestGoOn guards against an exploration that counts as complete although it has left out
// the worlds after the first one that breaks a rule.
func TestGoOn(t *testing.T) {
	o := Options{Scenario: Scenarios[0], Faults: 1, Grid: 300 * ms, Parallel: 2, GoOn: true}
	all := Explore(o)
	o.Without = "worker-restart"
	r := Explore(o)
	if r.Completed != 1 || r.Worlds != all.Worlds || len(r.Broken) == 0 || len(all.Broken) > 0 {
		t.Errorf("%d worlds of %d, all with up to %d faults, %d kinds of faults break a rule, %d with all rules in place; want all worlds with 1 fault, and some kinds only without the rule",
			r.Worlds, all.Worlds, r.Completed, len(r.Broken), len(all.Broken))
	}
}
