//go:build foreignclients

// Package clients sends the programs what clients outside the limits send, and checks that each
// process lives, stays within its memory and descriptors, and answers an ordinary request.
// The tests check no times and no shares of served requests.
package clients

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// programs is the directory of the programs under test.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/cardamomturn-platform", "../../cmd/cardamomturnd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// hangTimeout only ends a test whose process hangs.
	hangTimeout = 30 * time.Second
	// maxDescriptors is the limit of descriptors of each process under test.
	maxDescriptors = 256
	sampleInterval = 20 * time.Millisecond
)

// process is a program under test.
type process struct {
	name     string
	memoryMB int
	cmd      *exec.Cmd
	stderr   bytes.Buffer
	done     chan struct{}
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
}

// start starts a program with a limit of descriptors, which a shell sets so that it is in force
// before the program begins.
func start(t *testing.T, name string, memoryMB int, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, memoryMB: memoryMB, done: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxDescriptors)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(programs, program)}, args...)...)
	p.cmd.Stderr = &p.stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the tests ask for the state
		close(p.done)
	}()
	var sampling sync.WaitGroup
	sampling.Go(p.sample)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
		sampling.Wait()
	})
	return p
}

// sample counts the open descriptors until the process ends.
func (p *process) sample() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(sampleInterval):
		}
		list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)) // none once the process has ended
		p.mostDescriptors.Store(max(p.mostDescriptors.Load(), int64(len(list))))
	}
}

// peakMB is the largest resident memory so far, in MiB; zero if the process has ended.
func (p *process) peakMB() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid)) // gone once the process has ended
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return kb >> 10
		}
	}
	return 0
}

// check checks that the process lives and stays within its bounds.
func (p *process) check(t *testing.T) {
	t.Helper()
	peak, descriptors := p.peakMB(), p.mostDescriptors.Load()
	t.Logf("%s: peak %d MiB of %d, %d descriptors of %d", p.name, peak, p.memoryMB, descriptors, maxDescriptors)
	select {
	case <-p.done:
		t.Errorf("%s has ended: %v: %s", p.name, p.cmd.ProcessState, p.stderr.String())
	default:
	}
	if peak > p.memoryMB {
		t.Errorf("%s: peak memory %d MiB, allowed %d", p.name, peak, p.memoryMB)
	}
	if descriptors >= maxDescriptors {
		t.Errorf("%s: %d descriptors, allowed fewer than %d", p.name, descriptors, maxDescriptors)
	}
}

// stop sends SIGTERM and checks that the process ends by itself without an error.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.done:
		if !p.cmd.ProcessState.Success() {
			t.Errorf("%s: %v: %s", p.name, p.cmd.ProcessState, p.stderr.String())
		}
	case <-time.After(hangTimeout):
		t.Errorf("%s has not ended", p.name)
	}
}
