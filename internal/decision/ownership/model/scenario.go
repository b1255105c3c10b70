package model

import "time"

// Scenario is what the callers do in the worlds that Explore tries, and when faults can
// strike.
type Scenario struct {
	Name, Description string
	submit            []submitted
	// from and to bound the times at which faults strike.
	from, to time.Duration
	// seed decides about ties of placement.
	seed int64
}

// submitted is a job of a scenario.
type submitted struct {
	at      time.Duration
	entry   int
	tasks   int
	runTime time.Duration // of each task
	timeout time.Duration
}

// begin is the time at which the first job is submitted: each sidecar and worker is known
// by then.
const begin = time.Second

// workerAge is the age of the workers when a world begins. The clock of one that starts
// again is behind that of its earlier life by more than any lease.
const workerAge = time.Hour

// Scenarios are the scenarios that are explored.
var Scenarios = []Scenario{
	newScenario("short", "a task of 0.9 s at entry-0", 1200*ms, submitted{0, 0, 1, 900 * ms, jobTimeout}),
	newScenario("timeout", "a task of 0.9 s at entry-0, whose caller waits for 1 s", 1200*ms, submitted{0, 0, 1, 900 * ms, time.Second}),
	newScenario("wide", "two tasks of 0.6 s at entry-0", 1200*ms, submitted{0, 0, 2, 600 * ms, jobTimeout}),
	newScenario("long", "a task of 3 s at each entry instance", 1200*ms,
		submitted{0, 0, 1, 3 * time.Second, jobTimeout}, submitted{20 * ms, 1, 1, 3 * time.Second, jobTimeout}),
	newScenario("stream", "a task of 3 s at entry-0, then four at entry-1 within 2 s", 300*ms,
		submitted{0, 0, 1, 3 * time.Second, jobTimeout}, submitted{500 * ms, 1, 1, 3 * time.Second, jobTimeout}, submitted{time.Second, 1, 1, 3 * time.Second, jobTimeout},
		submitted{1500 * ms, 1, 1, 3 * time.Second, jobTimeout}, submitted{2 * time.Second, 1, 1, 3 * time.Second, jobTimeout}),
}

// newScenario returns a scenario whose jobs are submitted after begin, with faults until a
// time after begin.
func newScenario(name, description string, to time.Duration, jobs ...submitted) Scenario {
	for i := range jobs {
		jobs[i].at += begin
	}
	return Scenario{Name: name, Description: description, submit: jobs, from: begin - 150*ms, to: begin + to}
}

// jobTimeout is the timeout of jobs whose callers wait for long.
const jobTimeout = 20 * time.Second

// newTrial returns the world of a scenario with the given faults.
func newTrial(s Scenario, g guards, grid time.Duration, options optionTable, faults []choice, quiet bool) *world {
	w := newWorldWith(&longest{seed: s.seed}, g)
	w.quiet = quiet
	w.trial = &trial{options: options, faults: faults, from: s.from, to: s.to}
	for _, k := range w.workers {
		k.bornAt -= workerAge
	}
	for _, j := range s.submit {
		w.after(j.at, func() { w.submitTasks(w.entries[j.entry], j.tasks, j.runTime, j.timeout) })
	}
	w.after(s.from, func() { w.tick(grid) })
	return w
}

// playTrial plays a world until its jobs have ended and its faults are over, and checks
// that each entry instance serves a job then.
func playTrial(w *world) {
	const (
		step     = 100 * ms
		quiet    = time.Second     // time without anything under way after which the world ends
		recovery = 5 * time.Second // time after which each entry instance has to serve jobs
	)
	w.runUntil(w.trial.to)
	idleSince := w.now
	for w.now < w.trial.over+jobTimeout+recovery && len(w.violations) == 0 && !w.trial.void && w.now-idleSince < quiet {
		w.runUntil(w.now + step)
		if !w.idle() {
			idleSince = w.now
		}
	}
	if !w.trial.void {
		w.runUntil(max(w.now, w.trial.over+recovery))
		w.checkService()
	}
}
