// Package cmd_test tests cardamomturnd and cardamomctl as processes, with scripts
// and in a deployment.
package cmd_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

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

// Guards against changes of the command lines, outputs and exit codes on which the
// scripts of operators rely.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			addresses := freeAddresses(t, 3)
			e.Setenv("CARDAMOM_SERVER", addresses[0])
			e.Setenv("CARDAMOM_OPERATOR", addresses[1])
			e.Setenv("PORT", addresses[2])
			writeFile(t, e.WorkDir, "standalone.json", standaloneSettings(addresses[0], addresses[1]))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "until": until},
	})
}

// standaloneSettings returns a settings file of the standalone role.
func standaloneSettings(caller, operator string) string {
	return fmt.Sprintf(`{"standalone":{"callerAddress":%q,"operatorAddress":%q,"slots":4}}`, caller, operator)
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

// untilTimeout is the time limit of the script command "until".
const untilTimeout = 30 * time.Second

// until is the script command "until PROGRAM [ARG...]": it repeats a program
// until its exit code is 0.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: until PROGRAM [ARG...]")
	}
	for end := time.Now().Add(untilTimeout); ts.Exec(args[0], args[1:]...) != nil; time.Sleep(waitInterval) {
		if time.Now().After(end) {
			ts.Fatalf("%v did not succeed within %v", args, untilTimeout)
		}
	}
}
