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
	siteEntries = 3
	siteWorkers = 10
	siteSlots   = 4
)

// siteResources are applied first; the file's order is not that of the
// references.
const siteResources = `[
{"type":"limits","metadata":{"name":"seat-check"},"spec":{"kind":"seat","amounts":{"concurrency":60}}},
{"type":"teams","metadata":{"name":"cuenca"},"spec":{}},
{"type":"kinds","metadata":{"name":"seat"},"spec":{"service":"sample","urgency":"normal","runMs":20,"deadlineMs":10000}},
{"type":"urgencies","metadata":{"name":"normal"},"spec":{"weight":2,"rank":2}}]`

// site is a whole deployment of separate processes on loopback.
type site struct {
	// root is the whole test: processes that a part starts outlive the part.
	root *testing.T
	dir  string
	// caller, operator and internal are the addresses of the entry instances,
	// local those where backend servers announce themselves.
	caller, operator, internal, local []string
	sidecarSettings                   []string
	entrySettings                     []string
	entries, sidecars, backends       []*process
	// all are the backend servers that ever ran.
	all []*process
	// answers are the final answers that callers got.
	answers map[string][]jobapi.JobAnswer
}

func startSite(t *testing.T) *site {
	s := &site{root: t, dir: t.TempDir(), answers: map[string][]jobapi.JobAnswer{}}
	store := start(t, "store", "cardamomturnd", "sample-store", "--address", "127.0.0.1:0")
	var storeAddress string
	await(t, "address of the store", func() bool {
		n, _ := fmt.Sscanf(store.out.String(), "sample store on %s\n", &storeAddress)
		return n == 1 && strings.HasSuffix(store.out.String(), "\n")
	})
	ports := freePorts(t, 3*(siteEntries+siteWorkers))
	take := func() string {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	for range siteEntries {
		s.caller, s.operator, s.internal = append(s.caller, take()), append(s.operator, take()), append(s.internal, take())
	}
	for i := range siteEntries {
		var peers []string
		for j, p := range s.internal {
			if j != i {
				peers = append(peers, p)
			}
		}
		s.entrySettings = append(s.entrySettings, s.settings(t, fmt.Sprintf("entry-%d", i), "entry", map[string]any{
			"zone": zone(i), "callerAddress": s.caller[i], "operatorAddress": s.operator[i],
			"internalAddress": s.internal[i], "peers": peers, "store": map[string]string{"address": storeAddress},
		}))
		s.entries = append(s.entries, nil)
		s.startEntry(i)
	}
	for i := range siteWorkers {
		s.local = append(s.local, take())
		s.sidecarSettings = append(s.sidecarSettings, s.settings(t, fmt.Sprintf("sidecar-%d", i), "sidecar", map[string]any{
			"zone": zone(i), "rack": fmt.Sprintf("rack-%d", i/3), "localAddress": s.local[i],
			"internalAddress": take(), "operatorAddress": take(), "entryAddresses": s.internal,
		}))
		s.sidecars, s.backends = append(s.sidecars, nil), append(s.backends, nil)
		s.startSidecar(i)
		s.startBackend(i)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, p := range append(append([]*process{store}, s.entries...), s.sidecars...) {
			t.Logf("%s:\n%s", p.name, p.tail())
		}
	})
	return s
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// settings writes the settings file of a process and returns its path.
func (s *site) settings(t *testing.T, name, section string, own map[string]any) string {
	t.Helper()
	own["instance"], own["beatInterval"] = name, "200ms"
	data, err := json.Marshal(map[string]any{section: own})
	if err != nil {
		t.Fatal(err)
	}
	return writeFile(t, s.dir, name+".json", string(data))
}

func (s *site) startEntry(i int) {
	s.entries[i] = start(s.root, fmt.Sprintf("entry-%d", i), "cardamomturnd", "entry", "--config", s.entrySettings[i])
}

func (s *site) startSidecar(i int) {
	s.sidecars[i] = start(s.root, fmt.Sprintf("sidecar-%d", i), "cardamomturnd", "sidecar", "--config", s.sidecarSettings[i])
}

func (s *site) startBackend(i int) {
	s.backends[i] = start(s.root, fmt.Sprintf("backend-%d", i), "cardamomturnd", "sample-backend", "--events",
		"--name", fmt.Sprintf("backend-%d", i), "--sidecar", s.local[i], "--zone", zone(i), "--slots", fmt.Sprint(siteSlots))
	s.all = append(s.all, s.backends[i])
}

// awaitWhole waits until every entry instance sees all processes.
func (s *site) awaitWhole(t *testing.T) {
	t.Helper()
	for i := range s.operator {
		await(t, fmt.Sprintf("sight of all processes at entry instance %d", i), func() bool {
			p := start(t, "processes", "cardamomctl", "--operator", s.operator[i], "--timeout", "2s", "-o", "json", "get", "processes")
			var live struct {
				Items []resourceapi.Process `json:"items"`
			}
			return p.exit(t) == ctl.ExitOK && json.Unmarshal([]byte(p.out.String()), &live) == nil && len(live.Items) == siteEntries+siteWorkers
		})
	}
}

// ctl runs cardamomctl against one entry instance and returns it ended.
func (s *site) ctl(t *testing.T, entry int, args ...string) (code int, p *process) {
	t.Helper()
	p = s.ctlStart(t, entry, args...)
	return p.exit(t), p
}

func (s *site) ctlStart(t *testing.T, entry int, args ...string) *process {
	t.Helper()
	all := append([]string{"--server", s.caller[entry], "--operator", s.operator[entry], "--timeout", waitBound.String(), "-o", "json"}, args...)
	return start(t, "cardamomctl "+strings.Join(args, " "), "cardamomctl", all...)
}

// submit starts a job of so many tasks at an entry instance and returns its ID.
func (s *site) submit(t *testing.T, entry, tasks, sleepMs int) (string, *process) {
	t.Helper()
	id, err := ctl.NewClient(s.caller[entry], s.operator[entry], waitBound).NewID()
	if err != nil {
		t.Fatal(err)
	}
	return id, s.ctlStart(t, entry, "submit", "--team", "cuenca", "--kind", "seat", "--tasks", fmt.Sprint(tasks),
		"--payload", fmt.Sprintf(`{"sleepMs":%d}`, sleepMs), "--id", id, "--deadline-ms", "8000")
}

// answer notes the answer that a process printed, to be judged at the end.
func (s *site) answer(t *testing.T, p *process) jobapi.JobAnswer {
	t.Helper()
	code := p.exit(t)
	var a jobapi.JobAnswer
	if err := json.Unmarshal([]byte(p.out.String()), &a); err != nil {
		t.Fatalf("%s: exit code %d, answer %q: %v; %s", p.name, code, p.out.String(), err, p.tail())
	}
	s.answers[a.SubmissionID] = append(s.answers[a.SubmissionID], a)
	return a
}

// task names one task of a submission.
type task struct {
	submission string
	index      int
}

// ran returns how often each task was started and completed by the backend servers.
func (s *site) ran(t *testing.T) (starts, ends map[task]int) {
	t.Helper()
	starts, ends = map[task]int{}, map[task]int{}
	for _, p := range s.all {
		for line := range strings.Lines(p.out.String()) {
			var e daemon.TaskEvent
			if err := json.Unmarshal([]byte(line), &e); err != nil {
				if strings.HasSuffix(line, "\n") {
					t.Fatalf("%s: line %q: %v", p.name, line, err)
				}
				continue // still being written
			}
			if e.End {
				ends[task{e.Submission, e.Task}]++
			} else {
				starts[task{e.Submission, e.Task}]++
			}
		}
	}
	return starts, ends
}

// startedOn reports whether some task of a submission has started, on the given
// backend server or, if that is nil, on any.
func (s *site) startedOn(p *process, id string) bool {
	for _, q := range s.all {
		if (p == nil || p == q) && strings.Contains(q.out.String(), id) {
			return true
		}
	}
	return false
}

// judge compares the answers with what the backend servers ran.
func (s *site) judge(t *testing.T) {
	t.Helper()
	starts, ends := s.ran(t)
	// The complete jobs have 3*100 + 150 + 60 tasks, and each of the three jobs
	// that lose a process has started at least one.
	const wantJobs, wantStarts = 8, 513
	if len(s.answers) < wantJobs || len(starts) < wantStarts {
		t.Errorf("only %d jobs and %d tasks to compare", len(s.answers), len(starts))
	}
	for k, n := range starts {
		if n != 1 {
			t.Errorf("task %d of %s was started %d times", k.index, k.submission, n)
		}
	}
	for id, answers := range s.answers {
		for _, a := range answers {
			if !a.State.Final() {
				t.Errorf("%s: state %s is not final", id, a.State)
			}
			for i, one := range a.Tasks {
				k := task{id, i}
				switch {
				case one.State == jobapi.TaskCompleted && ends[k] != 1:
					t.Errorf("task %d of %s is said to be completed, it was ended %d times", i, id, ends[k])
				case one.State == jobapi.TaskFailed && starts[k] != 1:
					t.Errorf("task %d of %s is said to have failed, it was started %d times", i, id, starts[k])
				case one.State == jobapi.TaskNotRun && starts[k] != 0:
					t.Errorf("task %d of %s is said not to have run, but was started", i, id)
				case a.State == jobapi.JobComplete && one.State != jobapi.TaskCompleted:
					t.Errorf("%s is said to be complete, task %d is %s", id, i, one.State)
				}
			}
			if a.NotRun {
				for k := range starts {
					if k.submission == id {
						t.Errorf("%s is said not to have run, task %d was started", id, k.index)
					}
				}
			}
		}
	}
}
