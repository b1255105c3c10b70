package cmd_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cardamomturn/cardamomturn/test/loopback"
)

const (
	// waitBound bounds the wait for a condition; it is no assertion on times.
	waitBound = 45 * time.Second
	// waitPoll is the pause between two looks at a condition.
	waitPoll = 20 * time.Millisecond
)

// await waits until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); !ok(); time.Sleep(waitPoll) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, waitBound)
		}
	}
}

// output is written by a process and read by the test.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// String returns what was written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is a program that the test started.
type process struct {
	name     string
	cmd      *exec.Cmd
	out, err output
	// ended is closed when the process has ended and its output is complete.
	ended chan struct{}
}

// start starts a program of this test binary; its end is at the latest that of
// the test.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.err
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

// signal sends a signal to this process unless it has ended; after SIGKILL it
// waits for the end.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.ended
	}
}

// exit waits for the end and returns the exit code, -1 after a signal.
func (p *process) exit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
	case <-time.After(waitBound):
		t.Fatalf("%s did not end within %v: %s%s", p.name, waitBound, p.out.String(), p.err.String())
	}
	return p.cmd.ProcessState.ExitCode()
}

// tail returns the last lines of the standard error.
func (p *process) tail() string {
	lines := strings.Split(strings.TrimSpace(p.err.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-6):], "\n")
}

// freePorts returns loopback addresses with free ports.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loopback.Addresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

// writeFile writes a file of the test and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
