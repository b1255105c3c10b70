package ctl

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "let one entry instance or sidecar take no new work",
		UsageText: "cardamomctl --operator ADDRESS drain [--wait]\ncardamomctl drain [--wait] ADDRESS",
		Description: "ADDRESS is the operator address of the process. Repeating it is harmless. With\n" +
			"--wait it ends when the process has no work left or has ended.",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the process has no work left"}},
		Action: p.drain,
	}
}

func (p *program) drain(c *cli.Context) error {
	if c.NArg() > 1 {
		return usage("drain needs at most one ADDRESS")
	}
	if c.NArg() == 1 {
		p.operator = c.Args().First()
	}
	cl := p.client()
	res, err := cl.call(fasthttp.MethodPost, cl.operator, "/v1/drain", nil)
	if err != nil {
		return lost(err, true)
	}
	if res.Status/100 != 2 {
		return statusError("drain of "+p.operator, res)
	}
	state := drainState{Process: p.operator, Draining: true}
	if c.Bool("wait") {
		if state.Ended, err = cl.waitIdle(); err != nil {
			return errors.Annotatef(err, "waiting for %s", p.operator)
		}
		state.Idle = true
	}
	return p.printDrain(state)
}

// drainState is what drain prints.
type drainState struct {
	// Process is the operator address.
	Process  string `json:"process"`
	Draining bool   `json:"draining"`
	// Idle is true after a wait: the process has no work left.
	Idle bool `json:"idle"`
	// Ended is true if the process no longer answers.
	Ended bool `json:"ended"`
}

func (p *program) printDrain(s drainState) error {
	if p.output == outputJSON {
		return p.printJSON(s)
	}
	text := "draining"
	switch {
	case s.Ended:
		text = "ended"
	case s.Idle:
		text = "draining, no work left"
	}
	fmt.Fprintf(p.Out, "%s: %s\n", s.Process, text)
	return nil
}

// waitIdle waits until a draining process has no work left; ended is true if it
// refuses connections, which a process does after its graceful shutdown.
func (c *Client) waitIdle() (ended bool, err error) {
	for {
		work, err := c.work()
		var l *lostError
		switch {
		case errors.As(err, &l) && !l.sent:
			return true, nil
		case err == nil && work == 0:
			return false, nil
		case err != nil && exitCode(err) != ExitUnavailable:
			return false, err
		}
		if time.Until(c.deadline) < pollInterval {
			return false, fail(ExitUnavailable, "still %d tasks within the timeout", work)
		}
		time.Sleep(pollInterval)
	}
}

// work returns the number of queued and running tasks of an entry instance or a
// sidecar.
func (c *Client) work() (int, error) {
	res, err := c.call(fasthttp.MethodGet, c.operator, "/v1/stats", nil)
	if err != nil {
		return 0, lost(err, false)
	}
	if res.Status == fasthttp.StatusNotFound {
		return c.sidecarWork()
	}
	if res.Status/100 != 2 {
		return 0, statusError("GET /v1/stats", res)
	}
	var s entry.Stats
	if err := decode("GET /v1/stats", res.Body, &s); err != nil {
		return 0, err
	}
	n := 0
	for _, class := range s.Classes {
		n += class.Queued + class.Running
	}
	return n, nil
}

// sidecarWork returns the number of running tasks and undelivered results of a
// sidecar.
func (c *Client) sidecarWork() (int, error) {
	var s struct {
		Running int `json:"running"`
		Entries []struct {
			Results int `json:"results"`
		} `json:"entries"`
	}
	if err := c.resource("/v1/state", &s); err != nil {
		return 0, err
	}
	n := s.Running
	for _, e := range s.Entries {
		n += e.Results
	}
	return n, nil
}
