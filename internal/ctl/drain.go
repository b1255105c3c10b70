package ctl

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/entry"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "stop one entry instance or sidecar from accepting new work",
		UsageText: "cardamomctl --operator ADDRESS drain [--wait]\ncardamomctl drain [--wait] ADDRESS",
		Description: "ADDRESS is the operator address of the process. It is safe to repeat the command.\n" +
			"With --wait the command ends when the process has no work left or has ended.",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the process has no work left"}},
		Action: p.drain,
	}
}

func (p *program) drain(c *cli.Context) error {
	if c.NArg() > 1 {
		return usageErrorf("drain needs at most one ADDRESS")
	}
	if c.NArg() == 1 {
		p.operator = c.Args().First()
	}
	cl := p.newClient()
	res, err := cl.call(fasthttp.MethodPost, cl.operatorURL, "/v1/drain", nil)
	if err != nil {
		return callError(err, true)
	}
	if res.Status/100 != 2 {
		return statusError("drain of "+p.operator, res)
	}
	result := drainResult{Process: p.operator, Draining: true}
	if c.Bool("wait") {
		if result.Ended, err = cl.waitUntilIdle(); err != nil {
			return errors.Annotatef(err, "waiting for %s", p.operator)
		}
		result.Idle = true
	}
	return p.printDrain(result)
}

// drainResult is the output of drain.
type drainResult struct {
	// Process is the operator address.
	Process  string `json:"process"`
	Draining bool   `json:"draining"`
	// Idle is true if the command has waited until the process had no work left.
	Idle bool `json:"idle"`
	// Ended is true if the process refuses connections.
	Ended bool `json:"ended"`
}

func (p *program) printDrain(r drainResult) error {
	if p.output == outputJSON {
		return p.printJSON(r)
	}
	text := "draining"
	switch {
	case r.Ended:
		text = "ended"
	case r.Idle:
		text = "draining, no work left"
	}
	fmt.Fprintf(p.Out, "%s: %s\n", r.Process, text)
	return nil
}

// waitUntilIdle waits until a draining process has no work left. ended is true if
// the process refuses connections, as it does after its graceful shutdown.
func (c *Client) waitUntilIdle() (ended bool, err error) {
	for {
		remaining, err := c.remainingWork()
		var noResponse *noResponseError
		switch {
		case errors.As(err, &noResponse) && !noResponse.maybeSent:
			return true, nil
		case err == nil && remaining == 0:
			return false, nil
		case err != nil && exitCode(err) != ExitUnavailable:
			return false, err
		}
		if c.remaining() < pollInterval {
			return false, exitErrorf(ExitUnavailable, "%d tasks or undelivered results remain at the timeout", remaining)
		}
		c.sleep(pollInterval)
	}
}

// remainingWork returns the number of queued and running tasks of an entry
// instance, or the result of sidecarRemainingWork for a sidecar, which does not
// serve /v1/stats.
func (c *Client) remainingWork() (int, error) {
	res, err := c.call(fasthttp.MethodGet, c.operatorURL, "/v1/stats", nil)
	if err != nil {
		return 0, callError(err, false)
	}
	if res.Status == fasthttp.StatusNotFound {
		return c.sidecarRemainingWork()
	}
	if res.Status/100 != 2 {
		return 0, statusError("GET /v1/stats", res)
	}
	var s entry.Stats
	if err := decodeResponse("GET /v1/stats", res.Body, &s); err != nil {
		return 0, err
	}
	n := 0
	for _, class := range s.Classes {
		n += class.Queued + class.Running
	}
	return n, nil
}

// sidecarRemainingWork returns the number of running tasks and undelivered results
// of a sidecar.
func (c *Client) sidecarRemainingWork() (int, error) {
	var s struct {
		Running int `json:"running"`
		Entries []struct {
			Results int `json:"results"`
		} `json:"entries"`
	}
	if err := c.getJSON("/v1/state", &s); err != nil {
		return 0, err
	}
	n := s.Running
	for _, e := range s.Entries {
		n += e.Results
	}
	return n, nil
}
