package experiments

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/test/experiment/cluster"
)

// fakeCluster is a cluster with one queue in this process, for tests of the
// experiments. It ignores limits, faults of sidecars, pauses, partitions and store
// faults.
type fakeCluster struct {
	options         cluster.Options
	duplicateStarts bool // starts every task twice
	omitTask        bool // leaves the first task out of every answer
	slots           chan int
	starts          atomic.Int64
	backends        []*cluster.BackendServer
	sidecar         *httptest.Server
	client          http.Client

	mu           sync.Mutex // guards the fields below
	entries      []*httptest.Server
	incarnations []int
	stopped      []bool // by worker
	jobs         map[string]*fakeJob
	versions     map[string]uint64 // by type and name of the resource
	limitValues  map[string]int64  // queue limits, by type and name of the resource
	revision     uint64
}

// fakeJob is a job. Its answer is set when done is closed.
type fakeJob struct {
	done   chan struct{}
	answer jobapi.JobAnswer
	// canceled prevents the start of tasks that have not started yet.
	canceled atomic.Bool
}

// fakeFactory returns a factory whose clusters are closed at the end of the test.
func fakeFactory(t *testing.T, duplicateStarts, omitTask bool) cluster.Factory {
	return func(o cluster.Options) (cluster.Cluster, error) {
		d := o.Deployment
		f := &fakeCluster{
			options: o, duplicateStarts: duplicateStarts, omitTask: omitTask, slots: make(chan int, d.TotalSlots()),
			entries: make([]*httptest.Server, d.Entries), incarnations: make([]int, d.Entries), stopped: make([]bool, d.Workers),
			jobs: map[string]*fakeJob{}, versions: map[string]uint64{}, limitValues: map[string]int64{}, revision: 1,
		}
		f.client.Transport = &http.Transport{MaxIdleConnsPerHost: d.SlotsPerWorker * 2}
		f.sidecar = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		for i := range d.Workers {
			b := cluster.NewBackendServer(d.Backend(i), strings.TrimPrefix(f.sidecar.URL, "http://"), cluster.ProcessName(cluster.Sidecar, i), o.Recorder)
			if err := b.Start(); err != nil {
				return nil, err
			}
			f.backends = append(f.backends, b)
			for range d.SlotsPerWorker {
				f.slots <- i
			}
		}
		for i := range d.Entries {
			if err := f.startEntry(i, "127.0.0.1:0"); err != nil {
				return nil, err
			}
		}
		t.Cleanup(func() { _ = f.Close() })
		return f, nil
	}
}

func (f *fakeCluster) startEntry(i int, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[i]++
	prefix := fmt.Sprintf("entry-%d.%x.1.", i, f.incarnations[i])
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(jobapi.HeaderSubmissionPrefix, prefix)
		f.handle(w, r)
	}))
	_ = s.Listener.Close()
	s.Listener = l
	s.Start()
	f.entries[i] = s
	return nil
}

func (f *fakeCluster) handle(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/submissions":
	case r.URL.Path == "/v1/jobs":
		var req jobapi.JobRequest
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(f.submit(&req))
	case strings.HasPrefix(r.URL.Path, "/v1/jobs/"):
		id := strings.TrimPrefix(r.URL.Path, "/v1/jobs/")
		f.mu.Lock()
		if j := f.jobs[id]; j != nil {
			j.canceled.Store(true)
		}
		f.mu.Unlock()
		_ = json.NewEncoder(w).Encode(jobapi.JobAnswer{SubmissionID: id, State: jobapi.JobFailed, Reason: jobapi.ReasonOutcomeUnknown})
	default:
		f.resource(w, r)
	}
}

// submit runs a job, or waits for the answer of an earlier job with the same ID.
func (f *fakeCluster) submit(req *jobapi.JobRequest) jobapi.JobAnswer {
	f.mu.Lock()
	j, known := f.jobs[req.SubmissionID]
	if !known {
		j = &fakeJob{done: make(chan struct{})}
		f.jobs[req.SubmissionID] = j
	}
	f.mu.Unlock()
	if known {
		<-j.done
		return j.answer
	}
	tasks := make([]jobapi.TaskAnswer, len(req.Tasks))
	var wg sync.WaitGroup
	for i, t := range req.Tasks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tasks[i] = f.task(j, req.SubmissionID, i, t.Payload)
			if f.duplicateStarts {
				f.task(j, req.SubmissionID, i, t.Payload)
			}
		}()
	}
	wg.Wait()
	j.answer = jobapi.JobAnswer{SubmissionID: req.SubmissionID, State: jobapi.JobComplete, Tasks: tasks}
	for _, t := range tasks {
		if t.State != jobapi.TaskCompleted {
			j.answer.State = jobapi.JobFailed
		}
	}
	if f.omitTask {
		j.answer.Tasks = tasks[1:]
	}
	close(j.done)
	return j.answer
}

// task runs one task on the first free slot of a worker that is not stopped.
func (f *fakeCluster) task(j *fakeJob, id string, i int, payload []byte) jobapi.TaskAnswer {
	worker := <-f.slots
	for f.isStopped(worker) {
		f.slots <- worker
		time.Sleep(time.Millisecond)
		worker = <-f.slots
	}
	defer func() { f.slots <- worker }()
	if j.canceled.Load() {
		return jobapi.TaskAnswer{State: jobapi.TaskNotRun}
	}
	f.starts.Add(1)
	req, err := http.NewRequest(http.MethodPost, f.backends[worker].Address()+"/run", bytes.NewReader(payload))
	if err != nil {
		return jobapi.TaskAnswer{State: jobapi.TaskNotRun}
	}
	req.Header.Set("Cardamom-Submission", id)
	req.Header.Set("Cardamom-Task", fmt.Sprint(i))
	resp, err := f.client.Do(req)
	if err != nil {
		return jobapi.TaskAnswer{State: jobapi.TaskMayHaveRun}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return jobapi.TaskAnswer{State: jobapi.TaskMayHaveRun}
	case resp.StatusCode != http.StatusOK:
		return jobapi.TaskAnswer{State: jobapi.TaskFailed}
	}
	return jobapi.TaskAnswer{State: jobapi.TaskCompleted, Result: body}
}

func (f *fakeCluster) isStopped(worker int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped[worker]
}

func (f *fakeCluster) resource(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := strings.TrimPrefix(r.URL.Path, "/v1/")
	var o resource.Limit
	if r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if want := o.Metadata.ResourceVersion; want != 0 && want != max(f.versions[name], 1) {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(map[string]uint64{"current": max(f.versions[name], 1)})
			return
		}
		value := *o.Spec.Amounts.Queue
		if value < f.limitValues[name] {
			w.WriteHeader(http.StatusUnprocessableEntity)
			return
		}
		f.limitValues[name] = value
		f.revision++
		f.versions[name] = f.revision
	}
	o.Metadata.ResourceVersion = max(f.versions[name], 1)
	if r.Method == http.MethodPut {
		_ = json.NewEncoder(w).Encode(map[string]any{"revision": f.revision, "object": o})
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}
