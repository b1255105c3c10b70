package ctl

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "let one entry instance or sidecar take no new work",
		UsageText:   "cardamomctl --operator ADDRESS drain\ncardamomctl drain ADDRESS",
		Description: "ADDRESS is the operator address of the process. Repeating it is harmless.",
		Action:      p.drain,
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
	if p.output == outputJSON && len(res.Body) > 0 {
		var body any
		if err := decode("drain of "+p.operator, res.Body, &body); err != nil {
			return err
		}
		return p.printJSON(body)
	}
	fmt.Fprintln(p.Out, strings.TrimSpace("draining "+p.operator+" "+string(res.Body)))
	return nil
}
