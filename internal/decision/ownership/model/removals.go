package model

import "slices"

// Removal is a rule that can be taken out of the worlds, to show that they find the fault
// that it prevents.
type Removal struct {
	Name string
	// Scenario is one in which the fault is found with few worlds.
	Scenario string
	takeOut  func(*guards)
}

// Removals are the rules that can be taken out.
var Removals = []Removal{
	// Either of these two ends the runs of a silent owner in time.
	{"owner-timeout-and-lease-limit", "long", func(g *guards) { g.ownerTimeout, g.leaseLimit = false, false }},
	{"abandoning-jobs", "wide", func(g *guards) { g.pause = false }},
	// Either of these two ends the leases of a sidecar that pauses in time.
	{"lease-limit", "long", func(g *guards) { g.leaseLimit, g.shortLease = false, false }},
	// Any of these bounds the leases of a dropped owner's runs.
	{"dropped-owner-leases", "long", func(g *guards) {
		g.droppedLimit, g.needsLease, g.abandonedLimit, g.shortLease = false, false, false, false
	}},
	{"caller-check", "short", func(g *guards) { g.callerCheck = false }},
	{"predecessor-runs", "short", func(g *guards) { g.leftovers = false }},
	{"abandoned-batch", "wide", func(g *guards) { g.responsive = false }},
	{"unanswered-start", "short", func(g *guards) { g.unanswered = false }},
	{"fencing", "stream", func(g *guards) { g.fencing = false }},
	// Either of these two prevents that a run is placed again while the next worker process has it.
	{"worker-restart", "short", func(g *guards) { g.restart, g.connection = false, false }},
	{"lease-expiry", "short", func(g *guards) { g.leaseExpiry = false }},
	{"start-delay", "short", func(g *guards) { g.startDelay = false }},
	{"refused-connections", "short", func(g *guards) { g.refusal = false }},
	{"lease-of-known-process", "short", func(g *guards) { g.knownProcess = false }},
	{"run-description", "short", func(g *guards) { g.description = false }},
	{"start-connection", "short", func(g *guards) { g.connection = false }},
	{"batch-age", "short", func(g *guards) { g.batchAge = false }},
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
