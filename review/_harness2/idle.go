package main

import (
	"fmt"
	"time"
)

const (
	// idleCrashTime is the time for which the worker is down, and idleFirstBeat that from its start to
	// its first heartbeat, half of beatInterval.
	idleCrashTime = time.Second
	idleFirstBeat = beatInterval / 2
)

// playIdle lets a worker without work crash and start again under its identifier as another kind, three times,
// and submits jobs that require the kind it had, before its first heartbeat. It is the only one of its
// kind.
func playIdle(rec *record) error {
	s, err := newSite(rec)
	if err != nil {
		return err
	}
	defer s.close()
	s.configure(queue{"q", "/q/", 0, 3, 1.6, 60})
	if err := s.addEntries(2, false); err != nil {
		return err
	}
	check := func(w *worker, r *taskRun) {
		if r.spec.Label != "" && r.spec.Label != w.who.Kind {
			rec.violation("ROUTE: %s run %d requires %s and starts on worker %s of kind %s, %d ms after its start", r.task, r.attempt, r.spec.Label, w.who.ID, w.who.Kind, w.clock())
		}
	}
	for i, k := range []string{"b", "a", "a", "a", "a", "a", "a", "a"} {
		if err := s.addWorker(identity{fmt.Sprint("i-", i), 32000, k, fmt.Sprint("r1-", i/3), 65536}, false, check); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	wide := func(count int) job {
		return job{encodeSpec(spec{Ms: 60, CPU: 2000, Label: "b"}), []step{{Count: count, CPU: 2000, Memory: 64, EstimatedMs: 60, Requirements: "b"}}, true}
	}
	for _, i := range []int{0, 0, 0} {
		for entry := range s.entries {
			s.submit(entry, "/q/", newID(), wide(1), 1500*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		if trouble {
			s.workers[i].crash()
			time.Sleep(idleCrashTime)
			if err := s.workers[i].start(identity{fmt.Sprint("i-", i), 32000, "a", fmt.Sprint("r1-", i/3), 65536}, idleFirstBeat); err != nil {
				return err
			}
			time.Sleep(300 * time.Millisecond)
		}
		for entry := range s.entries {
			s.submit(entry, "/q/", newID(), wide(12), 1500*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if trouble { // it becomes a worker of kind b again
			s.workers[i].crash()
			time.Sleep(idleCrashTime)
			if err := s.workers[i].start(identity{fmt.Sprint("i-", i), 32000, "b", fmt.Sprint("r1-", i/3), 65536}, 0); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
		}
	}
	return nil
}
