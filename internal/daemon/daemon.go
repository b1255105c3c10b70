// Package daemon implements the program cardamomturnd, with one file per
// subcommand.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"k8s.io/klog/v2"

	"github.com/cardamomturn/cardamomturn/internal/event"
	"github.com/cardamomturn/cardamomturn/internal/settings"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
)

// errUsage marks errors of the command line.
const errUsage = errors.ConstError("usage")

// Streams are the standard streams of a run.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Main runs the program and returns its exit code. args includes the program's
// name.
func Main(args []string, s Streams) int {
	defer klog.Flush()
	err := newApp(s).Run(args)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(s.Err, "cardamomturnd: %v\nRun 'cardamomturnd help' for the usage.\n", err)
		return ExitUsage
	}
	fmt.Fprintf(s.Err, "cardamomturnd: %v\n", err)
	return ExitError
}

func usageErrorf(format string, args ...any) error {
	return errors.WithType(errors.Errorf(format, args...), errUsage)
}

func newApp(s Streams) *cli.App {
	a := &cli.App{
		Name:           "cardamomturnd",
		Usage:          "dispatch sub-second tasks to backend servers",
		Description:    "Exit codes: 0 ok, 1 error or faulty settings, 2 usage.",
		HideVersion:    true,
		Flags:          klogFlags(),
		Writer:         s.Out,
		ErrWriter:      s.Err,
		ExitErrHandler: func(*cli.Context, error) {},
		OnUsageError:   onUsageError,
		Commands: []*cli.Command{
			entryCommand(s), sidecarCommand(s), standaloneCommand(s), checkConfigCommand(s),
			sampleStoreCommand(s), sampleBackendCommand(s),
		},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usageErrorf("unknown command %q", c.Args().First())
			}
			return usageErrorf("a command is missing")
		},
	}
	for _, cmd := range a.Commands {
		cmd.OnUsageError = onUsageError
	}
	return a
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return usageErrorf("%v", err) }

// klogFlags returns klog's flags as flags of the program.
func klogFlags() []cli.Flag {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	var flags []cli.Flag
	set.VisitAll(func(f *flag.Flag) {
		flags = append(flags, &cli.GenericFlag{Name: f.Name, Usage: f.Usage, Value: f.Value, Category: "Logging"})
	})
	return flags
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE`"}
}

// loadSettings reads the settings file that --config names.
func loadSettings(c *cli.Context) (*settings.File, error) {
	if c.NArg() > 0 {
		return nil, usageErrorf("%s takes no arguments", c.Command.Name)
	}
	path := c.String("config")
	if path == "" {
		return nil, usageErrorf("%s needs --config FILE", c.Command.Name)
	}
	f, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	event.Log(c.Context, event.SettingsLoaded, "path", path)
	return f, nil
}

// notifySignals returns a channel that receives the signals that end a role, and a
// function that stops their delivery.
func notifySignals() (<-chan os.Signal, func()) {
	// Capacity 2: the first signal begins a graceful shutdown, the second aborts it.
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGINT, syscall.SIGTERM)
	return ch, func() { signal.Stop(ch) }
}

// serve runs a role until it ends by itself or by a signal.
func serve(ctx context.Context, r Runner, t settings.Timing) error {
	ch, stop := notifySignals()
	defer stop()
	return supervise(ctx, r, t.ShutdownTimeout.Std(), ch)
}
