package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/sampleclient"
	"github.com/cardamomturn/cardamomturn/internal/settings"
)

const (
	// sampleTimeout is the time limit of the sample.
	sampleTimeout = time.Minute
	// sampleRunMs is the time that each sample task sleeps, in milliseconds.
	sampleRunMs = 20
)

func standaloneCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "standalone",
		Usage:     "run all roles in one process with an embedded store",
		UsageText: "cardamomturnd standalone [--config FILE] [--sample [--once]]",
		Flags: []cli.Flag{
			configFlag(),
			&cli.BoolFlag{Name: "sample", Usage: "apply a sample configuration, submit sample jobs, and print their times"},
			&cli.BoolFlag{Name: "once", Usage: "end after the sample; the exit code tells whether its answers were correct"},
		},
		Action: func(c *cli.Context) error { return runStandalone(c, s) },
	}
}

func runStandalone(c *cli.Context, s Streams) error {
	if c.Bool("once") && !c.Bool("sample") {
		return usageErrorf("--once goes with --sample")
	}
	cfg, err := standaloneSettings(c)
	if err != nil {
		return err
	}
	provide := func() *settings.Standalone { return cfg }
	return withRole("standalone", provide, newStandalone, func(r StandaloneRole) error {
		if !c.Bool("sample") {
			return serve(c.Context, r, cfg.Timing)
		}
		return serveWithSample(c.Context, r, cfg.Timing, s, c.Bool("once"))
	})
}

// standaloneSettings returns the section standalone of the settings file, or the
// defaults if --config is not set.
func standaloneSettings(c *cli.Context) (*settings.Standalone, error) {
	if c.String("config") == "" && c.NArg() == 0 {
		return settings.DefaultStandalone(), nil
	}
	f, err := loadSettings(c)
	if err != nil {
		return nil, err
	}
	if f.Standalone == nil {
		return nil, usageErrorf("%s has no section standalone", c.String("config"))
	}
	return f.Standalone, nil
}

// serveWithSample runs the role and runs the sample against it. The role ends after
// the sample if once is set or the sample fails.
func serveWithSample(ctx context.Context, r StandaloneRole, t settings.Timing, s Streams, once bool) error {
	roleCtx, stop := context.WithCancel(ctx)
	defer stop()
	result := make(chan error, 1)
	go func() {
		err := runSample(roleCtx, r, s)
		result <- err
		if once || err != nil {
			stop()
			return
		}
		fmt.Fprintln(s.Out, "\nserving until interrupted")
	}()
	err := serve(roleCtx, r, t)
	stop()
	if err != nil {
		return err
	}
	return sampleResult(result, once)
}

// sampleResult returns the error of the sample. If the role was interrupted before
// the sample ended, sampleResult returns an error if once is set, and nil otherwise.
func sampleResult(result <-chan error, once bool) error {
	select {
	case err := <-result:
		return errors.Annotate(err, "sample")
	default:
	}
	if once {
		return errors.New("interrupted before the sample ended")
	}
	return nil
}

// runSample waits until the role is ready and runs the sample against it.
func runSample(ctx context.Context, r StandaloneRole, s Streams) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.Ready():
		return sampleclient.Run(ctx, sampleclient.Options{
			Caller: r.CallerAddr(), Operator: r.OperatorAddr(), Out: s.Out, Timeout: sampleTimeout, RunMs: sampleRunMs,
		})
	}
}
