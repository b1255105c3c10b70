package model

import (
	"strings"
	"sync"
	"time"
)

// Options are the settings of an exploration.
type Options struct {
	Scenario Scenario
	// Without names a rule that is taken out, one of Removals; empty takes out none. Worlds
	// that break a rule also without that don't count.
	Without string
	// Faults is the largest number of faults of a world.
	Faults int
	// Grid is the time between the points at which faults strike without a message.
	Grid time.Duration
	// Deadline ends the exploration; zero sets none.
	Deadline time.Time
	// Parallel is the number of worlds played at a time.
	Parallel int
	// GoOn plays the other worlds, too, when a rule is broken.
	GoOn bool
}

// Result is the result of an exploration.
type Result struct {
	// Worlds is the number of different worlds, and Replays that of worlds played again to
	// reach others or found to be one with fewer faults.
	Worlds, Replays int
	// Completed is the number of faults up to which all worlds were played, -1 if not even
	// the world without faults.
	Completed int
	// Violation is empty, or a broken rule with its trace, in a world with Faults faults. No
	// world with fewer faults breaks a rule.
	Violation string
	Faults    int
	// Broken holds with GoOn the worlds that break a rule, by their kinds of faults.
	Broken []Broken
}

// Broken is worlds with the same kinds of faults that break a rule. It leaves out those
// that a world with fewer faults leads to.
type Broken struct {
	Faults string
	Worlds int
	Trace  string // of the first one
}

// Explore plays the worlds of a scenario without faults, with one fault, with two and so on.
func Explore(o Options) Result {
	e := &explorer{Options: o, options: newOptionTable(), broken: map[string]*brokenWorlds{}, guards: removal(o.Without)}
	r := Result{Completed: -1}
	for n := 0; n <= o.Faults; n++ {
		done := e.level(n)
		r.Worlds, r.Replays = e.worlds, e.replays
		if e.found != nil {
			r.Violation, r.Faults = e.describe(e.found), n
			return r
		}
		if !done {
			break
		}
		r.Completed = n
	}
	r.Broken = e.describeBroken()
	return r
}

type explorer struct {
	Options
	options optionTable
	guards  guards

	mu              sync.Mutex
	worlds, replays int
	// found is the first faults found to break a rule, by the order of their first fault,
	// and foundIn the position of that.
	found   []choice
	foundIn int
	broken  map[string]*brokenWorlds
}

// level plays the worlds with n faults, and reports whether it has played all of them.
func (e *explorer) level(n int) (done bool) {
	first, ok := e.play(nil, n > 0, -1)
	if n == 0 || !ok {
		return ok || e.GoOn
	}
	next, done := 0, true
	var wait sync.WaitGroup
	for range max(e.Parallel, 1) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				e.mu.Lock()
				i := next
				next++
				stop := i >= len(first) || e.found != nil
				e.mu.Unlock()
				if stop {
					return
				}
				if !e.search(first[i:i+1:i+1], n-1, i) {
					e.mu.Lock()
					done = false
					e.mu.Unlock()
					return
				}
			}
		}()
	}
	wait.Wait()
	return done
}

// search plays the worlds that have some faults and n later ones. It returns false if the
// time is over.
func (e *explorer) search(faults []choice, n, position int) bool {
	if !e.Deadline.IsZero() && time.Now().After(e.Deadline) {
		return false
	}
	later, ok := e.play(faults, n > 0, position)
	if !ok {
		return true // a rule is broken
	}
	if n == 0 {
		return true
	}
	for _, c := range later {
		if e.passed(position) {
			return true
		}
		if !e.search(append(faults[:len(faults):len(faults)], c), n-1, position) {
			return false
		}
	}
	return true
}

// passed reports whether an earlier position has broken a rule.
func (e *explorer) passed(position int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.found != nil && e.foundIn <= position
}

// play plays a world that is reached by the first fault at a position. It returns the
// faults that can follow if the world is played only to reach others, and false if the
// world breaks a rule.
func (e *explorer) play(faults []choice, replay bool, position int) (later []choice, ok bool) {
	w := newTrial(e.Scenario, e.guards, e.Grid, e.options, faults, true)
	playTrial(w)
	if len(w.violations) > 0 && e.Without != "" && e.breaksAnyway(faults) {
		return nil, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if replay || w.trial.void {
		e.replays++
	} else {
		e.worlds++
	}
	switch {
	case w.trial.void:
		return nil, true
	case len(w.violations) > 0:
		e.note(w, faults, replay, position)
		return nil, false
	case replay:
		return e.laterChoices(w, faults), true
	}
	return nil, true
}

// note records a world that breaks a rule; mu is held.
func (e *explorer) note(w *world, faults []choice, replay bool, position int) {
	switch {
	case e.GoOn && !replay:
		e.noteBroken(w, faults)
	case !e.GoOn && (e.found == nil || position < e.foundIn):
		e.found, e.foundIn = append([]choice{}, faults...), position
	}
}

// laterChoices returns the faults that can follow those of a world: at a later point, or a
// later option at the same one.
func (e *explorer) laterChoices(w *world, faults []choice) []choice {
	var later []choice
	last := choice{option: -1}
	if len(faults) > 0 {
		last = faults[len(faults)-1]
	}
	for step, kind := range w.trial.points {
		for option := range e.options[kind] {
			if c := (choice{step, option}); compareChoices(c, last) > 0 {
				later = append(later, c)
			}
		}
	}
	return later
}

// breaksAnyway reports whether a world breaks a rule also if none is taken out.
func (e *explorer) breaksAnyway(faults []choice) bool {
	w := newTrial(e.Scenario, allGuards, e.Grid, e.options, faults, true)
	playTrial(w)
	return len(w.violations) > 0
}

// describe plays a world again and returns its broken rules and its trace.
func (e *explorer) describe(faults []choice) string {
	w := newTrial(e.Scenario, e.guards, e.Grid, e.options, faults, false)
	playTrial(w)
	if len(w.violations) == 0 {
		return "not repeatable: the same faults break no rule in a second play"
	}
	return strings.Join(w.violations, "\n")
}
