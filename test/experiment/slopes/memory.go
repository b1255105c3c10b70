package slopes

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
)

const (
	// memoryCallers is the number of concurrent callers of completeJobs.
	memoryCallers  = 48
	memorySidecars = 4
	// waitingJobTasks is the number of tasks of a job that stays queued.
	waitingJobTasks = 100
)

var (
	entryHeapByQueuedTasks = quantity{"entry-heap-by-queued-tasks", "queued tasks", "live heap bytes"}
	entryRSSByQueuedTasks  = quantity{"entry-rss-by-queued-tasks", "queued tasks", "resident bytes"}
	entryHeapBySubmissions = quantity{"entry-heap-by-remembered", "remembered submissions of one task", "live heap bytes"}
	entryRSSBySubmissions  = quantity{"entry-rss-by-remembered", "remembered submissions of one task", "resident bytes"}
	entryHeapWithoutBodies = quantity{"entry-heap-by-remembered-dropped", "remembered submissions of one task, bodies dropped", "live heap bytes"}
	entryHeapByTeams       = quantity{"entry-heap-by-teams", "teams with quotas", "live heap bytes"}
	entryBytesByTeams      = quantity{"entry-idle-bytes-by-teams", "teams with quotas, with shares moved to the other entry instance", "bytes per second"}
	entryCPUByTeams        = quantity{"entry-idle-cpu-by-teams", "teams with quotas, with shares moved to the other entry instance", "processor seconds per second"}
	sidecarHeapByLedger    = quantity{"sidecar-heap-by-ledger", "tasks in the ledger", "live heap bytes"}
	sidecarRSSByLedger     = quantity{"sidecar-rss-by-ledger", "tasks in the ledger", "resident bytes"}
)

// measureTeams raises the number of teams with quotas at two entry instances. One
// job per team at each entry instance makes the entry instances transfer limit
// shares.
func (exp *experiment) measureTeams(f *fleet) error {
	for i, n := range exp.sizes.teams {
		revision := uint64(i + 2)
		if err := f.writeDocument(document(revision, n, true)); err != nil {
			return err
		}
		if err := f.await("new teams", func() bool { return f.entriesHaveRevision(revision) }); err != nil {
			return err
		}
		if err := f.runJobOfEachTeam(n); err != nil {
			return err
		}
		rates, err := f.measure(func() { time.Sleep(exp.sizes.window) })
		if err != nil {
			return err
		}
		exp.add(entryBytesByTeams, float64(n), rates.entry.bytes)
		exp.add(entryCPUByTeams, float64(n), rates.entry.cpu)
		for _, e := range f.entries {
			live, _, _, err := e.heap()
			if err != nil {
				return err
			}
			exp.add(entryHeapByTeams, float64(n), live)
		}
	}
	return nil
}

func (f *fleet) entriesHaveRevision(revision uint64) bool {
	for _, e := range f.entries {
		if got, err := e.revision(); err != nil || got < revision {
			return false
		}
	}
	return true
}

// runJobOfEachTeam runs one job of each team at each entry instance.
func (f *fleet) runJobOfEachTeam(teams int) error {
	for _, e := range f.entries {
		for t := range teams {
			body, err := jobBody(teamName(t), "quick", 1, 0)
			if err != nil {
				return err
			}
			if err := e.completeJob(body); err != nil {
				return errors.Annotatef(err, "job of %s at %s", teamName(t), e.cfg.Instance)
			}
		}
	}
	return nil
}

// completeAttempts bounds the submissions of a job that is refused, for example
// while limit shares are transferred.
const completeAttempts = 500

// completeJob submits a job until it completes.
func (e *entryProcess) completeJob(body []byte) error {
	var state jobapi.JobState
	var err error
	for range completeAttempts {
		if state, err = e.submit(body, true); err == nil && state == jobapi.JobComplete {
			return nil
		}
		time.Sleep(readyPoll)
	}
	if err == nil {
		err = errors.Errorf("state %s", state)
	}
	return err
}

// measureMemory measures the memory of one entry instance by the number of
// remembered submissions, and the memory of its sidecars by the number of tasks in
// their ledgers.
func (exp *experiment) measureMemory(f *fleet) error {
	e := f.entries[0]
	done := 0
	for _, n := range exp.sizes.remembered {
		if err := e.completeJobs(n - done); err != nil {
			return err
		}
		done = n
		live, rss, _, err := e.heap()
		if err != nil {
			return err
		}
		exp.add(entryHeapBySubmissions, float64(n), live)
		exp.add(entryRSSBySubmissions, float64(n), rss)
		for _, c := range f.sidecars {
			live, rss, s, err := c.heap()
			if err != nil {
				return err
			}
			exp.add(sidecarHeapByLedger, float64(s.LedgerTasks), live)
			exp.add(sidecarRSSByLedger, float64(s.LedgerTasks), rss)
		}
	}
	return nil
}

// measureWithoutBodies measures the memory of one entry instance by the number of
// remembered submissions when the total size of their answer bodies exceeds the bound,
// so that the entry instance drops the oldest bodies.
func (exp *experiment) measureWithoutBodies(f *fleet) error {
	done := 0
	for _, n := range exp.sizes.withoutBodies {
		if err := f.entries[0].completeJobs(n - done); err != nil {
			return err
		}
		done = n
		live, _, _, err := f.entries[0].heap()
		if err != nil {
			return err
		}
		exp.add(entryHeapWithoutBodies, float64(n), live)
	}
	return nil
}

// completeJobs runs a number of jobs with one task each.
func (e *entryProcess) completeJobs(jobs int) error {
	body, err := jobBody(teamName(0), "quick", 1, 0)
	if err != nil {
		return err
	}
	var remaining atomic.Int64
	remaining.Store(int64(jobs))
	failures := make(chan error, memoryCallers)
	var wg sync.WaitGroup
	for range memoryCallers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := e.completeJob(body); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failures:
		return errors.Annotate(err, "complete jobs for a memory measurement")
	default:
		return nil
	}
}

// measureQueue measures the memory of one entry instance by the number of queued
// tasks.
func (exp *experiment) measureQueue(f *fleet) error {
	e := f.entries[0]
	body, err := jobBody(teamName(1), "waiting", waitingJobTasks, taskDuration)
	if err != nil {
		return err
	}
	for _, n := range exp.sizes.queued {
		var s entry.Stats
		if err := e.get("/v1/stats", &s); err != nil {
			return err
		}
		for tasks := queuedTasks(s); tasks < n; tasks += waitingJobTasks {
			state, err := e.submit(body, false)
			if err == nil && state != jobapi.JobQueued {
				err = errors.Errorf("state %s", state)
			}
			if err != nil {
				return errors.Annotate(err, "fill the queue")
			}
		}
		live, rss, s, err := e.heap()
		if err != nil {
			return err
		}
		exp.add(entryHeapByQueuedTasks, float64(queuedTasks(s)), live)
		exp.add(entryRSSByQueuedTasks, float64(queuedTasks(s)), rss)
	}
	return nil
}
