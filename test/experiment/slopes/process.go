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
	// clockTicks is the number of ticks per second in /proc/PID/stat.
	clockTicks = 100
	// Fields of /proc/PID/stat behind the name of the command.
	fieldUser, fieldSystem, fieldPages = 11, 12, 21
	askTimeout                         = 5 * time.Second
)

var client = http.Client{Timeout: askTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// process is one running cardamomturnd.
type process struct {
	cmd      *exec.Cmd
	operator string
	stderr   bytes.Buffer
}

// startProcess writes the settings file and starts a role with it.
func (f *fleet) startProcess(role, name, operator string, file *settings.File) (*process, error) {
	body, err := json.Marshal(file)
	if err != nil {
		return nil, errors.Annotatef(err, "settings of %s", name)
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return nil, errors.Annotatef(err, "settings of %s", name)
	}
	p := &process{operator: operator}
	p.cmd = exec.Command(f.binary, role, "--config", path)
	p.cmd.Stderr = &p.stderr
	return p, errors.Annotatef(f.children.start(p), "start %s", name)
}

// children are the processes that were started.
type children struct {
	mu   sync.Mutex // guards list
	list []*process
}

func (c *children) start(p *process) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, p)
	return p.cmd.Start()
}

// endOnSignal ends the processes and this program on an interrupt, until the
// returned function is called.
func (c *children) endOnSignal() (stop func()) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, os.Interrupt, syscall.SIGTERM)
	go func() {
		if _, ok := <-ch; !ok {
			return
		}
		c.mu.Lock() // and never unlocked: nothing may start any more
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

// kill ends the process by its handle and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// usage is what the operating system accounts to a process.
type usage struct {
	// cpu is the processor time since the start in seconds, rss the resident
	// memory in bytes.
	cpu, rss float64
}

func (p *process) usage() (usage, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return usage{}, errors.Annotate(err, "read the process statistics")
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= fieldPages {
		return usage{}, errors.Errorf("process statistics with %d fields", len(fields))
	}
	var n [3]float64
	for i, f := range []int{fieldUser, fieldSystem, fieldPages} {
		if n[i], err = strconv.ParseFloat(string(fields[f]), 64); err != nil {
			return usage{}, errors.Annotate(err, "process statistics")
		}
	}
	return usage{cpu: (n[0] + n[1]) / clockTicks, rss: n[2] * float64(os.Getpagesize())}, nil
}

// get reads a JSON document of the operator port.
func (p *process) get(path string, into any) error {
	resp, err := client.Get("http://" + p.operator + path)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s at %s: status %d", path, p.operator, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(body, into), "%s at %s", path, p.operator)
}

// buildDaemon compiles cardamomturnd into dir.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "cardamomturnd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/cardamomturn/cardamomturn/cmd/cardamomturnd").CombinedOutput()
	return binary, errors.Annotatef(err, "build cardamomturnd: %s", out)
}
