// Package crashtest runs a part of a test in a process of its own that has to end with a
// panic.
package crashtest

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

const (
	caseVariable = "CARDAMOMTURN_CRASH_CASE"
	// timeout is the time after which a process that has not ended counts as living on.
	timeout = 30 * time.Second
	// exitCode is the exit code of a Go process that ends with a panic.
	exitCode = 2
)

// Run calls crash for the case in a copy of the test process. It fails the test unless the
// process ends, with a stack of a panic with the message. It returns the output.
func Run(t *testing.T, name, message string, crash func()) string {
	t.Helper()
	if os.Getenv(caseVariable) == name {
		crash()
		select {} // other goroutines go on, as in a daemon
	}
	if os.Getenv(caseVariable) != "" {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$", "-test.timeout=1m")
	cmd.Env = append(os.Environ(), caseVariable+"="+name)
	output, _ := cmd.CombinedOutput() // the exit code is checked below
	if ctx.Err() != nil {
		t.Errorf("%s: the process lives on:\n%s", name, output)
		return ""
	}
	text := string(output)
	if cmd.ProcessState.ExitCode() != exitCode || !strings.Contains(text, message) || !strings.Contains(text, "goroutine ") {
		t.Errorf("%s: exit code %d:\n%s", name, cmd.ProcessState.ExitCode(), text)
	}
	return text
}
