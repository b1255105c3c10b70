package ctl

import (
	"fmt"
	"strconv"

	"github.com/urfave/cli/v2"
	"github.com/valyala/fasthttp"
)

func (p *program) deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete one resource",
		UsageText: "cardamomctl delete [--version RESOURCE-VERSION] TYPE NAME",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "delete only if the resource has this `RESOURCE-VERSION`"},
			&cli.BoolFlag{Name: "allow-decrease", Usage: "accept a deletion that lowers a limit"},
		},
		Action: p.delete,
	}
}

func (p *program) delete(c *cli.Context) error {
	t, name, err := parseTypeAndName(c)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("%s?allowDecrease=%t", resourcePath(t, name), c.Bool("allow-decrease"))
	headers := map[string]string{}
	if v := c.Uint64("version"); v != 0 {
		headers[fasthttp.HeaderIfMatch] = strconv.FormatUint(v, 10)
	}
	if _, err := p.newClient().edit(fasthttp.MethodDelete, path, nil, headers); err != nil {
		return err
	}
	if p.output == outputJSON {
		return p.printJSON(map[string]string{"deleted": string(t) + "/" + name})
	}
	fmt.Fprintf(p.Out, "%s/%s deleted\n", t, name)
	return nil
}
