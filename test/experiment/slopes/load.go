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
	maxCallers   = 256
	taskDuration = 5 * time.Millisecond
)

var callerClient = http.Client{Timeout: jobTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxCallers}}

// jobBody returns the request body of a job whose tasks run for the given time.
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

// submit submits a job and returns its state from the answer.
func (e *entryProcess) submit(body []byte, wait bool) (jobapi.JobState, error) {
	path := "/v1/jobs"
	if !wait {
		path += "?wait=false"
	}
	resp, err := callerClient.Post("http://"+e.cfg.CallerAddress+path, "application/json", bytes.NewReader(body))
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

// loadSpec is a load: the rate of jobs per second over all entry instances, and
// the number of tasks per job.
type loadSpec struct {
	jobs  float64
	tasks int
}

// runLoad submits jobs for the time d, one at a random time in each interval, and
// returns the completed jobs per second and entry instance.
func (f *fleet) runLoad(o loadSpec, d time.Duration, rnd *rand.Rand) (jobs float64, err error) {
	body, err := jobBody(teamName(0), "quick", o.tasks, taskDuration)
	if err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var complete, failed atomic.Int64
	interval := time.Duration(float64(time.Second) / o.jobs)
	begin := time.Now()
	for n := 0; time.Duration(n)*interval < d; n++ {
		at := time.Duration(n)*interval + randomDuration(rnd, interval)
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

func randomDuration(rnd *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(max(int64(d), 1)))
}

var (
	entryCPUByJobs     = quantity{"entry-cpu-by-jobs", "jobs of one task per second", "processor seconds per second"}
	entryBytesByJobs   = quantity{"entry-bytes-by-jobs", "jobs of one task per second", "internal bytes per second"}
	sidecarCPUByJobs   = quantity{"sidecar-cpu-by-jobs", "jobs of one task per second", "processor seconds per second"}
	sidecarBytesByJobs = quantity{"sidecar-bytes-by-jobs", "jobs of one task per second", "internal bytes per second"}

	entryCPUByTasks     = quantity{"entry-cpu-by-tasks", "tasks per second in a fixed rate of jobs", "processor seconds per second"}
	entryBytesByTasks   = quantity{"entry-bytes-by-tasks", "tasks per second in a fixed rate of jobs", "internal bytes per second"}
	sidecarCPUByTasks   = quantity{"sidecar-cpu-by-tasks", "tasks per second in a fixed rate of jobs", "processor seconds per second"}
	sidecarBytesByTasks = quantity{"sidecar-bytes-by-tasks", "tasks per second in a fixed rate of jobs", "internal bytes per second"}
)

// measureLoad varies the rate of jobs that have one task, then the number of
// tasks per job at a fixed rate of jobs.
func (exp *experiment) measureLoad(f *fleet) error {
	for _, jobs := range exp.sizes.jobRates {
		o := loadSpec{float64(jobs), 1}
		if err := exp.measureLoadPoint(f, o, entryCPUByJobs, entryBytesByJobs, sidecarCPUByJobs, sidecarBytesByJobs); err != nil {
			return err
		}
	}
	for _, tasks := range exp.sizes.jobTasks {
		o := loadSpec{exp.sizes.fixedJobRate, tasks}
		if err := exp.measureLoadPoint(f, o, entryCPUByTasks, entryBytesByTasks, sidecarCPUByTasks, sidecarBytesByTasks); err != nil {
			return err
		}
	}
	return nil
}

func (exp *experiment) measureLoadPoint(f *fleet, o loadSpec, entryCPU, entryBytes, sidecarCPU, sidecarBytes quantity) error {
	var jobs float64
	var loadErr error
	rates, err := f.measure(func() { jobs, loadErr = f.runLoad(o, exp.sizes.window, exp.rnd) })
	if loadErr != nil {
		err = loadErr
	}
	if err != nil {
		return errors.Annotatef(err, "load of %v jobs/s of %d tasks", o.jobs, o.tasks)
	}
	startsPerEntry := jobs * float64(o.tasks)
	startsPerSidecar := startsPerEntry * float64(len(f.entries)) / float64(len(f.sidecars))
	exp.add(entryCPU, startsPerEntry, rates.entry.cpu)
	exp.add(entryBytes, startsPerEntry, rates.entry.bytes)
	exp.add(sidecarCPU, startsPerSidecar, rates.sidecar.cpu)
	exp.add(sidecarBytes, startsPerSidecar, rates.sidecar.bytes)
	return nil
}
