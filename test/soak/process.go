package main

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is a process of one of the real programs. supervise restarts it when it ends,
// as the platform does.
type process struct {
	name string
	args []string
	logs io.WriteCloser // nil discards the output

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	paused  bool
	// starts counts the starts. crashes counts the ends with an error, except those
	// after SIGKILL was sent (killed is true).
	starts, crashes int
	killed          bool
	done            chan struct{}
}

const restartDelay = 150 * time.Millisecond

func startProcess(name, logs string, args ...string) (*process, error) {
	p := &process{name: name, args: args, done: make(chan struct{})}
	if logs != "" {
		f, err := os.Create(filepath.Join(logs, name+".log"))
		if err != nil {
			return nil, errors.Trace(err)
		}
		p.logs = f
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return errors.New("the process is closing")
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	if p.logs != nil {
		cmd.Stdout, cmd.Stderr = p.logs, p.logs
	}
	if err := cmd.Start(); err != nil {
		return errors.Annotate(err, p.name)
	}
	p.cmd, p.killed, p.paused = cmd, false, false
	p.starts++
	return nil
}

// supervise restarts the process each time it ends, until close.
func (p *process) supervise() {
	defer close(p.done)
	for {
		err := p.cmd.Wait()
		p.mu.Lock()
		if err != nil && !p.killed {
			p.crashes++
		}
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(restartDelay)
		if p.start() != nil {
			return
		}
	}
}

// signal sends a signal to the running process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL {
		p.killed = true
	}
	p.paused = s == syscall.SIGSTOP
	// The error is ignored: if the process has ended, supervise restarts it.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	p.killed = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // error ignored as in signal
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	p.mu.Unlock()
	<-p.done
	if p.logs != nil {
		p.logs.Close()
	}
}
