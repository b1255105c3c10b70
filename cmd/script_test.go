// Package cmd_test drives both programs with scripts.
package cmd_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cardamomturn/cardamomturn/internal/ctl"
	"github.com/cardamomturn/cardamomturn/internal/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cardamomturnd": func() {
			os.Exit(daemon.Main(os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr}))
		},
		"cardamomctl": func() {
			os.Exit(ctl.Main(os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
	})
}

// Guards against changes of the command lines, outputs and exit codes that
// operators' scripts rely on.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits is the script command "exits CODE PROGRAM [ARG...]": it runs a program
// and checks its exit code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM [ARG...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("running %s: %v", args[1], err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}
