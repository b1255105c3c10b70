// Package ctl implements the command-line tool cardamomctl, with one file per
// subcommand.
package ctl

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
)

// Exit codes of the program.
const (
	ExitOK          = 0
	ExitError       = 1
	ExitUsage       = 2
	ExitRefused     = 3 // no task was run and nothing was changed
	ExitJobFailed   = 4
	ExitUnknown     = 5 // it can't be determined whether the request took effect
	ExitConflict    = 6
	ExitUnavailable = 7
)

const exitCodesHelp = `Exit codes: 0 ok, 1 error, 2 usage, 3 refused and not run, 4 job failed,
5 outcome unknown, 6 conflict, 7 unavailable.`

// Streams are the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Main runs the program and returns its exit code. args includes the program's
// name.
func Main(args []string, s Streams) int {
	return run(args, &program{Streams: s, connect: NewClient})
}

func run(args []string, p *program) int {
	err := newApp(p).Run(args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(p.Err, "cardamomctl: %v\n", err)
	code := exitCode(err)
	if code == ExitUsage {
		fmt.Fprintln(p.Err, "Run 'cardamomctl help' for the usage.")
	}
	return code
}

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

func usageErrorf(format string, args ...any) error { return exitErrorf(ExitUsage, format, args...) }

func exitCode(err error) int {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return ExitError
}

// Unavailable reports whether an error of a Client means that the server could
// not be reached or is not ready.
func Unavailable(err error) bool { return exitCode(err) == ExitUnavailable }

// program holds the streams and the global flags of one run.
type program struct {
	Streams
	server, operator, output string
	timeout                  time.Duration
	// connect returns the client of a command.
	connect func(server, operator string, timeout time.Duration) *Client
}

func newApp(p *program) *cli.App {
	a := &cli.App{
		Name:           "cardamomctl",
		Usage:          "submit jobs to cardamomturn and administer it",
		Description:    exitCodesHelp + "\nFlags come before arguments: cardamomctl get -o json kinds",
		Flags:          p.globalFlags(),
		Reader:         p.In,
		Writer:         p.Out,
		ErrWriter:      p.Err,
		ExitErrHandler: func(*cli.Context, error) {},
		OnUsageError:   onUsageError,
		Commands: []*cli.Command{
			p.applyCommand(), p.getCommand(), p.describeCommand(), p.watchCommand(), p.deleteCommand(),
			p.submitCommand(), p.cancelCommand(), p.drainCommand(), p.statsCommand(), p.traceCommand(),
		},
		Action: func(c *cli.Context) error {
			if c.NArg() > 0 {
				return usageErrorf("unknown command %q", c.Args().First())
			}
			return usageErrorf("a command is missing")
		},
	}
	for _, cmd := range a.Commands {
		cmd.Flags = append(cmd.Flags, commonFlags()...)
		cmd.OnUsageError = onUsageError
		cmd.Before = p.applyCommonFlags
	}
	return a
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return usageErrorf("%v", err) }

const (
	flagServer   = "server"
	flagOperator = "operator"
	flagOutput   = "output"
	flagTimeout  = "timeout"
)

const (
	defaultServer   = "127.0.0.1:7400"
	defaultOperator = "127.0.0.1:7401"
	defaultTimeout  = 30 * time.Second
)

// globalFlags returns the flags that precede the subcommand. Only these read
// environment variables, so that a flag before or after the subcommand overrides
// its variable.
func (p *program) globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagServer, Usage: "`ADDRESS` of the caller API", Value: defaultServer, EnvVars: []string{"CARDAMOM_SERVER"}, Destination: &p.server},
		&cli.StringFlag{Name: flagOperator, Usage: "`ADDRESS` of the operator API", Value: defaultOperator, EnvVars: []string{"CARDAMOM_OPERATOR"}, Destination: &p.operator},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT`: json or table", Value: outputTable, EnvVars: []string{"CARDAMOM_OUTPUT"}, Destination: &p.output},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit of the whole command", Value: defaultTimeout, EnvVars: []string{"CARDAMOM_TIMEOUT"}, Destination: &p.timeout},
	}
}

// commonFlags returns the flags of globalFlags for use after the subcommand.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagServer, Usage: "`ADDRESS` of the caller API"},
		&cli.StringFlag{Name: flagOperator, Usage: "`ADDRESS` of the operator API"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Usage: "`FORMAT`: json or table"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "time limit of the whole command"},
	}
}

// applyCommonFlags overrides the global flags with the common flags of the
// subcommand and checks the resulting values and the arguments.
func (p *program) applyCommonFlags(c *cli.Context) error {
	for name, target := range map[string]*string{flagServer: &p.server, flagOperator: &p.operator, flagOutput: &p.output} {
		if c.IsSet(name) {
			*target = c.String(name)
		}
	}
	if c.IsSet(flagTimeout) {
		p.timeout = c.Duration(flagTimeout)
	}
	if p.output != outputTable && p.output != outputJSON {
		return usageErrorf("output format %q: want json or table", p.output)
	}
	if p.timeout <= 0 {
		return usageErrorf("timeout %v: want more than 0", p.timeout)
	}
	for _, arg := range c.Args().Slice() {
		// The flag parser treats a flag after an argument as an argument.
		if len(arg) > 1 && strings.HasPrefix(arg, "-") {
			return usageErrorf("flag %s comes after an argument", arg)
		}
	}
	return nil
}
