package slopes

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/settings"
)

const (
	// clockTicksPerSecond is USER_HZ of Linux. The processor times in /proc/PID/stat
	// are in clock ticks.
	clockTicksPerSecond = 100
	// Indexes of fields in /proc/PID/stat, counted from the first field after the
	// name of the command.
	statUserTime, statSystemTime, statResidentPages = 11, 12, 21
	operatorTimeout                                 = 5 * time.Second
)

var operatorClient = http.Client{Timeout: operatorTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// process is one process of cardamomturnd.
type process struct {
	cmd             *exec.Cmd
	operatorAddress string
	stderr          bytes.Buffer
}

// startProcess writes the settings file and starts a process in the given role.
func (f *fleet) startProcess(role, name, operatorAddress string, file *settings.File) (*process, error) {
	body, err := json.Marshal(file)
	if err != nil {
		return nil, errors.Annotatef(err, "settings of %s", name)
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return nil, errors.Annotatef(err, "settings of %s", name)
	}
	p := &process{operatorAddress: operatorAddress}
	p.cmd = exec.Command(f.binary, role, "--config", path)
	p.cmd.Stderr = &p.stderr
	return p, errors.Annotatef(f.children.start(p), "start %s", name)
}

// childProcesses are the processes that the experiment has started.
type childProcesses struct {
	mu   sync.Mutex // guards list
	list []*process
}

func (c *childProcesses) start(p *process) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, p)
	return p.cmd.Start()
}

// killOnSignal kills the child processes and exits on an interrupt or a termination
// signal, until the returned function is called.
func (c *childProcesses) killOnSignal() (stop func()) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		if _, ok := <-ch; !ok {
			return
		}
		c.mu.Lock() // never unlocked, so that no more processes start
		for _, p := range c.list {
			if p.cmd.Process != nil {
				_ = p.cmd.Process.Kill()
			}
		}
		os.Exit(1)
	}()
	return func() {
		signal.Stop(ch)
		close(ch)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// osUsage is the resource use of a process as the operating system reports it.
type osUsage struct {
	// cpu is the processor time since the start in seconds, and rss is the
	// resident memory in bytes.
	cpu, rss float64
}

func (p *process) usage() (osUsage, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return osUsage{}, errors.Annotate(err, "read the process statistics")
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= statResidentPages {
		return osUsage{}, errors.Errorf("process statistics with %d fields", len(fields))
	}
	var n [3]float64
	for i, f := range []int{statUserTime, statSystemTime, statResidentPages} {
		if n[i], err = strconv.ParseFloat(string(fields[f]), 64); err != nil {
			return osUsage{}, errors.Annotate(err, "process statistics")
		}
	}
	return osUsage{cpu: (n[0] + n[1]) / clockTicksPerSecond, rss: n[2] * float64(os.Getpagesize())}, nil
}

// get reads a JSON document from the operator port into the variable that into
// points to; a nil into ignores the document.
func (p *process) get(path string, into any) error {
	resp, err := operatorClient.Get("http://" + p.operatorAddress + path)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s at %s: status %d", path, p.operatorAddress, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(body, into), "%s at %s", path, p.operatorAddress)
}

// buildDaemon compiles cardamomturnd into dir.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "cardamomturnd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/cardamomturn/cardamomturn/cmd/cardamomturnd").CombinedOutput()
	return binary, errors.Annotatef(err, "build cardamomturnd: %s", out)
}
