package slopes

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

const (
	jobTimeout = 30 * time.Second
	// maxCallers bounds the connections to one entry instance.
	maxCallers = 256
	taskRun    = 5 * time.Millisecond
)

var callers = http.Client{Timeout: jobTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxCallers}}

// jobBody returns a job of tasks that run for the given time.
func jobBody(team, kind string, tasks int, run time.Duration) ([]byte, error) {
	job := jobapi.JobRequest{Team: team, Kind: kind}
	for i := range tasks {
		payload, err := json.Marshal(cluster.Payload{Request: "slopes", Task: i, RunUs: run.Microseconds()})
		if err != nil {
			return nil, errors.Trace(err)
		}
		job.Tasks = append(job.Tasks, jobapi.TaskRequest{Payload: payload})
	}
	body, err := json.Marshal(job)
	return body, errors.Trace(err)
}

// submit sends a job and returns the state that the answer shows.
func (e *entryProcess) submit(body []byte, wait bool) (jobapi.JobState, error) {
	path := "/v1/jobs"
	if !wait {
		path += "?wait=false"
	}
	resp, err := callers.Post("http://"+e.cfg.CallerAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return "", errors.Trace(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Trace(err)
	}
	var a jobapi.JobAnswer
	if err := json.Unmarshal(text, &a); err != nil {
		return "", errors.Annotatef(err, "answer with status %d", resp.StatusCode)
	}
	return a.State, nil
}

// offered is a load: jobs per second over all entry instances, with a number
// of tasks each.
type offered struct {
	jobs  float64
	tasks int
}

// offer runs a load for a time, at jittered regular intervals, and returns the
// jobs that completed per second and entry instance.
func (f *fleet) offer(o offered, d time.Duration, rnd *rand.Rand) (jobs float64, err error) {
	body, err := jobBody(teamName(0), "quick", o.tasks, taskRun)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var complete, failed atomic.Int64
	gap := time.Duration(float64(time.Second) / o.jobs)
	begin := time.Now()
	for n := 0; time.Duration(n)*gap < d; n++ {
		at := time.Duration(n)*gap + rand64(rnd, gap)
		e := f.entries[n%len(f.entries)]
		time.Sleep(time.Until(begin.Add(at)))
		wg.Go(func() {
			state, err := e.submit(body, true)
			if err != nil || state != jobapi.JobComplete {
				failed.Add(1)
				return
			}
			complete.Add(1)
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return 0, errors.Errorf("%d of %d jobs did not complete", n, n+complete.Load())
	}
	return float64(complete.Load()) / time.Since(begin).Seconds() / float64(len(f.entries)), nil
}

func rand64(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(max(int64(d), 1)))
}

var (
	entryCPUByJob   = quantity{"entry-cpu-by-jobs", "jobs of one task per second", "processor seconds per second"}
	entryBytesByJob = quantity{"entry-bytes-by-jobs", "jobs of one task per second", "internal bytes per second"}
	carCPUByJob     = quantity{"sidecar-cpu-by-jobs", "jobs of one task per second", "processor seconds per second"}
	carBytesByJob   = quantity{"sidecar-bytes-by-jobs", "jobs of one task per second", "internal bytes per second"}

	entryCPUByTask   = quantity{"entry-cpu-by-tasks", "tasks per second in a fixed rate of jobs", "processor seconds per second"}
	entryBytesByTask = quantity{"entry-bytes-by-tasks", "tasks per second in a fixed rate of jobs", "internal bytes per second"}
	carCPUByTask     = quantity{"sidecar-cpu-by-tasks", "tasks per second in a fixed rate of jobs", "processor seconds per second"}
	carBytesByTask   = quantity{"sidecar-bytes-by-tasks", "tasks per second in a fixed rate of jobs", "internal bytes per second"}
)

// measureLoad varies the rate of jobs of one task, then the number of tasks
// per job at a fixed rate of jobs.
func (r *run) measureLoad(f *fleet) error {
	for _, jobs := range r.sizes.jobRates {
		o := offered{float64(jobs), 1}
		if err := r.loadPoint(f, o, entryCPUByJob, entryBytesByJob, carCPUByJob, carBytesByJob); err != nil {
			return err
		}
	}
	for _, tasks := range r.sizes.jobTasks {
		o := offered{r.sizes.fixedJobs, tasks}
		if err := r.loadPoint(f, o, entryCPUByTask, entryBytesByTask, carCPUByTask, carBytesByTask); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) loadPoint(f *fleet, o offered, entryCPU, entryBytes, carCPU, carBytes quantity) error {
	var jobs float64
	var failed error
	u, err := f.during(func() { jobs, failed = f.offer(o, r.sizes.window, r.rnd) })
	if failed != nil {
		err = failed
	}
	if err != nil {
		return errors.Annotatef(err, "load of %v jobs/s of %d tasks", o.jobs, o.tasks)
	}
	perEntry := jobs * float64(o.tasks)
	perSidecar := perEntry * float64(len(f.entries)) / float64(len(f.sidecars))
	r.add(entryCPU, perEntry, u.entry.cpu)
	r.add(entryBytes, perEntry, u.entry.bytes)
	r.add(carCPU, perSidecar, u.sidecar.cpu)
	r.add(carBytes, perSidecar, u.sidecar.bytes)
	return nil
}
