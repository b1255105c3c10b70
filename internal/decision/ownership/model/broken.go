package model

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// brokenWorlds is worlds with the same kinds of faults that break a rule.
type brokenWorlds struct {
	worlds int
	first  []choice
}

// noteBroken records a world that breaks a rule; mu is held.
func (e *explorer) noteBroken(w *world, faults []choice) {
	var names []string
	for _, c := range faults {
		kind := w.trial.points[c.step]
		o := e.options[kind][c.option]
		if o.strike == nil {
			names = append(names, kind.String()+": "+o.name)
		} else {
			names = append(names, o.name)
		}
	}
	key := strings.Join(names, " + ")
	b := e.broken[key]
	if b == nil {
		b = &brokenWorlds{first: faults}
		e.broken[key] = b
	}
	b.worlds++
	if slices.CompareFunc(faults, b.first, compareChoices) < 0 {
		b.first = faults
	}
}

func compareChoices(a, b choice) int {
	return cmp.Or(cmp.Compare(a.step, b.step), cmp.Compare(a.option, b.option))
}

// describeBroken plays the first world of each kind of faults again for its trace.
func (e *explorer) describeBroken() []Broken {
	var list []Broken
	for _, faults := range slices.Sorted(maps.Keys(e.broken)) {
		b := e.broken[faults]
		list = append(list, Broken{Faults: faults, Worlds: b.worlds, Trace: e.describe(b.first)})
	}
	return list
}
