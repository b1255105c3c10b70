// Command experiment runs the load and failure experiments against the real
// runtimes in one process and checks the recorded history. The experiment
// "overhead" also measures an entry instance in a process of its own. The experiment
// "slopes" runs separate processes and reports fitted lines instead.
package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/test/experiment/entryproc"
	"github.com/cardamomturn/cardamomturn/test/experiment/experiments"
	"github.com/cardamomturn/cardamomturn/test/experiment/load"
	"github.com/cardamomturn/cardamomturn/test/experiment/report"
	"github.com/cardamomturn/cardamomturn/test/experiment/slopes"
)

// exitFailed is the exit code after an error, a violation or a missed target.
const exitFailed = 1

func main() {
	app := &cli.App{
		Name:  "experiment",
		Usage: "run load and failure experiments",
		Commands: []*cli.Command{
			{Name: entryproc.Command, Hidden: true, Action: func(*cli.Context) error { return entryproc.Serve(os.Stdin) }},
			{Name: "list", Usage: "list the experiments", Action: list},
			{
				Name: "run", Usage: "run one experiment", ArgsUsage: "NAME", Action: run,
				Flags: append(slopesFlags(),
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load and the faults"},
					&cli.StringFlag{Name: "trace", Usage: "write a trace to this file"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
					&cli.BoolFlag{Name: "short", Usage: "run a quarter of the duration"},
					&cli.DurationFlag{Name: "duration", Usage: "duration of the load"},
				),
			},
		},
	}
	if err := app.Run(flagsFirst(os.Args)); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(exitFailed)
	}
}

// flagsFirst moves the name of the experiment behind the flags, because
// urfave/cli stops parsing flags at the first other argument.
func flagsFirst(args []string) []string {
	if len(args) > 3 && args[1] == "run" && args[2] != "" && args[2][0] != '-' {
		moved := append([]string{args[0], "run"}, args[3:]...)
		return append(moved, args[2])
	}
	return args
}

func list(c *cli.Context) error {
	for _, name := range experiments.Names() {
		e, err := experiments.Get(name)
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintf(c.App.Writer, "%-14s %4.0f s  %s\n", name, e.Duration.Seconds(), e.Description)
	}
	fmt.Fprintf(c.App.Writer, "%-14s %4.0f s  %s\n", slopesName, slopes.ApproximateDuration.Seconds(), slopes.Description)
	return nil
}

func run(c *cli.Context) error {
	if c.NArg() != 1 {
		return errors.BadRequestf("want one experiment name, got %d arguments;", c.NArg())
	}
	if c.Args().First() == slopesName {
		return runSlopes(c)
	}
	rep, trace, err := experiments.Run(c.Args().First(), experiments.Settings{
		Seed: c.Uint64("seed"), Duration: c.Duration("duration"), Short: c.Bool("short"), NewCluster: newCluster,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if file := c.String("trace"); file != "" {
		if err := writeTrace(file, trace); err != nil {
			return errors.Trace(err)
		}
	}
	if err := write(c, rep); err != nil {
		return errors.Trace(err)
	}
	if !rep.OK() {
		return errors.Errorf("%s: a target is missed or an invariant is violated", rep.Name)
	}
	return nil
}

func write(c *cli.Context, rep *report.Report) error {
	if c.Bool("json") {
		return rep.WriteJSON(c.App.Writer)
	}
	return rep.WriteTable(c.App.Writer)
}

func writeTrace(file string, trace []load.TraceLine) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Annotate(err, "create the trace")
	}
	if err := load.WriteTrace(f, trace); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Annotate(f.Close(), "close the trace")
}
