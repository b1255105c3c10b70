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
	// memoryCallers is the number of concurrent callers that fill the memory.
	memoryCallers = 48
	memorySidecar = 4
	// queueJob is the number of tasks of a waiting job.
	queueJob = 100
)

var (
	heapByQueue  = quantity{"entry-heap-by-queued-tasks", "queued tasks", "live heap bytes"}
	rssByQueue   = quantity{"entry-rss-by-queued-tasks", "queued tasks", "resident bytes"}
	heapByJobs   = quantity{"entry-heap-by-remembered", "remembered submissions of one task", "live heap bytes"}
	rssByJobs    = quantity{"entry-rss-by-remembered", "remembered submissions of one task", "resident bytes"}
	heapDropped  = quantity{"entry-heap-by-remembered-dropped", "remembered submissions of one task, bodies dropped", "live heap bytes"}
	heapByTeams  = quantity{"entry-heap-by-teams", "teams with quotas", "live heap bytes"}
	bytesByTeams = quantity{"entry-idle-bytes-by-teams", "teams with quotas, with shares moved to the other entry instance", "bytes per second"}
	cpuByTeams   = quantity{"entry-idle-cpu-by-teams", "teams with quotas, with shares moved to the other entry instance", "processor seconds per second"}
	heapByLedger = quantity{"sidecar-heap-by-ledger", "tasks in the ledger", "live heap bytes"}
	rssByLedger  = quantity{"sidecar-rss-by-ledger", "tasks in the ledger", "resident bytes"}
)

// measureTeams raises the number of teams with quotas at two entry instances.
// One job per team at each makes shares move.
func (r *run) measureTeams(f *fleet) error {
	for i, n := range r.sizes.teams {
		revision := uint64(i + 2)
		if err := f.write(document(revision, n, true)); err != nil {
			return err
		}
		if err := f.await("new teams", func() bool { return f.have(revision) }); err != nil {
			return err
		}
		if err := f.touch(n); err != nil {
			return err
		}
		u, err := f.during(func() { time.Sleep(r.sizes.window) })
		if err != nil {
			return err
		}
		r.add(bytesByTeams, float64(n), u.entry.bytes)
		r.add(cpuByTeams, float64(n), u.entry.cpu)
		for _, e := range f.entries {
			live, _, _, err := e.heap()
			if err != nil {
				return err
			}
			r.add(heapByTeams, float64(n), live)
		}
	}
	return nil
}

func (f *fleet) have(revision uint64) bool {
	for _, e := range f.entries {
		if got, err := e.revision(); err != nil || got < revision {
			return false
		}
	}
	return true
}

// touch runs one job of each team at each entry instance.
func (f *fleet) touch(teams int) error {
	for _, e := range f.entries {
		for t := range teams {
			body, err := jobBody(teamName(t), "quick", 1, 0)
			if err != nil {
				return err
			}
			if err := e.complete(body); err != nil {
				return errors.Annotatef(err, "job of %s at %s", teamName(t), e.cfg.Instance)
			}
		}
	}
	return nil
}

// touchTries is the number of submissions of a job that is refused, for
// example while limit shares move.
const touchTries = 500

func (e *entryProcess) complete(body []byte) error {
	var state jobapi.JobState
	var err error
	for range touchTries {
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

// measureMemory fills the memory of one entry instance with answered jobs,
// and the ledgers of its sidecars with their tasks, then with waiting jobs.
func (r *run) measureMemory(f *fleet) error {
	e := f.entries[0]
	done := 0
	for _, n := range r.sizes.remembered {
		if err := e.fill(n - done); err != nil {
			return err
		}
		done = n
		live, rss, _, err := e.heap()
		if err != nil {
			return err
		}
		r.add(heapByJobs, float64(n), live)
		r.add(rssByJobs, float64(n), rss)
		for _, c := range f.sidecars {
			live, rss, s, err := c.heap()
			if err != nil {
				return err
			}
			r.add(heapByLedger, float64(s.LedgerTasks), live)
			r.add(rssByLedger, float64(s.LedgerTasks), rss)
		}
	}
	return nil
}

// measureDropped fills the memory beyond the bound on the bodies of answers.
func (r *run) measureDropped(f *fleet) error {
	done := 0
	for _, n := range r.sizes.dropped {
		if err := f.entries[0].fill(n - done); err != nil {
			return err
		}
		done = n
		live, _, _, err := f.entries[0].heap()
		if err != nil {
			return err
		}
		r.add(heapDropped, float64(n), live)
	}
	return nil
}

// fill submits jobs of one task and waits for their answers.
func (e *entryProcess) fill(jobs int) error {
	body, err := jobBody(teamName(0), "quick", 1, 0)
	if err != nil {
		return err
	}
	var left atomic.Int64
	left.Store(int64(jobs))
	failures := make(chan error, memoryCallers)
	var wg sync.WaitGroup
	for range memoryCallers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				if err := e.complete(body); err != nil {
					failures <- err
					return
				}
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failures:
		return errors.Annotate(err, "fill the memory")
	default:
		return nil
	}
}

func (r *run) measureQueue(f *fleet) error {
	e := f.entries[0]
	body, err := jobBody(teamName(1), "waiting", queueJob, taskRun)
	if err != nil {
		return err
	}
	for _, n := range r.sizes.queued {
		var s entry.Stats
		if err := e.get("/v1/stats", &s); err != nil {
			return err
		}
		for have := queued(s); have < n; have += queueJob {
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
		r.add(heapByQueue, float64(queued(s)), live)
		r.add(rssByQueue, float64(queued(s)), rss)
	}
	return nil
}
