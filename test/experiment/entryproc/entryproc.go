// Package entryproc runs one entry instance in a process of its own, so that
// its processor time can be told from that of the rest of an experiment.
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

// Command is the hidden subcommand that calls Serve with standard input.
const Command = "entry-process"

const (
	// storeTimeout bounds a call of the store.
	storeTimeout = time.Second
	// endTimeout bounds the shutdown of the process, before it is killed.
	endTimeout = 5 * time.Second
	// ticksPerSecond is the unit of the times in /proc, USER_HZ of Linux.
	ticksPerSecond = 100
	// userField and systemField are the positions of the processor times in
	// /proc/PID/stat after the name of the program.
	userField, systemField = 11, 12
)

// Settings are those of the entry instance.
type Settings struct {
	Instance        string `json:"instance"`
	CallerAddress   string `json:"callerAddress"`
	OperatorAddress string `json:"operatorAddress"`
	InternalAddress string `json:"internalAddress"`
	StoreAddress    string `json:"storeAddress"`
	// Profile is a file for a processor profile; empty for none.
	Profile string `json:"profile,omitempty"`
}

// Serve reads the settings and serves an entry instance until in ends.
func Serve(in io.Reader) error {
	var s Settings
	dec := json.NewDecoder(in)
	if err := dec.Decode(&s); err != nil {
		return errors.Annotate(err, "read the settings")
	}
	st, err := httpstore.New(httpstore.Settings{Address: s.StoreAddress, TimeoutMs: storeTimeout.Milliseconds()})
	if err != nil {
		return errors.Annotate(err, "client of the store")
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
			return errors.Annotate(err, "create the profile")
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return errors.Annotate(err, "start the profile")
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

// Process is a running entry instance.
type Process struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	done chan error
}

// Start starts this program again with Command.
func Start(s Settings) (*Process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, errors.Annotate(err, "find the program")
	}
	cmd := exec.Command(program, Command)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, errors.Annotate(err, "open the input of the process")
	}
	if err := cmd.Start(); err != nil {
		return nil, errors.Annotate(err, "start the process")
	}
	p := &Process{cmd: cmd, in: in, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	if err := json.NewEncoder(in).Encode(s); err != nil {
		_ = p.Close()
		return nil, errors.Annotate(err, "write the settings")
	}
	return p, nil
}

// Close ends the process, by force if it takes too long.
func (p *Process) Close() error {
	_ = p.in.Close()
	select {
	case err := <-p.done:
		return errors.Annotate(err, "end of the process")
	case <-time.After(endTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	return errors.Timeoutf("end of the process")
}

// CPU returns the processor time, user and system, that the process has used.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
	if err != nil {
		return 0, errors.Annotate(err, "read the processor time")
	}
	return parseCPU(text)
}

// parseCPU reads the processor times from the text of /proc/PID/stat. The name
// of the program is in parentheses and may contain blanks.
func parseCPU(text []byte) (time.Duration, error) {
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= systemField {
		return 0, errors.NotValidf("processor times %q", text)
	}
	ticks := int64(0)
	for _, i := range []int{userField, systemField} {
		n, err := strconv.ParseInt(string(fields[i]), 10, 64)
		if err != nil {
			return 0, errors.Annotatef(err, "processor times %q", text)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
