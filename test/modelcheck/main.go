// Command modelcheck plays every world of the model of run ownership
// (internal/decision/ownership/model) with up to a number of faults, on the real state
// machines of entry instances and sidecars. It prints how many worlds it has played and up
// to which number of faults all of them, and the trace of a broken rule. With a rule taken
// out (--guard), a broken rule is what is looked for. The exit code is 0 only if no rule is
// broken, and with --all-guards only if the removal of each one is found.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/decision/ownership/model"
)

// exitFailed is the exit code after an error, a broken rule or a removal that is not found.
const exitFailed = 1

// gcPercent makes garbage collections rare: a world needs little memory and soon leaves it.
const gcPercent = 2000

func main() {
	debug.SetGCPercent(gcPercent)
	app := &cli.App{
		Name:   "modelcheck",
		Usage:  "play every world of the model of run ownership with up to a number of faults",
		Action: run,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "faults", Value: 1, Usage: "largest number of faults of a world"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "scenario to explore, may be repeated (default: all; with --all-guards one for each rule)"},
			&cli.StringFlag{Name: "guard", Usage: "rule to take out"},
			&cli.BoolFlag{Name: "all-guards", Usage: "take out each rule in turn"},
			&cli.DurationFlag{Name: "grid", Value: 100 * time.Millisecond, Usage: "time between the points at which faults strike beside messages"},
			&cli.DurationFlag{Name: "budget", Usage: "time after which the exploration ends (default: none)"},
			&cli.BoolFlag{Name: "go-on", Usage: "play all worlds, also when a rule is broken, and list the kinds of faults that break one"},
			&cli.IntFlag{Name: "parallel", Value: 2, Usage: "number of worlds played at a time"},
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "modelcheck:", err)
		os.Exit(exitFailed)
	}
}

func run(c *cli.Context) error {
	if c.NArg() > 0 {
		return errors.BadRequestf("unexpected argument %q;", c.Args().First())
	}
	scenarios, err := chosenScenarios(c.StringSlice("scenario"))
	if err != nil {
		return errors.Trace(err)
	}
	o := model.Options{Faults: c.Int("faults"), Grid: c.Duration("grid"), Parallel: c.Int("parallel"), Without: c.String("guard"), GoOn: c.Bool("go-on") && !c.Bool("all-guards")}
	if o.Grid <= 0 {
		return errors.NotValidf("grid %v", o.Grid)
	}
	if budget := c.Duration("budget"); budget > 0 {
		o.Deadline = time.Now().Add(budget)
	}
	if c.Bool("all-guards") {
		return takeOutEach(o, scenarios)
	}
	if o.Without != "" && !model.IsRemoval(o.Without) {
		return errors.NotFoundf("guard %q (known: %v)", o.Without, model.RemovalNames())
	}
	return explore(o, scenarios)
}

// chosenScenarios returns the scenarios with the given names.
func chosenScenarios(names []string) ([]model.Scenario, error) {
	var chosen []model.Scenario
	for _, name := range names {
		found := false
		for _, s := range model.Scenarios {
			if s.Name == name {
				chosen, found = append(chosen, s), true
			}
		}
		if !found {
			return nil, errors.NotFoundf("scenario %q", name)
		}
	}
	return chosen, nil
}
