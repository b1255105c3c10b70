package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which an ended process is started again.
const restartDelay = 300 * time.Millisecond

// process is one process of the product with its settings file. Unless it is held down, it is
// started again when it ends, as the platform does.
type process struct {
	name, role string
	binary     string
	config     string
	log        *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	closing bool
	down    bool // it is not started again
	starts  int
	done    chan struct{}
}

func startProcess(dir, binary, role, name string, settings any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, binary: binary, config: filepath.Join(dir, name+".json"), done: make(chan struct{})}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

// start starts the process; the settings file path is passed as the platform does.
func (p *process) start() error {
	cmd := exec.Command(p.binary, p.role)
	cmd.Env = append(os.Environ(), "CARDAMOMTURN_NODE_FILE="+p.config)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The child ends with this process, whatever happens to it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	p.starts++
	return nil
}

func (p *process) supervise() {
	defer close(p.done)
	for {
		_ = p.cmd.Wait()
		time.Sleep(restartDelay)
		for {
			p.mu.Lock()
			closing, down := p.closing, p.down
			p.mu.Unlock()
			if closing {
				return
			}
			if !down {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if p.start() != nil {
			return
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

func (p *process) setDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
}

func (p *process) numStarts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	p.mu.Unlock()
	<-p.done
	p.log.Close()
}
