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
	// sampleTimeout bounds the sample.
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
			&cli.BoolFlag{Name: "once", Usage: "end after the sample; the exit code says whether its answers were right"},
		},
		Action: func(c *cli.Context) error { return runStandalone(c, s) },
	}
}

func runStandalone(c *cli.Context, s Streams) error {
	if c.Bool("once") && !c.Bool("sample") {
		return usage("--once goes with --sample")
	}
	own, err := standaloneSettings(c)
	if err != nil {
		return err
	}
	provide := func() *settings.Standalone { return own }
	return invoke("standalone", provide, newStandalone, func(r StandaloneRole) error {
		if !c.Bool("sample") {
			return serve(c.Context, r, own.Timing)
		}
		return serveSample(c.Context, r, own.Timing, s, c.Bool("once"))
	})
}

// standaloneSettings returns the section of the settings file, or the
// defaults if no file is named.
func standaloneSettings(c *cli.Context) (*settings.Standalone, error) {
	if c.String("config") == "" && c.NArg() == 0 {
		return settings.DefaultStandalone(), nil
	}
	f, err := load(c)
	if err != nil {
		return nil, err
	}
	if f.Standalone == nil {
		return nil, usage("%s has no section standalone", c.String("config"))
	}
	return f.Standalone, nil
}

// serveSample runs the role and the sample against it. The role ends after the
// sample if once is set or the sample fails.
func serveSample(ctx context.Context, r StandaloneRole, t settings.Timing, s Streams, once bool) error {
	running, stop := context.WithCancel(ctx)
	defer stop()
	result := make(chan error, 1)
	go func() {
		err := sample(running, r, s)
		result <- err
		if once || err != nil {
			stop()
			return
		}
		fmt.Fprintln(s.Out, "\nserving until interrupted")
	}()
	err := serve(running, r, t)
	stop()
	if err != nil {
		return err
	}
	return sampleResult(result, once)
}

// sampleResult returns the error of the sample, which has ended unless the role
// was interrupted before. Only with once is that an error.
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

// sample waits for the role and drives the sample.
func sample(ctx context.Context, r StandaloneRole, s Streams) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-r.Ready():
		return sampleclient.Run(ctx, sampleclient.Options{
			Caller: r.CallerAddr(), Operator: r.OperatorAddr(), Out: s.Out, Timeout: sampleTimeout, RunMs: sampleRunMs,
		})
	}
}
