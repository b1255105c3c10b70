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

// TestSite runs a deployment of 24 processes. Its parts follow each other on
// the same deployment, and the last one compares all answers with what the
// backend servers ran.
func TestSite(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 24 processes")
	}
	s := startSite(t)
	s.awaitWhole(t)
	part := func(name string, f func(*testing.T, *site)) {
		// Later parts need what earlier ones leave behind.
		if !t.Failed() {
			t.Run(name, func(t *testing.T) { f(t, s) })
		}
	}
	part("apply", siteApply)
	part("jobs", siteJobs)
	part("watch", siteWatch)
	part("drain entry", siteDrainEntry)
	part("kill backend", siteKillBackend)
	part("kill sidecar", siteKillSidecar)
	part("kill entry", siteKillEntry)
	part("restart all entries", siteRestartEntries)
	s.judge(t)
}

// Guards against an apply that sends resources before those they refer to, and
// one that reports "in force" with processes missing.
func siteApply(t *testing.T, s *site) {
	file := writeFile(t, s.dir, "resources.json", siteResources)
	if code, p := s.ctl(t, 0, "apply", "--allow-decrease", "--wait", "-f", file); code != ctl.ExitOK {
		t.Fatalf("apply: exit code %d: %s", code, p.tail())
	}
	for i := range siteEntries {
		await(t, "the status at each entry instance", func() bool {
			return everywhere(s.limit(t, i).Status)
		})
	}
}

func everywhere(st *resource.Status) bool {
	return st != nil && st.Processes == siteEntries+siteWorkers && st.InForce == st.Processes && !st.InForceSince.IsZero()
}

// limit reads the limit of the site from one entry instance.
func (s *site) limit(t *testing.T, entry int) resource.Limit {
	t.Helper()
	code, p := s.ctl(t, entry, "get", "limits", "seat-check")
	var l resource.Limit
	if err := json.Unmarshal([]byte(p.out.String()), &l); code != ctl.ExitOK || err != nil {
		t.Fatalf("get: exit code %d, %v: %s", code, err, p.tail())
	}
	return l
}

// Guards against entry instances that can't reach the workers.
func siteJobs(t *testing.T, s *site) {
	var jobs []*process
	for i := range siteEntries {
		_, p := s.submit(t, i, 100, 20)
		jobs = append(jobs, p)
	}
	for i, p := range jobs {
		if a := s.answer(t, p); a.State != jobapi.JobComplete || len(a.Tasks) != 100 || p.exit(t) != ctl.ExitOK {
			t.Errorf("job at entry instance %d: %s, exit code %d", i, p.out.String(), p.exit(t))
		}
	}
}

// Guards against a watch at one entry instance that misses a change made at
// another, or the moment when all processes have it in force.
func siteWatch(t *testing.T, s *site) {
	w := s.ctlStart(t, 1, "watch", "limits", "seat-check")
	defer w.signal(syscall.SIGKILL)
	await(t, "the present state", func() bool { return strings.Contains(w.out.String(), `"STATUS"`) })
	before := s.limit(t, 2).Metadata.Generation
	s.raise(t, 2, `{"concurrency":90}`)
	var put bool
	await(t, "the raise in force on all processes", func() bool {
		for line := range strings.Lines(w.out.String()) {
			var e struct {
				resourceapi.Event
				Object *resource.Limit `json:"object"`
			}
			if json.Unmarshal([]byte(line), &e) != nil {
				continue
			}
			put = put || e.Type == resourceapi.EventPut && e.Object.Metadata.Generation == before+1
			if put && e.Type == resourceapi.EventStatus && e.Status.ObservedGeneration == before+1 && everywhere(e.Status) {
				return true
			}
		}
		return false
	})
}

// raise changes the amounts of the limit and waits until they are in force.
func (s *site) raise(t *testing.T, entry int, amounts string) {
	t.Helper()
	file := writeFile(t, s.dir, "raise.json", `{"type":"limits","metadata":{"name":"seat-check"},"spec":{"kind":"seat","amounts":`+amounts+`}}`)
	if code, p := s.ctl(t, entry, "apply", "--wait", "-f", file); code != ctl.ExitOK {
		t.Fatalf("raise: exit code %d: %s", code, p.tail())
	}
}

// Guards against a graceful shutdown that cuts a job in flight.
func siteDrainEntry(t *testing.T, s *site) {
	id, job := s.submit(t, 2, 150, 300)
	await(t, "first task", func() bool { return s.startedOn(nil, id) })
	s.entries[2].signal(syscall.SIGTERM)
	if a := s.answer(t, job); a.State != jobapi.JobComplete || job.exit(t) != ctl.ExitOK {
		t.Errorf("job at the stopped entry instance: exit code %d, %s", job.exit(t), job.out.String())
	}
	if code := s.entries[2].exit(t); code != 0 {
		t.Errorf("exit code %d of the entry instance: %s", code, s.entries[2].tail())
	}
	s.startEntry(2)
	s.awaitWhole(t)
}

// Guards against a task of a dead backend server that is started again or said
// not to have run.
func siteKillBackend(t *testing.T, s *site) {
	id, job := s.submit(t, 0, 120, 400)
	await(t, "first task on the backend server", func() bool { return s.startedOn(s.backends[0], id) })
	s.backends[0].signal(syscall.SIGKILL)
	s.expectLost(t, id, s.backends[0], s.answer(t, job))
	s.startBackend(0)
}

// Guards against the same with a dead sidecar.
func siteKillSidecar(t *testing.T, s *site) {
	id, job := s.submit(t, 0, 120, 400)
	await(t, "first task beside the sidecar", func() bool { return s.startedOn(s.backends[1], id) })
	s.sidecars[1].signal(syscall.SIGKILL)
	s.startSidecar(1)
	s.expectLost(t, id, s.backends[1], s.answer(t, job))
	s.awaitWhole(t)
}

// expectLost checks that a job of a kind that isn't idempotent failed with
// tasks whose outcome is unknown, and that each of them is on the lost worker.
func (s *site) expectLost(t *testing.T, id string, lost *process, a jobapi.JobAnswer) {
	t.Helper()
	unknown := 0
	for i, one := range a.Tasks {
		if one.State != jobapi.TaskMayHaveRun {
			continue
		}
		unknown++
		if !strings.HasSuffix(lost.name, one.Worker[strings.LastIndex(one.Worker, "-")+1:]) {
			t.Errorf("task %d of %s may have run on %s, lost was %s", i, id, one.Worker, lost.name)
		}
	}
	if a.State != jobapi.JobFailed || unknown == 0 || a.NotRun {
		t.Errorf("job %s: state %s, reason %s, %d unknown outcomes", id, a.State, a.Reason, unknown)
	}
}

// Guards against an answer about a dead entry instance's job that the backend
// servers contradict, and a caller that gets none after the instance returned.
func siteKillEntry(t *testing.T, s *site) {
	id, job := s.submit(t, 0, 150, 300)
	await(t, "first task", func() bool { return s.startedOn(nil, id) })
	s.entries[0].signal(syscall.SIGKILL)
	var elsewhere jobapi.JobAnswer
	await(t, "the outcome at another entry instance", func() bool {
		_, p := s.ctl(t, 1, "get", "jobs", id)
		return json.Unmarshal([]byte(p.out.String()), &elsewhere) == nil && elsewhere.State.Final() && elsewhere.Reason != jobapi.ReasonOwnerUnreachable
	})
	s.answers[id] = append(s.answers[id], elsewhere)
	s.startEntry(0)
	if a := s.answer(t, job); a.SubmissionID != id || a.State != jobapi.JobFailed {
		t.Errorf("answer to the caller: %s", job.out.String())
	}
	s.awaitWhole(t)
}

// Guards against a raised limit that a restart of all entry instances lowers,
// and a deployment that does no work after it.
func siteRestartEntries(t *testing.T, s *site) {
	s.raise(t, 1, `{"concurrency":120}`)
	want := s.limit(t, 0).Metadata
	for i := range siteEntries {
		s.entries[i].signal(syscall.SIGKILL)
	}
	for i := range siteEntries {
		s.startEntry(i)
	}
	s.awaitWhole(t)
	for i := range siteEntries {
		got := s.limit(t, i)
		if got.Metadata != want || got.Spec.Amounts.Concurrency == nil || *got.Spec.Amounts.Concurrency != 120 {
			t.Errorf("entry instance %d: limit %+v, want version %+v", i, got, want)
		}
	}
	// The shares of the killed instances stay unused until the longest deadline
	// has passed; jobs fail as not run until then.
	await(t, "complete job after the restart", func() bool {
		_, job := s.submit(t, 1, 60, 20)
		return s.answer(t, job).State == jobapi.JobComplete
	})
}
