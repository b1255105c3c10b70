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
			"one, an array, or several one after the other. \"-\" reads standard input. All are\n" +
			"checked before the first is sent; they are sent in the order urgencies, kinds,\n" +
			"teams, limits, policies. A resourceVersion in the metadata makes the\n" +
			"change conditional.",
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
		return usage("apply needs -f FILE and no arguments")
	}
	var all []Envelope
	for _, name := range files {
		some, err := readEnvelopes(name, p.In)
		if err != nil {
			return err
		}
		all = append(all, some...)
	}
	if err := checkTwice(all); err != nil {
		return err
	}
	SortEnvelopes(all)
	cl := p.client()
	applied := make([]Envelope, 0, len(all))
	for _, e := range all {
		done, err := cl.Apply(e, c.Bool("allow-decrease"))
		if err != nil {
			return p.reportPartial(applied, all, err)
		}
		applied = append(applied, done)
		if p.output == outputTable {
			fmt.Fprintf(p.Out, "%s/%s applied, generation %d, version %d\n", done.Type, done.Metadata.Name, done.Metadata.Generation, done.Metadata.ResourceVersion)
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

// reportPartial says which resources were applied before err.
func (p *program) reportPartial(applied, all []Envelope, err error) error {
	if len(applied) > 0 {
		fmt.Fprintf(p.Err, "cardamomctl: %d of %d resources were applied before the error\n", len(applied), len(all))
	}
	failed := all[len(applied)]
	return errors.Annotatef(err, "applying %s/%s", failed.Type, failed.Metadata.Name)
}

// Apply creates or changes one resource and returns it as accepted.
func (c *Client) Apply(e Envelope, allowDecrease bool) (Envelope, error) {
	path := resourcePath(e.Type, e.Metadata.Name)
	if allowDecrease {
		path += "?allowDecrease=true"
	}
	done, err := c.edit(fasthttp.MethodPut, path, object{Metadata: e.Metadata, Spec: e.Spec}, nil)
	if err != nil || done.Object.Metadata.Name == "" {
		return e, err
	}
	return Envelope{Type: e.Type, Metadata: done.Object.Metadata, Spec: done.Object.Spec}, nil
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
			err := c.resource(resourcePath(e.Type, e.Metadata.Name), &o)
			if err != nil && exitCode(err) != ExitUnavailable {
				return err
			}
			if err == nil && o.Metadata.Generation >= e.Metadata.Generation && everywhere(o) {
				break
			}
			if time.Until(c.deadline) < pollInterval {
				return fail(ExitUnavailable, "%s/%s is accepted, but not in force everywhere within the timeout", e.Type, e.Metadata.Name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
