package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

const (
	httpHost    = "review.example"
	serviceName = "svc"
)

// process is a process of the deploy file.
type process struct {
	rec  *record
	name string
	role string
	path string // of its settings
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	cmd := exec.Command("target/cardamomturn-platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARDAMOMTURN_NODE_FILE=" + p.path}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); f.Close(); close(done) }(p.done)
	p.rec.add("process %s starts", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.rec.add("process %s gets signal %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// site is a small deployment on loopback addresses.
type site struct {
	rec      *record
	dir      string
	net      string // first three numbers of the addresses
	internal int
	caller   int
	ready    int
	report   int
	work     int
	store    *standin.Store
	entries  []*process
	sidecars []*process
	workers  []*worker
	links    []*cutLink // in front of the internal ports of the entry instances
	// grace of the processes.
	grace   string
	version int
}

func (s *site) host(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

func (s *site) at(n, port int) string { return fmt.Sprintf("%s:%d", s.host(n), port) }

const (
	storeHost   = 1
	entryHost   = 10
	sidecarHost = 40
	linkOffset  = 100
)

// newSite finds free ports and starts the store.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 30+os.Getpid()/200%190, 1+os.Getpid()%200), grace: "6s", version: 1}
	for _, port := range []*int{&s.internal, &s.caller, &s.ready, &s.report, &s.work} {
		lis, err := net.Listen("tcp", s.host(storeHost)+":0")
		if err != nil {
			return nil, err
		}
		*port = lis.Addr().(*net.TCPAddr).Port
		defer lis.Close()
	}
	s.endOnSignal()
	s.store, err = standin.NewStore(s.host(storeHost) + ":0")
	return s, err
}

// queue is one route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	maxAttempts  int
	slack        float64
	targetMs     int
}

func (s *site) configure(queues ...queue) {
	s.version += 2
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": httpHost, "prefix": q.prefix, "kind": "non_idempotent", "timeout_ms": 30000,
			"target_duration_ms": q.targetMs, "priority": q.priority, "service": serviceName, "max_attempts": q.maxAttempts, "slack_factor": q.slack})
	}
	text, _ := json.Marshal(map[string]any{"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	s.store.Put("op/config", string(text))
	s.rec.add("the operator writes configuration %d", s.version)
}

// common are the settings that both roles have, as in the templates of the deploy file.
func (s *site) common(name string, host int, seeds []string) map[string]any {
	return map[string]any{"instance": name, "zone": "z", "host": s.host(host), "internalPort": s.internal, "seeds": seeds, "store": s.store.Address(), "grace": s.grace}
}

func (s *site) process(role, name string, section string, settings map[string]any) (*process, error) {
	text, _ := json.Marshal(map[string]any{section: settings})
	p := &process{rec: s.rec, name: name, role: role, path: filepath.Join(s.dir, name+".json"), log: filepath.Join(s.dir, name+".log")}
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		return nil, err
	}
	return p, p.start()
}

// addEntries starts entry instances. With linked, the sidecars reach them through links.
func (s *site) addEntries(n int, linked bool) error {
	seeds := s.seeds(n, linked)
	for i := range n {
		c := s.common(fmt.Sprint("entry-", i), entryHost+i, seeds)
		c["callerAddress"], c["readyAddress"], c["applyWithin"] = s.at(entryHost+i, s.caller), s.at(entryHost+i, s.ready), "2000ms"
		c["memoryMB"] = 284
		if linked {
			c["advertise"] = s.at(entryHost+i+linkOffset, s.internal)
			l, err := newCutLink(s.at(entryHost+i+linkOffset, s.internal), s.at(entryHost+i, s.internal), 0)
			if err != nil {
				return err
			}
			s.links = append(s.links, l)
		}
		p, err := s.process("entry", fmt.Sprint("entry-", i), "broker", c)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return nil
}

func (s *site) seeds(n int, linked bool) (seeds []string) {
	for i := range min(n, 3) {
		host := entryHost + i
		if linked {
			host += linkOffset
		}
		seeds = append(seeds, s.at(host, s.internal))
	}
	return seeds
}

// addWorker starts a worker and the sidecar beside it.
func (s *site) addWorker(who identity, linked bool, onStart func(*worker, *taskRun)) error {
	i := len(s.workers)
	h := sidecarHost + i
	c := s.common(fmt.Sprint("side-", i), h, s.seeds(len(s.entries), linked))
	c["reportAddress"], c["workerAddress"], c["maxLease"], c["reportInterval"] = s.at(h, s.report), s.at(h, s.work), "1000ms", "1500ms"
	c["memoryMB"] = 152
	p, err := s.process("sidecar", fmt.Sprint("side-", i), "runner", c)
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, p)
	w := &worker{rec: s.rec, service: serviceName, address: s.at(h, s.work), reportTo: s.at(h, s.report), onStart: onStart}
	s.workers = append(s.workers, w)
	return w.start(who, 300*time.Millisecond)
}

// awaitReady waits until all entry instances are ready and have waited for their workers.
func (s *site) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.entries {
			c := http.Client{Timeout: time.Second}
			if resp, err := c.Get("http://" + s.at(entryHost+i, s.ready) + "/cardamomturn/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.entries) {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entry instances are not ready")
}

func (s *site) close() {
	for _, p := range append(append([]*process{}, s.entries...), s.sidecars...) {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
	}
	for _, l := range s.links {
		l.close()
	}
	for _, w := range s.workers {
		w.crash()
	}
	s.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.dir)
	}
}

// job is the body of a submission.
type job struct {
	Spec       string `json:"task_spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort"`
}

type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Memory       int64  `json:"memory_request_mb"`
	EstimatedMs  int64  `json:"estimated_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

var (
	idMu   sync.Mutex
	nextID = uint64(time.Now().UnixNano())
)

func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	nextID++
	return fmt.Sprintf("%016x", nextID)
}

// client keeps connections open, as the platform's clients do.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// submit submits a job to an entry instance and returns the status, zero without an answer, and the body.
func (s *site) submit(entry int, prefix, id string, j job, deadline time.Duration) (int, string) {
	text, _ := json.Marshal(j)
	req, _ := http.NewRequest(http.MethodPost, "http://"+s.at(entryHost+entry, s.caller)+prefix+id, strings.NewReader(string(text)))
	req.Host = httpHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	s.rec.add("client submits %s to entry-%d: %s", id, entry, text)
	c := *client
	c.Timeout = deadline
	resp, err := c.Do(req)
	if err != nil {
		s.rec.add("client gets no answer for %s: %v", id, err)
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	s.rec.add("client gets %d %s for %s", resp.StatusCode, body, id)
	return resp.StatusCode, string(body)
}
