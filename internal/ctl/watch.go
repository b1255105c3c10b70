package ctl

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"
)

func (p *program) watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "print the resources of a type at each change",
		UsageText: "cardamomctl watch [--since REVISION] [--count N] TYPE",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "since", Usage: "print changes after this `REVISION`; 0 prints the present state first"},
			&cli.IntFlag{Name: "count", Usage: "end after `N` changes; 0 goes on until interrupted"},
			&cli.DurationFlag{Name: "for", Usage: "end after this `TIME`; 0 goes on until interrupted"},
		},
		Action: p.watch,
	}
}

// watchCall bounds one waiting request; the server ends it earlier.
const watchCall = 90 * time.Second

func (p *program) watch(c *cli.Context) error {
	if c.NArg() != 1 {
		return usage("watch needs TYPE")
	}
	t, err := parseType(c.Args().First())
	if err != nil {
		return err
	}
	cl := p.client()
	since, seen := c.Uint64("since"), 0
	started, lastContact := time.Now(), time.Now()
	for c.Duration("for") == 0 || time.Since(started) < c.Duration("for") {
		cl.deadline = time.Now().Add(watchCall)
		if limit := c.Duration("for"); limit > 0 && started.Add(limit).Before(cl.deadline) {
			cl.deadline = started.Add(limit)
		}
		var l list
		err := cl.resource(fasthttp.MethodGet, fmt.Sprintf("/v1/%s?watch=true&since=%d", t, since), nil, &l)
		switch {
		case err != nil && exitCode(err) == ExitUnavailable && time.Since(lastContact) < max(p.timeout, watchCall):
			// A lost connection is retried from the last revision seen.
			time.Sleep(pollInterval)
			continue
		case err != nil:
			return err
		}
		lastContact = time.Now()
		if l.Revision <= since {
			time.Sleep(pollInterval)
			continue
		}
		since = l.Revision
		if err := p.printChange(l); err != nil {
			return err
		}
		if seen++; seen == c.Int("count") {
			return nil
		}
	}
	return nil
}

func (p *program) printChange(l list) error {
	if p.output == outputJSON {
		return p.printJSON(l)
	}
	fmt.Fprintf(p.Out, "revision %d\n", l.Revision)
	return p.table(objectRows(l.Items))
}
