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
	// waitTimeout is the time limit of a wait for a condition. It only ends a test
	// that hangs; no test asserts how fast a condition is met.
	waitTimeout = 45 * time.Second
	// waitInterval is the time between two checks of a condition.
	waitInterval = 20 * time.Millisecond
)

// waitFor waits until ok returns true.
func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(waitInterval) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", condition, waitTimeout)
		}
	}
}

// output is a buffer that a process writes and the test reads.
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

// String returns the text that has been written so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// process is a program that the test started.
type process struct {
	name           string
	cmd            *exec.Cmd
	stdout, stderr output
	// done is closed when the process has ended and its output is complete.
	done chan struct{}
}

// startProcess starts a program that this test binary provides. The process is
// killed at the end of the test if it still runs.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	return p
}

// signal sends a signal to the process unless the process has ended. After SIGKILL
// it waits until the process has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.cmd.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-p.done
	}
}

// waitExitCode waits until the process has ended and returns its exit code, or -1 if
// a signal killed it.
func (p *process) waitExitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end within %v: %s%s", p.name, waitTimeout, p.stdout.String(), p.stderr.String())
	}
	return p.cmd.ProcessState.ExitCode()
}

// stderrTail returns the last lines of standard error.
func (p *process) stderrTail() string {
	lines := strings.Split(strings.TrimSpace(p.stderr.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-6):], "\n")
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loopback.Addresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

// writeFile writes a file for the test and returns its path.
func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
