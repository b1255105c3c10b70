package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	controlPlanePort = 8166
	readyPort        = 8167
	storePort        = 8169
	workerPort       = 8165
)

// Figures of a small deployment's settings.
const (
	heartbeatInterval = 1500 * time.Millisecond
	cancelTime        = 3 * time.Second       // cancel_ms
	stopTimeout       = 50 * time.Millisecond // stop_timeout_ms
	restartDelay      = 300 * time.Millisecond
	httpHost          = "review.example"
	service           = "desk"
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
	net     string // the first two bytes of all addresses
	store   *standin.Store
	entries []*process
	sides   []*machine
	version int

	mu     sync.Mutex
	closed bool
	all    []*process
}

// machine is a side machine with its worker.
type machine struct {
	*process
	worker *standin.Worker
	addr   string
	stop   chan struct{} // ends the heartbeats of the present life of the worker
}

func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{rec: rec, dir: dir, net: fmt.Sprintf("127.%d.%d", 64+pid/200%128, 1+pid%200)}
	if s.store, err = standin.NewStore(s.address(1, storePort)); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	return s, nil
}

func (s *site) host(n int) string { return fmt.Sprintf("%s.%d", s.net, n) }

func (s *site) address(n, port int) string { return fmt.Sprintf("%s:%d", s.host(n), port) }

// configure writes a configuration with the given queues, the most urgent first.
func (s *site) configure(prefixes ...string) {
	s.version += 3
	s.store.Configure(s.version, httpHost, service, 3, prefixes)
	s.rec.printf("operator: configuration %d with the queues %v", s.version, prefixes)
}

// entryHost and sideHost are the numbers of the first machine of each class.
const (
	entryHost = 10
	sideHost  = 30
)

func (s *site) common(name string, host int) map[string]any {
	return map[string]any{
		"instance": name, "zone": "z1", "host": s.host(host), "internalPort": internalPort, "metricsPort": metricsPort,
		"seeds": []string{s.address(entryHost, controlPlanePort), s.address(entryHost+1, controlPlanePort)},
		"store": s.address(1, storePort), "grace": "6s",
	}
}

func (s *site) entryAddress(i int) string { return s.address(entryHost+i, frontendPort) }

// startEntry starts the next entry instance.
func (s *site) startEntry() error {
	i := len(s.entries)
	set := s.common(fmt.Sprint("frontend-", i+1), entryHost+i)
	set["memoryMB"] = 284
	set["callerAddress"], set["readyAddress"], set["applyWithin"] = s.entryAddress(i), s.address(entryHost+i, readyPort), "2000ms"
	p, err := s.startProcess(fmt.Sprint("frontend-", i+1), "entry", map[string]any{"broker": set})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, p)
	return nil
}

// startSide starts the next side machine with a worker of the given capacity and labels.
func (s *site) startSide(milliCPU int64, labels ...string) error {
	i := len(s.sides)
	m := &machine{addr: s.host(sideHost + i), worker: &standin.Worker{ID: fmt.Sprint("i-", i+1), Service: service, Zone: "z1", MilliCPU: milliCPU, MemoryMB: 262144, Labels: labels}}
	if err := s.startWorker(m, 0); err != nil {
		return err
	}
	p, err := s.startSidecar(i)
	if err != nil {
		return err
	}
	m.process = p
	s.sides = append(s.sides, m)
	return nil
}

// startSidecar starts the sidecar of the side machine with the given index.
func (s *site) startSidecar(i int) (*process, error) {
	host, name := sideHost+i, fmt.Sprint("side-", i+1)
	set := s.common(name, host)
	set["memoryMB"], set["reportAddress"], set["workerAddress"] = 152, s.address(host, controlPlanePort), s.address(host, workerPort)
	set["maxLease"], set["reportInterval"] = "1000ms", "1500ms"
	return s.startProcess(name, "sidecar", map[string]any{"runner": set})
}

// startWorker starts a life of a worker, which sends its first heartbeat after a delay.
func (s *site) startWorker(m *machine, firstHeartbeat time.Duration) error {
	if err := m.worker.Start(fmt.Sprintf("%s:%d", m.addr, workerPort)); err != nil {
		return err
	}
	s.rec.printf("worker %s starts, %d mCPU, labels %v", m.worker.ID, m.worker.MilliCPU, m.worker.Labels)
	m.stop = make(chan struct{})
	go func(stop chan struct{}) {
		for wait := firstHeartbeat; ; wait = heartbeatInterval {
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
			err := m.worker.Report(fmt.Sprintf("%s:%d", m.addr, controlPlanePort))
			for tries := 0; err != nil && tries < 5; tries++ { // the sidecar has just started
				time.Sleep(100 * time.Millisecond)
				err = m.worker.Report(fmt.Sprintf("%s:%d", m.addr, controlPlanePort))
			}
			if wait != heartbeatInterval {
				s.rec.printf("worker %s: first heartbeat of this life, error %v", m.worker.ID, err)
			}
		}
	}(m.stop)
	return nil
}

// crashWorker ends the present life of a worker.
func (s *site) crashWorker(m *machine) {
	close(m.stop)
	m.worker.Crash()
	s.rec.printf("worker %s crashes", m.worker.ID)
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
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, path: filepath.Join(s.dir, name+".json"), done: make(chan struct{})}
	if err := os.WriteFile(p.path, text, 0o600); err != nil {
		return nil, err
	}
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
		s.rec.printf("process %s has ended: %v; last lines of its log: %s", p.name, err, lastLines(p.log.Name()))
		time.Sleep(restartDelay)
		if p.start() != nil {
			return
		}
	}
}

func lastLines(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	const most = 500
	return string(bytes.TrimSpace(text[max(0, len(text)-most):]))
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
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // an error means that it has ended
		p.mu.Unlock()
	}
	for _, p := range s.all {
		<-p.done
		p.log.Close()
	}
	for _, m := range s.sides {
		m.worker.Crash()
	}
	s.store.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		s.rec.printf("logs are kept in %s", s.dir)
	}
}

// waitReady waits until all entry instances are ready, and then a little longer so that each
// of them has heard of all workers.
func (s *site) waitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range s.entries {
			resp, err := http.Get("http://" + s.address(entryHost+i, readyPort) + standin.PathReady)
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

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemoryMB     int64  `json:"memory_request_mb"`
	EstimatedMs  int64  `json:"estimated_ms"`
	After        []int  `json:"after,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

func jobBody(task standin.Task, steps ...step) []byte {
	text, err := json.Marshal(map[string]any{"task_spec": task.Payload(), "best_effort": true, "steps": steps})
	if err != nil {
		panic(err) // the values contain nothing that JSON can't represent
	}
	return text
}

// call sends one request of a client and returns the status, 0 if there was no answer.
func (s *site) call(client *http.Client, method string, entry int, path string, body []byte, deadline time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+s.entryAddress(entry)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = httpHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	c := *client
	c.Timeout = deadline
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4}}
}
