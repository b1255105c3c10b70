package model

import "slices"

// Removal is a rule that can be taken out of the worlds, to show that they find the fault
// that it prevents.
type Removal struct {
	Name    string
	takeOut func(*guards)
}

// Removals are the rules that can be taken out.
var Removals = []Removal{
	// Either of these two ends the runs of a silent owner in time.
	{"owner-timeout-and-lease-limit", func(g *guards) { g.ownerTimeout, g.leaseLimit = false, false }},
	{"abandoning-jobs", func(g *guards) { g.pause = false }},
	{"lease-limit", func(g *guards) { g.leaseLimit = false }},
	{"dropped-owner-lease-limit", func(g *guards) { g.droppedLimit = false }},
	{"caller-check", func(g *guards) { g.callerCheck = false }},
	{"predecessor-runs", func(g *guards) { g.leftovers = false }},
	{"abandoned-batch", func(g *guards) { g.responsive = false }},
	{"unanswered-start", func(g *guards) { g.unanswered = false }},
	{"fencing", func(g *guards) { g.fencing = false }},
	{"worker-restart", func(g *guards) { g.restart = false }},
	{"lease-expiry", func(g *guards) { g.leaseExpiry = false }},
	{"batch-age", func(g *guards) { g.batchAge = false }},
}

// removal returns the guards without a rule.
func removal(name string) guards {
	g := allGuards
	for _, r := range Removals {
		if r.Name == name {
			r.takeOut(&g)
		}
	}
	return g
}

// RemovalNames returns the names of the rules that can be taken out.
func RemovalNames() []string {
	var names []string
	for _, r := range Removals {
		names = append(names, r.Name)
	}
	return names
}

// IsRemoval reports whether a rule with this name can be taken out.
func IsRemoval(name string) bool { return slices.Contains(RemovalNames(), name) }

// Finding is the result of exploring several scenarios.
type Finding struct {
	Result
	Scenario string // in which a rule is broken
}

// FindRemoval explores the scenarios with one fault each, then with two and so on, until a
// rule is broken.
func FindRemoval(o Options, scenarios []Scenario) Finding {
	f := Finding{Result: Result{Completed: -1}}
	for n := range o.Faults + 1 {
		done := true
		for _, s := range scenarios {
			level := o
			level.Scenario, level.Least, level.Faults = s, n, n
			r := Explore(level)
			f.Worlds += r.Worlds
			f.Replays += r.Replays
			if r.Violation != "" {
				f.Violation, f.Faults, f.Scenario = r.Violation, r.Faults, s.Name
				return f
			}
			done = done && r.Completed == n
		}
		if !done {
			return f
		}
		f.Completed = n
	}
	return f
}
