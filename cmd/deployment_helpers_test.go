package cmd_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/ctl"
	"github.com/cardamomturn/cardamomturn/internal/daemon"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

const (
	numEntries     = 3
	numWorkers     = 10
	slotsPerWorker = 4
)

// deploymentResources is the configuration of the deployment. A resource precedes
// the resources that it refers to, so that apply has to sort them.
const deploymentResources = `[
{"type":"limits","metadata":{"name":"seat-check"},"spec":{"kind":"seat","amounts":{"concurrency":60}}},
{"type":"teams","metadata":{"name":"cuenca"},"spec":{}},
{"type":"kinds","metadata":{"name":"seat"},"spec":{"service":"sample","urgency":"normal","runMs":20,"deadlineMs":10000}},
{"type":"urgencies","metadata":{"name":"normal"},"spec":{"weight":2,"rank":2}}]`

// deployment is a complete deployment of separate processes on loopback.
type deployment struct {
	// testT is the testing.T of the whole test, so that a process which a part starts
	// is not killed at the end of the part.
	testT *testing.T
	dir   string
	// callerAddresses, operatorAddresses and internalAddresses are those of the entry
	// instances. localAddresses are those of the sidecars at which the backend servers
	// announce themselves.
	callerAddresses, operatorAddresses, internalAddresses, localAddresses []string
	sidecarSettings                                                       []string
	entrySettings                                                         []string
	entries, sidecars, backends                                           []*process
	// startedBackends holds all backend server processes, including those that have ended.
	startedBackends []*process
	// answers holds the final answers that callers got, by submission ID.
	answers map[string][]jobapi.JobAnswer
}

func startDeployment(t *testing.T) *deployment {
	d := &deployment{testT: t, dir: t.TempDir(), answers: map[string][]jobapi.JobAnswer{}}
	store := startProcess(t, "store", "cardamomturnd", "sample-store", "--address", "127.0.0.1:0")
	var storeAddress string
	waitFor(t, "address of the store", func() bool {
		n, _ := fmt.Sscanf(store.stdout.String(), "sample store on %s\n", &storeAddress)
		return n == 1 && strings.HasSuffix(store.stdout.String(), "\n")
	})
	addresses := freeAddresses(t, 3*(numEntries+numWorkers))
	nextAddress := func() string {
		p := addresses[0]
		addresses = addresses[1:]
		return p
	}
	for range numEntries {
		d.callerAddresses, d.operatorAddresses, d.internalAddresses = append(d.callerAddresses, nextAddress()),
			append(d.operatorAddresses, nextAddress()), append(d.internalAddresses, nextAddress())
	}
	for i := range numEntries {
		var peers []string
		for j, p := range d.internalAddresses {
			if j != i {
				peers = append(peers, p)
			}
		}
		d.entrySettings = append(d.entrySettings, d.writeSettings(t, fmt.Sprintf("entry-%d", i), "entry", map[string]any{
			"zone": zone(i), "callerAddress": d.callerAddresses[i], "operatorAddress": d.operatorAddresses[i],
			"internalAddress": d.internalAddresses[i], "peers": peers, "store": map[string]string{"address": storeAddress},
		}))
		d.entries = append(d.entries, nil)
		d.startEntry(i)
	}
	for i := range numWorkers {
		d.localAddresses = append(d.localAddresses, nextAddress())
		d.sidecarSettings = append(d.sidecarSettings, d.writeSettings(t, fmt.Sprintf("sidecar-%d", i), "sidecar", map[string]any{
			"zone": zone(i), "rack": fmt.Sprintf("rack-%d", i/3), "localAddress": d.localAddresses[i],
			"internalAddress": nextAddress(), "operatorAddress": nextAddress(), "entryAddresses": d.internalAddresses,
		}))
		d.sidecars, d.backends = append(d.sidecars, nil), append(d.backends, nil)
		d.startSidecar(i)
		d.startBackend(i)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, p := range append(append([]*process{store}, d.entries...), d.sidecars...) {
			t.Logf("%s:\n%s", p.name, p.stderrTail())
		}
	})
	return d
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// writeSettings writes the settings file of a process and returns its path.
func (d *deployment) writeSettings(t *testing.T, name, section string, fields map[string]any) string {
	t.Helper()
	fields["instance"], fields["beatInterval"] = name, "200ms"
	data, err := json.Marshal(map[string]any{section: fields})
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, d.dir, name+".json", string(data))
}

func (d *deployment) startEntry(i int) {
	d.entries[i] = startProcess(d.testT, fmt.Sprintf("entry-%d", i), "cardamomturnd", "entry", "--config", d.entrySettings[i])
}

func (d *deployment) startSidecar(i int) {
	d.sidecars[i] = startProcess(d.testT, fmt.Sprintf("sidecar-%d", i), "cardamomturnd", "sidecar", "--config", d.sidecarSettings[i])
}

func (d *deployment) startBackend(i int) {
	d.backends[i] = startProcess(d.testT, fmt.Sprintf("backend-%d", i), "cardamomturnd", "sample-backend", "--events",
		"--name", fmt.Sprintf("backend-%d", i), "--sidecar", d.localAddresses[i], "--zone", zone(i), "--slots", fmt.Sprint(slotsPerWorker))
	d.startedBackends = append(d.startedBackends, d.backends[i])
}

// waitAllLive waits until every entry instance lists all processes as live.
func (d *deployment) waitAllLive(t *testing.T) {
	t.Helper()
	for i := range d.operatorAddresses {
		waitFor(t, fmt.Sprintf("list of all processes at entry instance %d", i), func() bool {
			p := startProcess(t, "processes", "cardamomctl", "--operator", d.operatorAddresses[i], "--timeout", "2s", "-o", "json", "get", "processes")
			var live struct {
				Items []resourceapi.Process `json:"items"`
			}
			return p.waitExitCode(t) == ctl.ExitOK && json.Unmarshal([]byte(p.stdout.String()), &live) == nil && len(live.Items) == numEntries+numWorkers
		})
	}
}

// runCtl runs cardamomctl against one entry instance and returns its exit code and
// the ended process.
func (d *deployment) runCtl(t *testing.T, entry int, args ...string) (code int, p *process) {
	t.Helper()
	p = d.startCtl(t, entry, args...)
	return p.waitExitCode(t), p
}

func (d *deployment) startCtl(t *testing.T, entry int, args ...string) *process {
	t.Helper()
	all := append([]string{"--server", d.callerAddresses[entry], "--operator", d.operatorAddresses[entry], "--timeout", waitTimeout.String(), "-o", "json"}, args...)
	return startProcess(t, "cardamomctl "+strings.Join(args, " "), "cardamomctl", all...)
}

// submit starts a cardamomctl process that submits a job with the given number of
// tasks to an entry instance. It returns the submission ID and the process.
func (d *deployment) submit(t *testing.T, entry, tasks, sleepMs int) (string, *process) {
	t.Helper()
	id, err := ctl.NewClient(d.callerAddresses[entry], d.operatorAddresses[entry], waitTimeout).NewSubmissionID()
	if err != nil {
		t.Fatal(err)
	}
	return id, d.startCtl(t, entry, "submit", "--team", "cuenca", "--kind", "seat", "--tasks", fmt.Sprint(tasks),
		"--payload", fmt.Sprintf(`{"sleepMs":%d}`, sleepMs), "--id", id, "--deadline-ms", "8000")
}

// recordAnswer returns the answer that a process printed, and stores it for
// checkAnswers.
func (d *deployment) recordAnswer(t *testing.T, p *process) jobapi.JobAnswer {
	t.Helper()
	code := p.waitExitCode(t)
	var a jobapi.JobAnswer
	if err := json.Unmarshal([]byte(p.stdout.String()), &a); err != nil {
		t.Fatalf("%s: exit code %d, answer %q: %v; %s", p.name, code, p.stdout.String(), err, p.stderrTail())
	}
	d.answers[a.SubmissionID] = append(d.answers[a.SubmissionID], a)
	return a
}

// taskID identifies one task of a submission.
type taskID struct {
	submission string
	index      int
}

// countTaskEvents returns how often the backend servers started and ended each task.
func (d *deployment) countTaskEvents(t *testing.T) (starts, ends map[taskID]int) {
	t.Helper()
	starts, ends = map[taskID]int{}, map[taskID]int{}
	for _, p := range d.startedBackends {
		for line := range strings.Lines(p.stdout.String()) {
			var e daemon.TaskEvent
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				if strings.HasSuffix(line, "\n") {
					t.Fatalf("%s: line %q: %v", p.name, line, err)
				}
				continue // the process is still writing this line
			}
			if e.End {
				ends[taskID{e.Submission, e.Task}]++
			} else {
				starts[taskID{e.Submission, e.Task}]++
			}
		}
	}
	return starts, ends
}

// startedOn reports whether a task of the submission id has started on the backend
// server p, or on any backend server if p is nil.
func (d *deployment) startedOn(p *process, id string) bool {
	for _, q := range d.startedBackends {
		if (p == nil || p == q) && strings.Contains(q.stdout.String(), id) {
			return true
		}
	}
	return false
}

// checkAnswers compares the answers with the task events of the backend servers.
func (d *deployment) checkAnswers(t *testing.T) {
	t.Helper()
	starts, ends := d.countTaskEvents(t)
	// The complete jobs have 3*100 + 150 + 60 tasks, and each of the three jobs for
	// which a process is killed has started at least one task.
	const wantJobs, wantStarts = 8, 513
	if len(d.answers) < wantJobs || len(starts) < wantStarts {
		t.Errorf("only %d jobs and %d tasks to compare", len(d.answers), len(starts))
	}
	for k, n := range starts {
		if n != 1 {
			t.Errorf("task %d of %s was started %d times", k.index, k.submission, n)
		}
	}
	for id, answers := range d.answers {
		for _, a := range answers {
			if !a.State.Final() {
				t.Errorf("%s: state %s is not final", id, a.State)
			}
			for i, taskAnswer := range a.Tasks {
				k := taskID{id, i}
				switch {
				case taskAnswer.State == jobapi.TaskCompleted && ends[k] != 1:
					t.Errorf("task %d of %s is reported as completed, but ended %d times", i, id, ends[k])
				case taskAnswer.State == jobapi.TaskFailed && starts[k] != 1:
					t.Errorf("task %d of %s is reported as failed, but was started %d times", i, id, starts[k])
				case taskAnswer.State == jobapi.TaskNotRun && starts[k] != 0:
					t.Errorf("task %d of %s is reported as not run, but was started", i, id)
				case a.State == jobapi.JobComplete && taskAnswer.State != jobapi.TaskCompleted:
					t.Errorf("%s is reported as complete, but task %d is %s", id, i, taskAnswer.State)
				}
			}
			if a.NotRun {
				for k := range starts {
					if k.submission == id {
						t.Errorf("%s is reported as not run, but task %d was started", id, k.index)
					}
				}
			}
		}
	}
}
