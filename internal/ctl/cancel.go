package ctl

import (
	"net/url"

	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"
)

func (p *program) cancelCommand() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancel a job",
		UsageText:   "cardamomctl cancel SUBMISSION-ID",
		Description: "Tasks that have not started will not start; running tasks continue. It is safe to repeat the command.",
		Action:      p.cancel,
	}
}

func (p *program) cancel(c *cli.Context) error {
	if c.NArg() != 1 {
		return usageErrorf("cancel needs SUBMISSION-ID")
	}
	id := c.Args().First()
	cl := p.newClient()
	res, err := cl.call(fasthttp.MethodDelete, cl.callerURL, "/v1/jobs/"+url.PathEscape(id), nil)
	if err != nil {
		return callError(err, true)
	}
	answer, err := decodeAnswer("cancel of job "+id, res)
	if err != nil {
		return err
	}
	return p.printAnswer(answer)
}
