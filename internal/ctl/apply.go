package ctl

import (
	"fmt"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"

	"github.com/cardamomturn/cardamomturn/internal/resource"
)

// pollInterval is the time between two reads of a status.
const pollInterval = 100 * time.Millisecond

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "create or change the resources of a file",
		UsageText: "cardamomctl apply -f FILE [--allow-decrease] [--wait]",
		Description: "The file holds JSON envelopes {\"type\":\"kinds\",\"metadata\":{\"name\":...},\"spec\":{...}}:\n" +
			"one envelope, an array, or a sequence of both. \"-\" reads standard input. The command\n" +
			"checks all resources before it sends the first one, and sends them in the order\n" +
			"urgencies, kinds, teams, limits, policies. A resourceVersion in the metadata makes\n" +
			"the change conditional on that version.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "file", Aliases: []string{"f"}, Usage: "resource `FILE`; may be repeated"},
			&cli.BoolFlag{Name: "allow-decrease", Usage: "accept changes that lower a limit"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the changes are in force everywhere"},
		},
		Action: p.apply,
	}
}

func (p *program) apply(c *cli.Context) error {
	files := c.StringSlice("file")
	if len(files) == 0 || c.NArg() > 0 {
		return usageErrorf("apply needs -f FILE and takes no arguments")
	}
	var envelopes []Envelope
	for _, name := range files {
		parsed, err := readEnvelopes(name, p.In)
		if err != nil {
			return err
		}
		envelopes = append(envelopes, parsed...)
	}
	if err := checkDuplicates(envelopes); err != nil {
		return err
	}
	SortEnvelopes(envelopes)
	cl := p.newClient()
	applied := make([]Envelope, 0, len(envelopes))
	for _, e := range envelopes {
		result, err := cl.Apply(e, c.Bool("allow-decrease"))
		if err != nil {
			return p.reportPartialApply(applied, envelopes, err)
		}
		applied = append(applied, result)
		if p.output == outputTable {
			fmt.Fprintf(p.Out, "%s/%s applied, generation %d, version %d\n", result.Type, result.Metadata.Name, result.Metadata.Generation, result.Metadata.ResourceVersion)
		}
	}
	if c.Bool("wait") {
		if err := cl.WaitInForce(applied); err != nil {
			return err
		}
	}
	if p.output == outputJSON {
		return p.printJSON(applied)
	}
	return nil
}

// reportPartialApply prints how many resources were applied before err, and
// returns err with the name of the resource that failed.
func (p *program) reportPartialApply(applied, envelopes []Envelope, err error) error {
	if len(applied) > 0 {
		fmt.Fprintf(p.Err, "cardamomctl: %d of %d resources were applied before the error\n", len(applied), len(envelopes))
	}
	failed := envelopes[len(applied)]
	return errors.Annotatef(err, "applying %s/%s", failed.Type, failed.Metadata.Name)
}

// Apply creates or changes one resource and returns it as the server accepted it.
func (c *Client) Apply(e Envelope, allowDecrease bool) (Envelope, error) {
	path := resourcePath(e.Type, e.Metadata.Name)
	if allowDecrease {
		path += "?allowDecrease=true"
	}
	resp, err := c.edit(fasthttp.MethodPut, path, object{Metadata: e.Metadata, Spec: e.Spec}, nil)
	if err != nil || resp.Object.Metadata.Name == "" {
		return e, err
	}
	return Envelope{Type: e.Type, Metadata: resp.Object.Metadata, Spec: resp.Object.Spec}, nil
}

func resourcePath(t resource.Type, name string) string {
	return "/v1/" + string(t) + "/" + url.PathEscape(name)
}

// WaitInForce waits until the applied generations, or newer ones, are in force
// on all live processes.
func (c *Client) WaitInForce(applied []Envelope) error {
	for _, e := range applied {
		for {
			var o object
			err := c.getJSON(resourcePath(e.Type, e.Metadata.Name), &o)
			if err != nil && exitCode(err) != ExitUnavailable {
				return err
			}
			if err == nil && o.Metadata.Generation >= e.Metadata.Generation && inForceEverywhere(o) {
				break
			}
			if c.remaining() < pollInterval {
				return exitErrorf(ExitUnavailable, "%s/%s was accepted, but was not in force on all processes within the timeout", e.Type, e.Metadata.Name)
			}
			c.sleep(pollInterval)
		}
	}
	return nil
}
