package daemon

import (
	"github.com/urfave/cli/v2"

	"github.com/cardamomturn/cardamomturn/internal/settings"
)

func entryCommand(Streams) *cli.Command {
	return &cli.Command{
		Name:      "entry",
		Usage:     "run an entry instance",
		UsageText: "cardamomturnd entry --config FILE",
		Flags:     []cli.Flag{configFlag()},
		Action: func(c *cli.Context) error {
			f, err := loadSettings(c)
			if err != nil {
				return err
			}
			if f.Entry == nil {
				return usageErrorf("%s has no section entry", c.String("config"))
			}
			provide := func() *settings.Entry { return f.Entry }
			return withRole("entry", provide, newEntry, func(r EntryRole) error {
				return serve(c.Context, r, f.Entry.Timing)
			})
		},
	}
}
