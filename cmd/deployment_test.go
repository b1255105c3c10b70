package cmd_test

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"github.com/cardamomturn/cardamomturn/internal/ctl"
	"github.com/cardamomturn/cardamomturn/internal/jobapi"
	"github.com/cardamomturn/cardamomturn/internal/resource"
	"github.com/cardamomturn/cardamomturn/internal/resourceapi"
)

// TestDeployment runs its parts one after the other on one deployment of 24
// processes. At the end it compares all answers with the task events of the backend
// servers.
func TestDeployment(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 24 processes")
	}
	d := startDeployment(t)
	d.waitAllLive(t)
	part := func(name string, f func(*testing.T, *deployment)) {
		// Later parts need the state in which earlier parts leave the deployment.
		if !t.Failed() {
			t.Run(name, func(t *testing.T) { f(t, d) })
		}
	}
	part("apply", testApply)
	part("jobs", testJobs)
	part("watch", testWatch)
	part("drain entry", testDrainEntry)
	part("kill backend", testKillBackend)
	part("kill sidecar", testKillSidecar)
	part("kill entry", testKillEntry)
	part("restart all entries", testRestartEntries)
	d.checkAnswers(t)
}

// Guards against an apply that sends a resource before the resources that it refers
// to, and against a status "in force" that does not count all processes.
func testApply(t *testing.T, d *deployment) {
	file := writeFile(t, d.dir, "resources.json", deploymentResources)
	if code, p := d.runCtl(t, 0, "apply", "--allow-decrease", "--wait", "-f", file); code != ctl.ExitOK {
		t.Fatalf("apply: exit code %d: %s", code, p.stderrTail())
	}
	for i := range numEntries {
		waitFor(t, "status in force at each entry instance", func() bool {
			return inForceEverywhere(d.getLimit(t, i).Status)
		})
	}
}

func inForceEverywhere(st *resource.Status) bool {
	return st != nil && st.Processes == numEntries+numWorkers && st.InForce == st.Processes && !st.InForceSince.IsZero()
}

// getLimit reads the limit seat-check from one entry instance.
func (d *deployment) getLimit(t *testing.T, entry int) resource.Limit {
	t.Helper()
	code, p := d.runCtl(t, entry, "get", "limits", "seat-check")
	var l resource.Limit
	if err := json.Unmarshal([]byte(p.stdout.String()), &l); code != ctl.ExitOK || err != nil {
		t.Fatalf("get: exit code %d, %v: %s", code, err, p.stderrTail())
	}
	return l
}

// Guards against entry instances that can't reach the workers.
func testJobs(t *testing.T, d *deployment) {
	var jobs []*process
	for i := range numEntries {
		_, p := d.submit(t, i, 100, 20)
		jobs = append(jobs, p)
	}
	for i, p := range jobs {
		if a := d.recordAnswer(t, p); a.State != jobapi.JobComplete || len(a.Tasks) != 100 || p.waitExitCode(t) != ctl.ExitOK {
			t.Errorf("job at entry instance %d: %s, exit code %d", i, p.stdout.String(), p.waitExitCode(t))
		}
	}
}

// Guards against a watch at one entry instance that omits a change made at another
// one, or the status that the change is in force on all processes.
func testWatch(t *testing.T, d *deployment) {
	w := d.startCtl(t, 1, "watch", "limits", "seat-check")
	defer w.signal(syscall.SIGKILL)
	waitFor(t, "current state", func() bool { return strings.Contains(w.stdout.String(), `"STATUS"`) })
	generation := d.getLimit(t, 2).Metadata.Generation
	d.setLimitAmounts(t, 2, `{"concurrency":90}`)
	var putSeen bool
	waitFor(t, "raised limit in force on all processes", func() bool {
		for line := range strings.Lines(w.stdout.String()) {
			var e struct {
				resourceapi.Event
				Object *resource.Limit `json:"object"`
			}
			if json.Unmarshal([]byte(line), &e) != nil {
				continue
			}
			putSeen = putSeen || e.Type == resourceapi.EventPut && e.Object.Metadata.Generation == generation+1
			if putSeen && e.Type == resourceapi.EventStatus && e.Status.ObservedGeneration == generation+1 && inForceEverywhere(e.Status) {
				return true
			}
		}
		return false
	})
}

// setLimitAmounts changes the amounts of the limit seat-check and waits until they
// are in force.
func (d *deployment) setLimitAmounts(t *testing.T, entry int, amounts string) {
	t.Helper()
	file := writeFile(t, d.dir, "raise.json", `{"type":"limits","metadata":{"name":"seat-check"},"spec":{"kind":"seat","amounts":`+amounts+`}}`)
	if code, p := d.runCtl(t, entry, "apply", "--wait", "-f", file); code != ctl.ExitOK {
		t.Fatalf("change of the limit: exit code %d: %s", code, p.stderrTail())
	}
}

// Guards against a graceful shutdown that does not wait for a running job.
func testDrainEntry(t *testing.T, d *deployment) {
	id, job := d.submit(t, 2, 150, 300)
	waitFor(t, "first task", func() bool { return d.startedOn(nil, id) })
	d.entries[2].signal(syscall.SIGTERM)
	if a := d.recordAnswer(t, job); a.State != jobapi.JobComplete || job.waitExitCode(t) != ctl.ExitOK {
		t.Errorf("job at the stopped entry instance: exit code %d, %s", job.waitExitCode(t), job.stdout.String())
	}
	if code := d.entries[2].waitExitCode(t); code != 0 {
		t.Errorf("exit code %d of the entry instance: %s", code, d.entries[2].stderrTail())
	}
	d.startEntry(2)
	d.waitAllLive(t)
}

// Guards against a task of a killed backend server that is started again or reported
// as not run.
func testKillBackend(t *testing.T, d *deployment) {
	id, job := d.submit(t, 0, 120, 400)
	waitFor(t, "first task on the backend server", func() bool { return d.startedOn(d.backends[0], id) })
	d.backends[0].signal(syscall.SIGKILL)
	d.checkUnknownOutcomes(t, id, d.backends[0], d.recordAnswer(t, job))
	d.startBackend(0)
}

// Guards against a task that is started again or reported as not run after its
// sidecar was killed.
func testKillSidecar(t *testing.T, d *deployment) {
	id, job := d.submit(t, 0, 120, 400)
	waitFor(t, "first task on the backend server of the sidecar", func() bool { return d.startedOn(d.backends[1], id) })
	d.sidecars[1].signal(syscall.SIGKILL)
	d.startSidecar(1)
	d.checkUnknownOutcomes(t, id, d.backends[1], d.recordAnswer(t, job))
	d.waitAllLive(t)
}

// checkUnknownOutcomes checks that a job of a kind that isn't idempotent failed with
// tasks whose outcome is unknown, and that each of these tasks was on the worker of
// the given backend server.
func (d *deployment) checkUnknownOutcomes(t *testing.T, id string, backend *process, a jobapi.JobAnswer) {
	t.Helper()
	unknown := 0
	for i, taskAnswer := range a.Tasks {
		if taskAnswer.State != jobapi.TaskMayHaveRun {
			continue
		}
		unknown++
		if !strings.HasSuffix(backend.name, taskAnswer.Worker[strings.LastIndex(taskAnswer.Worker, "-")+1:]) {
			t.Errorf("task %d of %s may have run on %s, want only tasks on %s", i, id, taskAnswer.Worker, backend.name)
		}
	}
	if a.State != jobapi.JobFailed || unknown == 0 || a.NotRun {
		t.Errorf("job %s: state %s, reason %s, %d unknown outcomes", id, a.State, a.Reason, unknown)
	}
}

// Guards against an answer about a job of a killed entry instance that contradicts
// the task events of the backend servers, and against a caller that gets no answer
// after the restart of the entry instance.
func testKillEntry(t *testing.T, d *deployment) {
	id, job := d.submit(t, 0, 150, 300)
	waitFor(t, "first task", func() bool { return d.startedOn(nil, id) })
	d.entries[0].signal(syscall.SIGKILL)
	var otherAnswer jobapi.JobAnswer
	waitFor(t, "outcome at another entry instance", func() bool {
		_, p := d.runCtl(t, 1, "get", "jobs", id)
		return json.Unmarshal([]byte(p.stdout.String()), &otherAnswer) == nil && otherAnswer.State.Final() && otherAnswer.Reason != jobapi.ReasonOwnerUnreachable
	})
	d.answers[id] = append(d.answers[id], otherAnswer)
	d.startEntry(0)
	if a := d.recordAnswer(t, job); a.SubmissionID != id || a.State != jobapi.JobFailed {
		t.Errorf("answer to the caller: %s", job.stdout.String())
	}
	d.waitAllLive(t)
}

// Guards against a raised limit that a restart of all entry instances lowers, and
// against a deployment that completes no job after the restart.
func testRestartEntries(t *testing.T, d *deployment) {
	d.setLimitAmounts(t, 1, `{"concurrency":120}`)
	want := d.getLimit(t, 0).Metadata
	for i := range numEntries {
		d.entries[i].signal(syscall.SIGKILL)
	}
	for i := range numEntries {
		d.startEntry(i)
	}
	d.waitAllLive(t)
	for i := range numEntries {
		got := d.getLimit(t, i)
		if got.Metadata != want || got.Spec.Amounts.Concurrency == nil || *got.Spec.Amounts.Concurrency != 120 {
			t.Errorf("entry instance %d: limit %+v, want version %+v", i, got, want)
		}
	}
	// The limit shares of the killed entry instances stay unused until the longest deadline
	// has passed; jobs fail as not run until then.
	waitFor(t, "complete job after the restart", func() bool {
		_, job := d.submit(t, 1, 60, 20)
		return d.recordAnswer(t, job).State == jobapi.JobComplete
	})
}
