package main

import (
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/test/experiment/slopes"
)

// slopesName is the name of the experiment that runs real processes and reports
// fitted lines instead of targets.
const slopesName = "slopes"

func slopesFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "plots", Usage: "slopes: write one SVG per relation into this `DIR`"},
		&cli.BoolFlag{Name: "page", Usage: "slopes: print the Markdown tables of docs/CAPACITY.md"},
		&cli.StringFlag{Name: "update", Usage: "slopes: replace the generated part of this page `FILE`"},
		&cli.StringFlag{Name: "from", Usage: "slopes: use the JSON report in this `FILE` in place of a new run"},
	}
}

func runSlopes(c *cli.Context) error {
	rep, err := slopesReport(c)
	if err != nil {
		return errors.Trace(err)
	}
	if dir := c.String("plots"); dir != "" {
		if err := rep.WritePlots(dir); err != nil {
			return err
		}
	}
	if file := c.String("update"); file != "" {
		if err := rep.UpdatePage(file); err != nil {
			return err
		}
	}
	switch {
	case c.Bool("json"):
		return rep.WriteJSON(c.App.Writer)
	case c.Bool("page"):
		return rep.WritePage(c.App.Writer)
	}
	return rep.WriteTable(c.App.Writer)
}

func slopesReport(c *cli.Context) (*slopes.Report, error) {
	name := c.String("from")
	if name == "" {
		return slopes.Run(slopes.Options{Seed: c.Uint64("seed"), Short: c.Bool("short"), Progress: os.Stderr})
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	return slopes.Read(f)
}
