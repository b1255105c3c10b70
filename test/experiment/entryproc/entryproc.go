// Package entryproc runs one entry instance in a process of its own, so that an
// experiment can measure the processor time of the instance alone.
package entryproc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cardamomturn/cardamomturn/internal/entry"
	"github.com/cardamomturn/cardamomturn/internal/metrics"
	"github.com/cardamomturn/cardamomturn/internal/node"
	"github.com/cardamomturn/cardamomturn/internal/store/httpstore"
)

// Command is the hidden subcommand of the experiment program that calls Serve with
// standard input.
const Command = "entry-process"

const (
	// storeTimeout bounds a call of the store.
	storeTimeout = time.Second
	// shutdownTimeout is the time after which a process that doesn't end is killed.
	shutdownTimeout = 5 * time.Second
	// ticksPerSecond is USER_HZ of Linux, the resolution of the times in /proc.
	ticksPerSecond = 100
	// userTimeField and systemTimeField are the positions of the processor times in
	// /proc/PID/stat, counted from zero after the name of the program.
	userTimeField, systemTimeField = 11, 12
)

// Settings configures the entry instance. Start passes it to the process as JSON on
// standard input.
type Settings struct {
	Instance        string `json:"instance"`
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	InternalAddress string `json:"internalAddress"`
	StoreAddress    string `json:"storeAddress"`
	// Profile is the path of the file for a CPU profile; empty for no profile.
	Profile string `json:"profile,omitempty"`
}

// Serve reads Settings from in and runs an entry instance until in ends.
func Serve(in io.Reader) error {
	var s Settings
	dec := json.NewDecoder(in)
	if err := dec.Decode(&s); err != nil {
		return errors.Annotate(err, "read the settings of the entry instance")
	}
	st, err := httpstore.New(httpstore.Settings{Address: s.StoreAddress, TimeoutMs: storeTimeout.Milliseconds()})
	if err != nil {
		return errors.Annotate(err, "create the store client")
	}
	m := metrics.New(metrics.Options{Role: "entry"})
	e, err := node.NewEntry(entry.Config{
		Instance: s.Instance, Zone: "zone-1", Region: "region-1",
		CallerAddress: s.CallerAddress, OperatorAddress: s.OperatorAddress, InternalAddress: s.InternalAddress,
	}, st, m)
	if err != nil {
		return errors.Annotate(err, "start the entry instance")
	}
	if s.Profile != "" {
		f, err := os.Create(s.Profile)
		if err != nil {
			return errors.Annotate(err, "create the CPU profile")
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return errors.Annotate(err, "start the CPU profile")
		}
		defer pprof.StopCPUProfile()
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	return errors.Trace(e.Run(ctx))
}

// Process is a running process with one entry instance.
type Process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan error
}

// Start runs the present program again with Command and passes it the settings.
func Start(s Settings) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Annotate(err, "find the path of the program")
	}
	cmd := exec.Command(program, Command)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, errors.Annotate(err, "open the standard input of the entry process")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Annotate(err, "start the entry process")
	}
	p := &Process{cmd: cmd, stdin: stdin, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	if err := json.NewEncoder(stdin).Encode(s); err != nil {
		_ = p.Close()
		return nil, errors.Annotate(err, "write the settings to the entry process")
	}
	return p, nil
}

// Close closes the standard input of the process, which shuts it down, and waits for
// its end. If that takes longer than shutdownTimeout, Close kills the process.
func (p *Process) Close() error {
	_ = p.stdin.Close()
	select {
	case err := <-p.done:
		return errors.Annotate(err, "shut down the entry process")
	case <-time.After(shutdownTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	return errors.Timeoutf("shutdown of the entry process")
}

// CPU returns the sum of the user and system time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0, errors.Annotate(err, "read the processor time")
	}
	return parseCPU(text)
}

// parseCPU returns the sum of the user and system time in the text of
// /proc/PID/stat. The name of the program in that text is in parentheses and may
// contain blanks and parentheses.
func parseCPU(text []byte) (time.Duration, error) {
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.NotValidf("processor times in %q", text)
	}
	ticks := int64(0)
	for _, i := range []int{userTimeField, systemTimeField} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return 0, errors.Annotatef(err, "processor times in %q", text)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
