package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

const (
	// A worker that a task has crashed is back after a time between these bounds.
	minCrashDowntime = 500 * time.Millisecond
	maxCrashDowntime = 3 * time.Second
	// maxKillDelay bounds the time between a crash and the kill of the entry instance of the
	// job. It covers the time until the entry instance knows of the crash and starts the task
	// again.
	maxKillDelay = 150 * time.Millisecond
	jobIDLength  = 16
)

// owners holds the entry instance at which each job was submitted last.
type owners struct {
	mu      sync.Mutex
	entries map[string]int
}

func (o *owners) set(job string, entry int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.entries == nil {
		o.entries = map[string]int{}
	}
	o.entries[job] = entry
}

func (o *owners) get(job string) (entry int, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entry, known = o.entries[job]
	return entry, known
}

// workerCrashed starts a worker again after a task has crashed it, and kills the entry instance
// of the job in a share of the cases.
func (s *system) workerCrashed(ctx context.Context, w *standin.Worker, host int, task string) {
	if entry, known := s.owners.get(task[:jobIDLength]); known && rand.Float64() < s.options.KillOwners {
		time.AfterFunc(rand.N(maxKillDelay), func() { s.processes[entry].signal(syscall.SIGKILL) })
	}
	back := time.After(minCrashDowntime + rand.N(maxCrashDowntime-minCrashDowntime))
	for {
		select {
		case <-ctx.Done():
			return
		case <-back:
		}
		if w.Start(s.address(host, workerPort)) == nil {
			return
		}
		back = time.After(10 * time.Millisecond) // the port is not free yet
	}
}

// checkCrashes checks that no task was started too often after it had crashed workers, and that
// jobs were called failed only if their tasks fail or crash workers.
func (s *system) checkCrashes(r *report, outcomes []outcome) {
	chains := standin.CrashChains(s.workers)
	for _, c := range chains {
		r.Chains[c.Crashes]++
		if c.OverBudget() {
			r.violation("task %s", c)
		}
	}
	const minCrashes = 2         // workers that have to crash under a task before its job may be given up
	mayFail := map[string]bool{} // by job
	crashed, failed := s.runsByOutcome(standin.OutcomeCrashed), s.runsByOutcome(standin.OutcomeFailed)
	for task, n := range crashed {
		if n >= minCrashes {
			mayFail[task[:jobIDLength]] = true
		}
	}
	for task, n := range failed {
		if n >= queueAttempts {
			mayFail[task[:jobIDLength]] = true
		}
	}
	for _, o := range outcomes {
		if o.failed && !mayFail[o.id] {
			r.violation("job %s was called failed, and no task of it has failed or met crashes often enough: %v", o.id, s.runsOf(o.id))
		}
	}
}

// runsByOutcome counts the runs that have ended with an outcome, by task.
func (s *system) runsByOutcome(outcome string) map[string]int {
	count := map[string]int{}
	for _, w := range s.workers {
		list, _ := w.History()
		for _, run := range list {
			if run.Outcome == outcome {
				count[run.Task]++
			}
		}
	}
	return count
}

// runsOf returns the runs of the tasks of a job, as the workers recorded them.
func (s *system) runsOf(job string) []string {
	var runs []string
	for _, w := range s.workers {
		list, _ := w.History()
		for _, run := range list {
			if run.Task[:jobIDLength] == job {
				runs = append(runs, fmt.Sprint(run.Task, ": ", run))
			}
		}
	}
	return runs
}
