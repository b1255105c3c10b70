package main

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomturn/cardamomturn/platform/standin"
)

// Ports on the loopback address of each machine of the site.
const (
	internalPort     = 7720
	metricsPort      = 9464
	frontendPort     = 8161
	workerPort       = 8165
	controlPlanePort = 8166
	readyPort        = 8167
	storePort        = 8169
)

// Figures of a small deployment's settings.
const (
	heartbeatInterval = 1500 * time.Millisecond
	retransmit        = 1300 * time.Millisecond // retransmit_ms
	cancelTime        = 3 * time.Second         // cancel_ms
	recoveryTime      = 12 * time.Second        // recovery_s
	restartDelay      = 300 * time.Millisecond
	httpHost          = "review.example"
	service           = "desk"
	zone              = "z1"
	program           = "target/cardamomturn-platform"
)

// record is the text file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, since: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { r.file.Close() }

// site is a small deployment with its platform.
type site struct {
	rec     *record
	dir     string
	net     string // the first three bytes of all addresses
	store   *standin.Store
	hist    *history
	entries []*process
	sides   []*process
	workers []*worker
	version int
	sent    int // number of jobs that traffic has sent

	mu     sync.Mutex
	closed bool
	all    []*process
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 64+pid/200%128, 1+pid%200), hist: &history{}}
	if s.store, err = standin.NewStore(s.address(1, storePort)); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return s, nil
}

func (s *site) host(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

func (s *site) address(n, port int) string { return fmt.Sprintf("%s:%d", s.host(n), port) }

// queue is a route of the configuration.
type queue struct {
	prefix      string
	slackFactor float64
}

// configure writes a configuration with the given queues, the most urgent first.
func (s *site) configure(queues ...queue) {
	s.version += 3
	routes := []map[string]any{}
	for rank, q := range queues {
		routes = append(routes, map[string]any{"name": "r" + q.prefix, "host": httpHost, "prefix": q.prefix, "kind": "non_idempotent", "service": service,
			"priority": rank, "max_attempts": 3, "slack_factor": q.slackFactor, "target_duration_ms": 60, "timeout_ms": 1500})
	}
	s.store.Put("op/config", string(mustJSON(map[string]any{"version": s.version, "routes": routes,
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})))
	s.rec.printf("operator: configuration %d is acknowledged, with the queues %+v", s.version, queues)
}

// usualSlack is the slack_factor of the small sites.
const usualSlack = 1.6

// entryHost and sideHost are the numbers of the first machine of each class, and strangerHost is
// that of a machine of nobody.
const (
	entryHost    = 10
	sideHost     = 30
	strangerHost = 90
)

func (s *site) common(name string, host int) map[string]any {
	return map[string]any{
		"instance": name, "zone": zone, "host": s.host(host), "internalPort": internalPort, "metricsPort": metricsPort,
		"seeds": []string{s.address(entryHost, controlPlanePort), s.address(entryHost+1, controlPlanePort), s.address(entryHost+2, controlPlanePort)},
		"store": s.address(1, storePort), "grace": "6s",
	}
}

func (s *site) entryAddress(i int) string { return s.address(entryHost+i, frontendPort) }

// startEntries starts entry instances.
func (s *site) startEntries(count int) error {
	for i := range count {
		name := fmt.Sprint("frontend-", i+1)
		set := s.common(name, entryHost+i)
		set["memoryMB"] = 284
		set["callerAddress"], set["readyAddress"], set["applyWithin"] = s.entryAddress(i), s.address(entryHost+i, readyPort), "2000ms"
		p, err := s.startProcess(name, "entry", map[string]any{"broker": set})
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	return nil
}

// startSides starts side machines, each with a worker of the kind that kinds gives in turn, three
// to a rack.
func (s *site) startSides(count int, milliCPU int64, kinds ...string) error {
	for i := range count {
		host, name := sideHost+i, fmt.Sprint("side-", i+1)
		w := &worker{hist: s.hist, id: fmt.Sprint("i-", i+1), addr: s.address(host, workerPort), report: s.address(host, controlPlanePort), milliCPU: milliCPU,
			labels: []string{kinds[i%len(kinds)], fmt.Sprintf("r1-%d", i/3)}}
		if err := w.begin(0); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		set := s.common(name, host)
		set["memoryMB"], set["reportAddress"], set["workerAddress"] = 152, s.address(host, controlPlanePort), w.addr
		set["maxLease"], set["reportInterval"] = "1000ms", "1500ms"
		p, err := s.startProcess(name, "sidecar", map[string]any{"runner": set})
		if err != nil {
			return err
		}
		s.sides = append(s.sides, p)
	}
	return nil
}

// start starts a site and waits until it serves.
func (s *site) start(entries, sides int, milliCPU int64, kinds ...string) error {
	if err := s.startEntries(entries); err != nil {
		return err
	}
	if err := s.startSides(sides, milliCPU, kinds...); err != nil {
		return err
	}
	s.rec.printf("%d entry instances, %d side machines with workers of %d mCPU, kinds %v in turn", entries, sides, milliCPU, kinds)
	return s.waitReady()
}

// process is one of the project's processes. It is started again when it ends.
type process struct {
	name, path, role string
	log              *os.File
	mu               sync.Mutex
	cmd              *exec.Cmd
	closing          bool
	done             chan struct{}
}

func (s *site) startProcess(name, role string, settings any) (*process, error) {
	p := &process{name: name, role: role, path: filepath.Join(s.dir, name+".json"), done: make(chan struct{})}
	if err := os.WriteFile(p.path, mustJSON(settings), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.all = append(s.all, p)
	s.mu.Unlock()
	go s.supervise(p)
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return os.ErrClosed
	}
	cmd := exec.Command(program, p.role)
	cmd.Env = []string{"CARDAMOMTURN_NODE_FILE=" + p.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig) // an error means that it has ended
}

// supervise starts a process again when it has ended, as the platform does.
func (s *site) supervise(p *process) {
	defer close(p.done)
	for {
		err := p.cmd.Wait()
		p.mu.Lock()
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		s.rec.printf("process %s has ended: %v", p.name, err)
		time.Sleep(restartDelay)
		if p.start() != nil {
			return
		}
	}
}

func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, p := range s.all {
		p.mu.Lock()
		p.closing = true
		p.mu.Unlock()
		p.signal(syscall.SIGKILL)
	}
	for _, p := range s.all {
		<-p.done
		p.log.Close()
	}
	for _, w := range s.workers {
		w.crash()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs are kept in", s.dir)
	}
}

// waitReady waits until all entry instances are ready, and then a little longer so that each
// of them has heard of all workers.
func (s *site) waitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range s.entries {
			resp, err := http.Get("http://" + s.address(entryHost+i, readyPort) + "/cardamomturn/readiness")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the entry instances are not ready")
}

// jobBody returns the body that submits a job. estimateMs is the declared run time of each task,
// and pad fills task_spec up to that many bytes.
func jobBody(id string, estimateMs int64, pad int, steps ...specStep) []byte {
	sp := spec{ID: id, Steps: steps}
	text := mustJSON(sp)
	if missing := pad - len(text) - len(`,"pad":""`); missing > 0 {
		sp.Pad = strings.Repeat("x", missing)
		text = mustJSON(sp)
	}
	var list []map[string]any
	for _, st := range steps {
		m := map[string]any{"count": st.Count, "cpu": st.MilliCPU, "memory_request_mb": 16, "estimated_ms": estimateMs}
		if st.Label != "" {
			m["requirements"] = st.Label
		}
		if len(st.After) > 0 {
			m["after"] = st.After
		}
		list = append(list, m)
	}
	return mustJSON(map[string]any{"task_spec": string(text), "best_effort": true, "steps": list})
}

// call sends one request of a client, which waits for the answer for patience, and returns the
// status, 0 if there was no answer.
func (s *site) call(client *http.Client, method string, entry int, path string, body []byte, deadline, patience time.Duration) int {
	req, err := http.NewRequest(method, "http://"+s.entryAddress(entry)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is well formed
	}
	req.Host = httpHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	c := *client
	c.Timeout = patience
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64}}
}

// submission is a job with the course of its client.
type submission struct {
	id       string
	path     string
	body     []byte
	entry    int           // the first one; each repetition reaches the next
	deadline time.Duration // Request-Deadline
	leave    time.Duration // after which the client leaves at first; zero if it stays
	tries    int
}

// submit plays a client: it sends a job, and sends it again retransmit_ms after a broken
// connection, 502 or 504. It returns the last status.
func (s *site) submit(client *http.Client, j submission) (status int) {
	for try := range j.tries {
		patience := j.deadline
		if try == 0 && j.leave > 0 {
			patience = j.leave
		}
		entry := (j.entry + try) % len(s.entries)
		s.rec.printf("job %s is sent to frontend-%d", j.id, entry+1)
		status = s.call(client, http.MethodPost, entry, j.path+j.id, j.body, j.deadline, patience)
		if status == 0 && try == 0 && j.leave > 0 {
			s.rec.printf("job %s: the client leaves after %v", j.id, j.leave)
		} else {
			s.rec.printf("job %s is answered %d", j.id, status)
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(retransmit)
	}
	return status
}

// recordRuns writes the runs to the record: those of the jobs in detail, of the others the number
// by worker and end.
func (s *site) recordRuns(detailed ...string) {
	counts := map[string]map[string]int{} // by job, then by worker and end
	for _, r := range s.hist.all() {
		job, _, _ := strings.Cut(r.task, ".")
		if r.how == "" {
			r.how = "at work"
		}
		if !slices.Contains(detailed, job) {
			if counts[job] == nil {
				counts[job] = map[string]int{}
			}
			counts[job][r.worker+" "+r.how]++
			continue
		}
		end := "-"
		if !r.end.IsZero() {
			end = fmt.Sprintf("%.3f s", r.end.Sub(s.rec.since).Seconds())
		}
		s.rec.printf("run: %s attempt %d at %s, %.3f s to %s, %s", r.task, r.attempt, r.worker, r.start.Sub(s.rec.since).Seconds(), end, r.how)
	}
	for _, job := range slices.Sorted(maps.Keys(counts)) {
		s.rec.printf("runs of job %s: %v", job, counts[job])
	}
}

// twice returns what broke TWICE so far.
func (s *site) twice() []string {
	s.hist.mu.Lock()
	defer s.hist.mu.Unlock()
	return slices.Clone(s.hist.twice)
}
